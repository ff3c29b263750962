package routing

import (
	"math"
	"time"
)

// loadHalfLife is the age at which a report of others' work is half trusted. With
// age it is taken to be like the mean of all back ends: what was idle is filled by
// others who saw it idle too.
const loadHalfLife = 500 * time.Millisecond

// loadEstimate is a back end's load as far as it can be told now.
type loadEstimate struct {
	requests     float64
	unreadTokens float64
}

func (l loadEstimate) plus(other loadEstimate) loadEstimate {
	return loadEstimate{requests: l.requests + other.requests, unreadTokens: l.unreadTokens + other.unreadTokens}
}

// between is the point at a part of the way from l to other.
func (l loadEstimate) between(other loadEstimate, part float64) loadEstimate {
	return loadEstimate{
		requests:     l.requests + part*(other.requests-l.requests),
		unreadTokens: l.unreadTokens + part*(other.unreadTokens-l.unreadTokens),
	}
}

// ownLoad is what this gateway's own requests add. It is exact as long as first
// tokens are observed.
func (c *Candidate) ownLoad() loadEstimate {
	unread := float64(c.work.unreportedPrompt)
	if c.reading.known() {
		unread += c.work.readingTokens()
	}
	return loadEstimate{requests: float64(len(c.work.sent)), unreadTokens: unread}
}

// othersLoad is what others' requests added when the last report was made. A report
// tells how many requests run, but not how much of their prompts is unread: that is
// taken to be like this gateway's own.
func (c *Candidate) othersLoad() loadEstimate {
	if !c.HasLoad {
		return loadEstimate{}
	}
	ownReported := len(c.work.sent) - c.work.unreported + len(c.work.finished)
	requests := float64(max(c.Load.Running+c.Load.Waiting-ownReported, 0))
	unread := float64(c.Load.WaitingPromptTokens)
	if c.reading.known() {
		unread = max(unread-c.work.readingTokens(), 0) + min(requests, float64(c.Load.Running))*c.reading.tokens()
	}
	return loadEstimate{requests: requests, unreadTokens: unread}
}

// estimateLoads sets the load of every kept candidate.
func (r *Router) estimateLoads(now time.Duration) {
	var mean loadEstimate
	for _, candidate := range r.kept {
		candidate.load = candidate.othersLoad()
		mean = mean.plus(candidate.load)
	}
	count := float64(len(r.kept))
	mean = loadEstimate{requests: mean.requests / count, unreadTokens: mean.unreadTokens / count}
	for _, candidate := range r.kept {
		doubt := 1 - math.Exp2(-float64(now-candidate.LoadAt)/float64(loadHalfLife))
		candidate.load = candidate.load.between(mean, doubt).plus(candidate.ownLoad())
	}
}
