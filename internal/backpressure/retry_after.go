package backpressure

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// maximumBackoff bounds the rest that one answer can ask for, so that a wrong value does not lose a back end
// for days.
const maximumBackoff = time.Hour

// ParseRetryAfter reads the value of a header Retry-After: seconds, fractions included. It is 0 where the header
// is missing, is a date or cannot be read, and longestRest at most.
func ParseRetryAfter(value []byte) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(string(value)), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maximumBackoff.Seconds()) * float64(time.Second))
}
