package backpressure

import (
	"strconv"
	"strings"
)

// maximumLimit is the largest limit that binds anything, in requests a second: no back end serves as many, so that a
// larger one is none.
const maximumLimit = 100_000

// limitCharacters are those of a decimal number.
const limitCharacters = "0123456789.+-eE"

// Limit is how many requests a second a back end takes of all processes together; the zero value is no limit.
type Limit struct {
	// IsSet tells that there is a limit.
	IsSet bool
	// PerSecond is 0 or more.
	PerSecond float64
}

// ParseLimit reads the values of the header that names a limit; none are no limit, and of several the smallest counts.
// It reports false where one is no decimal number of 0 or more: that says nothing.
func ParseLimit(values [][]byte) (smallest Limit, readable bool) {
	for _, value := range values {
		limit, readable := parseLimit(string(value))
		if !readable {
			return Limit{}, false
		}
		if limit.isBelow(smallest) {
			smallest = limit
		}
	}
	return smallest, true
}

// isBelow reports whether a limit allows less than another one.
func (l Limit) isBelow(other Limit) bool {
	return l.IsSet && (!other.IsSet || l.PerSecond < other.PerSecond)
}

// parseLimit reads one value. One beyond what any back end serves is no limit.
func parseLimit(value string) (limit Limit, readable bool) {
	text := strings.TrimSpace(value)
	if text == "" || strings.Trim(text, limitCharacters) != "" {
		return Limit{}, false
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	switch {
	case perSecond > maximumLimit: // also one that is out of range
		return Limit{}, true
	case err != nil, perSecond < 0:
		return Limit{}, false
	default:
		return Limit{IsSet: true, PerSecond: perSecond}, true
	}
}
