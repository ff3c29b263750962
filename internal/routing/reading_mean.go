package routing

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// readingFade is the weight that older exchanges keep with each new one.
const readingFade = 0.99

// readingKey groups back ends whose requests are alike.
type readingKey struct {
	service string
	role    enginecontract.Role
}

// readingMean learns how many prompt tokens of a request in flight are unread on
// average over its time in flight: the prompt for as long as it is read, then none.
type readingMean struct {
	tokenSeconds float64
	seconds      float64
}

// learn takes in an exchange that has ended; one without a first token tells nothing.
func (m *readingMean) learn(now time.Duration, ended sentWork) {
	if ended.firstToken == 0 {
		return
	}
	read := (ended.firstToken - ended.at).Seconds()
	m.tokenSeconds = m.tokenSeconds*readingFade + float64(ended.promptTokens)*read
	m.seconds = m.seconds*readingFade + (now - ended.at).Seconds()
}

func (m *readingMean) known() bool { return m.seconds > 0 }

func (m *readingMean) tokens() float64 { return m.tokenSeconds / m.seconds }

// reading returns what is learned of the back ends like this one.
func (r *Router) reading(candidate *Candidate) *readingMean {
	key := readingKey{candidate.Service, candidate.Role}
	mean, found := r.readings[key]
	if !found {
		mean = &readingMean{}
		r.readings[key] = mean
	}
	return mean
}

// forgetReadings drops what was learned of services that have left the directory.
func (r *Router) forgetReadings() {
	present := make(map[string]bool)
	for _, candidate := range r.candidates {
		present[candidate.Service] = true
	}
	for key := range r.readings {
		if !present[key.service] {
			delete(r.readings, key)
		}
	}
}
