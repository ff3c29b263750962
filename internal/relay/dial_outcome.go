package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// dialOutcome is the outcome of an attempt to open a connection. It is a label value of a metric.
type dialOutcome string

// Outcomes of attempts to open a connection.
const (
	dialOpened   dialOutcome = "opened"
	dialRefused  dialOutcome = "refused"
	dialTimedOut dialOutcome = "timed_out"
	dialFailed   dialOutcome = "failed"
)

// dialOutcomeOf returns the outcome of an attempt, given its error.
func dialOutcomeOf(err error) dialOutcome {
	var netErr net.Error
	switch {
	case err == nil:
		return dialOpened
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return dialRefused
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return dialTimedOut
	default:
		return dialFailed
	}
}
