package crashguard

import (
	"errors"
	"syscall"
)

// Sight is what a look at a back end showed.
type Sight int

// Sights.
const (
	// Unclear: nothing answered in time; the way there may be cut.
	Unclear Sight = iota
	// Serves: the back end takes connections.
	Serves
	// Gone: its machine answers, and nothing serves at the address.
	Gone
)

// SightOf is what an attempt to connect to a back end showed by its error; nil is none.
func SightOf(err error) Sight {
	switch {
	case err == nil:
		return Serves
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return Gone
	default:
		return Unclear
	}
}
