package framing

// Declaration says how the end of a body is determined.
type Declaration struct {
	Kind Kind
	// Length is the number of bytes of a body of the kind Length.
	Length int
	// MustConfirm is true if the end of a body of the kind Close is that of an answer only if the sender has received the whole request.
	// It is false for an answer that rejects its request: the sender need not read the rest.
	MustConfirm bool
}
