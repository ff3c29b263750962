package routing

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// prefillDecay is the factor by which the weight of older exchanges decreases with each new one.
const prefillDecay = 0.99

// prefillKey groups back ends with similar requests.
type prefillKey struct {
	service string
	role    enginecontract.Role
}

// prefillMean estimates how many prompt tokens of a request in flight still have to be prefilled, averaged over its
// time in flight: the whole prompt until its first token, then none.
type prefillMean struct {
	tokenSeconds float64
	seconds      float64
}

// observe updates the estimate with a finished request. It ignores requests without a first token.
func (m *prefillMean) observe(now time.Duration, request sentRequest) {
	if request.firstTokenAt == 0 {
		return
	}
	prefill := (request.firstTokenAt - request.at).Seconds()
	m.tokenSeconds = m.tokenSeconds*prefillDecay + float64(request.promptTokens)*prefill
	m.seconds = m.seconds*prefillDecay + (now - request.at).Seconds()
}

func (m *prefillMean) hasData() bool { return m.seconds > 0 }

func (m *prefillMean) tokens() float64 { return m.tokenSeconds / m.seconds }

// prefillMeanOf returns the estimate for back ends of the candidate's service and role.
func (r *Router) prefillMeanOf(candidate *Candidate) *prefillMean {
	key := prefillKey{candidate.Service, candidate.Role}
	mean, exists := r.prefillMeans[key]
	if !exists {
		mean = &prefillMean{}
		r.prefillMeans[key] = mean
	}
	return mean
}

// dropPrefillMeans drops the estimates for services that have left the directory.
func (r *Router) dropPrefillMeans() {
	present := make(map[string]bool)
	for _, candidate := range r.candidates {
		present[candidate.Service] = true
	}
	for key := range r.prefillMeans {
		if !present[key.service] {
			delete(r.prefillMeans, key)
		}
	}
}
