package backpressure

import (
	"strconv"
	"strings"
)

// maximumLimit is the largest effective limit, in requests per second. No back end serves more, so a larger value means
// no limit.
const maximumLimit = 100_000

// limitCharacters are the characters that a value of the limit header may contain.
const limitCharacters = "0123456789.+-eE"

// Limit is a back end's limit on the requests of all processes together; the zero value is no limit.
type Limit struct {
	// IsSet is true if there is a limit.
	IsSet bool
	// PerSecond is the limit in requests per second, 0 or more.
	PerSecond float64
}

// ParseLimit parses the values of the limit header. No value means no limit; of several values the smallest applies.
// readable is false if a value is not a decimal number of 0 or more; the header then has no meaning.
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

// isBelow reports whether a limit is stricter than another one.
func (l Limit) isBelow(other Limit) bool {
	return l.IsSet && (!other.IsSet || l.PerSecond < other.PerSecond)
}

// parseLimit parses one value. A value above maximumLimit means no limit.
func parseLimit(value string) (limit Limit, readable bool) {
	text := strings.TrimSpace(value)
	if text == "" || strings.Trim(text, limitCharacters) != "" {
		return Limit{}, false
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	switch {
	case perSecond > maximumLimit: // also for values out of range
		return Limit{}, true
	case err != nil, perSecond < 0:
		return Limit{}, false
	default:
		return Limit{IsSet: true, PerSecond: perSecond}, true
	}
}
