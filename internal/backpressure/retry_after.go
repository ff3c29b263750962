package backpressure

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// maximumBackoff limits the backoff that one response can request, so that a wrong value does not disable a back end for
// days.
const maximumBackoff = time.Hour

// ParseRetryAfter returns the duration in a Retry-After header, in seconds with optional fractions. It is 0 if the value is
// missing, a date or malformed, and at most maximumBackoff.
func ParseRetryAfter(value []byte) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(string(value)), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maximumBackoff.Seconds()) * float64(time.Second))
}
