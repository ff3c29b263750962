package crashguard

import (
	"errors"
	"syscall"
)

// ProbeResult is the result of probing a back end.
type ProbeResult int

// Probe results.
const (
	// ProbeUnclear: no answer in time; the network path may be cut.
	ProbeUnclear ProbeResult = iota
	// ProbeServing: the back end accepts connections.
	ProbeServing
	// ProbeGone: the machine answers, but nothing serves at the address.
	ProbeGone
)

// ProbeResultOf returns the result of an attempt to connect to a back end, given its error; nil is success.
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
