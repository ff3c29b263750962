package routing

import (
	"math"
	"time"
)

// loadHalfLife is the age at which a report of other gateways' work has half its weight. The older a report, the
// more the mean of all back ends replaces it: a back end that was idle gets requests from every gateway that saw
// it idle.
const loadHalfLife = 500 * time.Millisecond

// loadEstimate is the estimated current load of a back end.
type loadEstimate struct {
	requests      float64
	prefillTokens float64
}

func (l loadEstimate) plus(other loadEstimate) loadEstimate {
	return loadEstimate{requests: l.requests + other.requests, prefillTokens: l.prefillTokens + other.prefillTokens}
}

// interpolate returns the point at a fraction of the way from l to other.
func (l loadEstimate) interpolate(other loadEstimate, fraction float64) loadEstimate {
	return loadEstimate{
		requests:      l.requests + fraction*(other.requests-l.requests),
		prefillTokens: l.prefillTokens + fraction*(other.prefillTokens-l.prefillTokens),
	}
}

// ownLoad returns the load of this gateway's own requests. It is exact as long as first tokens are observed.
func (c *Candidate) ownLoad() loadEstimate {
	prefillTokens := float64(c.ownRequests.unreportedTokens)
	if c.prefillMean.hasData() {
		prefillTokens += c.ownRequests.prefillTokens()
	}
	return loadEstimate{requests: float64(len(c.ownRequests.requests)), prefillTokens: prefillTokens}
}

// othersLoad returns the load of other gateways' requests at the time of the last report. A report counts running
// requests but not how many of their prompt tokens still have to be prefilled: this is estimated from this
// gateway's own requests.
func (c *Candidate) othersLoad() loadEstimate {
	if !c.HasLoad {
		return loadEstimate{}
	}
	ownReported := len(c.ownRequests.requests) - c.ownRequests.unreported + len(c.ownRequests.finished)
	requests := float64(max(c.Load.Running+c.Load.Waiting-ownReported, 0))
	prefillTokens := float64(c.Load.WaitingPromptTokens)
	if c.prefillMean.hasData() {
		prefillTokens = max(prefillTokens-c.ownRequests.prefillTokens(), 0) + min(requests, float64(c.Load.Running))*c.prefillMean.tokens()
	}
	return loadEstimate{requests: requests, prefillTokens: prefillTokens}
}

// estimateLoads sets the load of every filtered candidate.
func (r *Router) estimateLoads(now time.Duration) {
	var mean loadEstimate
	for _, candidate := range r.filtered {
		candidate.load = candidate.othersLoad()
		mean = mean.plus(candidate.load)
	}
	count := float64(len(r.filtered))
	mean = loadEstimate{requests: mean.requests / count, prefillTokens: mean.prefillTokens / count}
	for _, candidate := range r.filtered {
		staleness := 1 - math.Exp2(-float64(now-candidate.LoadAt)/float64(loadHalfLife))
		candidate.load = candidate.load.interpolate(mean, staleness).plus(candidate.ownLoad())
	}
}
