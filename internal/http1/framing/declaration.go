package framing

// Declaration says how the end of a body is determined.
type Declaration struct {
	Kind Kind
	// Length is the number of bytes of a body of the kind Length.
	Length int
}
