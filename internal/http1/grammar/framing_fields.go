package grammar

import (
	"bytes"
	"strconv"
)

// Rules of the fields that say where a body ends (RFC 9112, 6).
const (
	// RuleContentLength: one field with a decimal number.
	RuleContentLength Rule = "content length"
	// RuleTransferEncoding: one field that says "chunked", in a message of HTTP/1.1.
	RuleTransferEncoding Rule = "transfer encoding"
)

// FramingFields are the fields of a head that say where its body ends.
type FramingFields struct {
	// HasLength is true if the head states a length, Length.
	HasLength bool
	Length    int
	// IsChunked is true if the body has chunks. It overrides a length.
	IsChunked bool
}

// Add adds a field of the head; other fields change nothing.
func (f *FramingFields) Add(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		return f.addLength(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return f.addEncoding(value)
	default:
		return nil
	}
}

func (f *FramingFields) addLength(value []byte) error {
	if f.HasLength {
		return NewViolation(RuleContentLength, "it is given twice")
	}
	for _, character := range value {
		if !isDigit(character) {
			return NewViolation(RuleContentLength, "%s is no decimal number", quote(value))
		}
	}
	length, err := strconv.Atoi(string(value)) // which would take a sign as well
	if err != nil {
		return NewViolation(RuleContentLength, "%s is empty or too large", quote(value))
	}
	f.HasLength, f.Length = true, length
	return nil
}

func (f *FramingFields) addEncoding(value []byte) error {
	if f.IsChunked {
		return NewViolation(RuleTransferEncoding, "it is given twice")
	}
	if !bytes.EqualFold(value, []byte("chunked")) {
		return NewViolation(RuleTransferEncoding, "%s is not chunked", quote(value))
	}
	f.IsChunked = true
	return nil
}

// Check checks the fields of a whole head: the version before HTTP/1.1 has no transfer encodings.
func (f *FramingFields) Check(line StatusLine) error {
	if f.IsChunked && line.Minor == 0 {
		return NewViolation(RuleTransferEncoding, "HTTP/1.0 has none")
	}
	return nil
}
