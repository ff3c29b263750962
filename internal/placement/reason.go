package placement

// Reason is why a decision was made. Its numbers go between processes and are never reused.
type Reason uint32

// Reasons.
const (
	// ReasonNone is given where there was nothing to weigh.
	ReasonNone Reason = iota
	// ReasonNoEngine leaves a request unplaced.
	ReasonNoEngine
	// ReasonSlotsTaken refuses a request that would wait long for a slot.
	ReasonSlotsTaken
	// ReasonPrefillQueueFull refuses a prompt that would wait long to be read.
	ReasonPrefillQueueFull
	// ReasonSharedPrefillRunning lets a prompt wait for another one's reading.
	ReasonSharedPrefillRunning
	// ReasonNoPrefillEngine, DecodingAsSoon and PrefillSooner say where a prompt is read.
	ReasonNoPrefillEngine
	ReasonDecodeAsSoon
	ReasonPrefillSooner
)

// String says the reason in words.
func (r Reason) String() string {
	switch r {
	case ReasonNoEngine:
		return "no engine can read the prompt"
	case ReasonSlotsTaken:
		return "too many requests wait for a slot"
	case ReasonPrefillQueueFull:
		return "too many prompts wait to be read"
	case ReasonSharedPrefillRunning:
		return "the engine reads shared parts for another request"
	case ReasonNoPrefillEngine:
		return "no prefill engine is left"
	case ReasonDecodeAsSoon:
		return "the decoding engine has it as soon"
	case ReasonPrefillSooner:
		return "a prefill engine has it sooner"
	default:
		return ""
	}
}
