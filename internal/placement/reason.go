package placement

// Reason is why a decision was made. Its numbers go between processes and are never reused.
type Reason uint32

// Reasons.
const (
	// NoReason is given where there was nothing to weigh.
	NoReason Reason = iota
	// NoReader leaves a request unplaced.
	NoReader
	// SlotsTaken refuses a request that would wait long for a slot.
	SlotsTaken
	// TooManyPrompts refuses a prompt that would wait long to be read.
	TooManyPrompts
	// SharedPartsRead lets a prompt wait for another one's reading.
	SharedPartsRead
	// NoPrefillEngine, DecodingAsSoon and PrefillSooner say where a prompt is read.
	NoPrefillEngine
	DecodingAsSoon
	PrefillSooner
)

// String says the reason in words.
func (r Reason) String() string {
	switch r {
	case NoReader:
		return "no engine can read the prompt"
	case SlotsTaken:
		return "too many requests wait for a slot"
	case TooManyPrompts:
		return "too many prompts wait to be read"
	case SharedPartsRead:
		return "the engine reads shared parts for another request"
	case NoPrefillEngine:
		return "no prefill engine is left"
	case DecodingAsSoon:
		return "the decoding engine has it as soon"
	case PrefillSooner:
		return "a prefill engine has it sooner"
	default:
		return ""
	}
}
