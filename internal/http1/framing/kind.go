package framing

// Kind says how the end of a body is determined.
type Kind int

// Kinds of framing.
const (
	// None: the message has no body.
	None Kind = iota
	// Length: the head states the number of bytes.
	Length
	// Chunks: the body consists of chunks, of which the last one is marked.
	Chunks
	// Close: the body ends when its connection is closed.
	Close
)

// String returns the name of the kind in log lines and metrics.
func (k Kind) String() string {
	switch k {
	case None:
		return "none"
	case Length:
		return "length"
	case Chunks:
		return "chunks"
	default:
		return "close"
	}
}
