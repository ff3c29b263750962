package eventstream

import (
	"bytes"
	"strconv"
)

// Event is one server-sent event, including the empty line that ends it.
type Event struct {
	Bytes []byte
	// ID is empty when the event has none.
	ID string
}

// ID returns the value of an event's id field; empty if it has none.
func ID(text []byte) string {
	for line := range bytes.Lines(text) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// IsCut reports whether the bytes after the last event of a stream are the beginning of another one. Comments and empty lines
// belong to no event.
func (e Event) IsCut() bool {
	for line := range bytes.Lines(e.Bytes) {
		isWhole := line[len(line)-1] == '\n'
		if !isWhole || !isEmptyLine(line) && line[0] != ':' {
			return true
		}
	}
	return false
}

// HasField reports whether the event has any field. Comments and empty lines have none.
func (e Event) HasField() bool {
	for line := range bytes.Lines(e.Bytes) {
		if !isEmptyLine(line) && line[0] != ':' {
			return true
		}
	}
	return false
}

// IsAfter reports whether an event comes after the event with the given identity. Identities that are not numbers cannot be
// compared; the event then counts as later.
func (e Event) IsAfter(lastID string) bool {
	id, ownErr := strconv.ParseInt(e.ID, 10, 64)
	lastNumber, passedErr := strconv.ParseInt(lastID, 10, 64)
	if ownErr != nil || passedErr != nil {
		return true
	}
	return id > lastNumber
}
