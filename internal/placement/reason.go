package placement

// Reason is why a placement decision was made. Its numbers are sent between processes and are never reused.
type Reason uint32

// Reasons.
const (
	// ReasonNone means that there was nothing to decide.
	ReasonNone Reason = iota
	// ReasonNoEngine means that no engine can prefill the prompt.
	ReasonNoEngine
	// ReasonSlotsTaken refuses a request that would wait too long for a slot.
	ReasonSlotsTaken
	// ReasonPrefillQueueFull refuses a prompt that would wait too long for its prefill.
	ReasonPrefillQueueFull
	// ReasonSharedPrefillRunning makes a prompt wait for the prefill of another one with shared prefix blocks.
	ReasonSharedPrefillRunning
	// ReasonNoPrefillEngine, ReasonDecodeAsSoon and ReasonPrefillSooner explain where a prompt is prefilled.
	ReasonNoPrefillEngine
	ReasonDecodeAsSoon
	ReasonPrefillSooner
)

// String returns the reason as text.
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
