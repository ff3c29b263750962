package crashguard

import (
	"errors"
	"syscall"
)

// ProbeResult is what a look at a back end showed.
type ProbeResult int

// Sights.
const (
	// ProbeUnclear: nothing answered in time; the way there may be cut.
	ProbeUnclear ProbeResult = iota
	// ProbeServing: the back end takes connections.
	ProbeServing
	// ProbeGone: its machine answers, and nothing serves at the address.
	ProbeGone
)

// ProbeResultOf is what an attempt to connect to a back end showed by its error; nil is none.
func ProbeResultOf(err error) ProbeResult {
	switch {
	case err == nil:
		return ProbeServing
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return ProbeGone
	default:
		return ProbeUnclear
	}
}
