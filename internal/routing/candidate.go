package routing

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// minStateHold is the minimum time for which a state of draining or changing that the back end itself reported
// overrides the directory, which lags behind.
const minStateHold = 2 * time.Second

// Candidate is a back end together with this gateway's own observations of it.
type Candidate struct {
	BackEnd

	// cacheNode identifies this incarnation in the prefix index.
	cacheNode uint64
	// nameHash is the hash of the name, the same for all incarnations, so that home back ends do not change.
	nameHash    uint64
	ownRequests ownRequests
	// prefillMean is the estimate shared by all back ends of the same service and role.
	prefillMean *prefillMean
	// load is the load estimate of the current decision.
	load loadEstimate
	// reportedState is the state other than serving that the back end itself reported at reportedStateAt. It is
	// empty while the back end serves as far as this gateway knows.
	reportedState   enginecontract.ServiceState
	reportedStateAt time.Duration
	// cooldownUntil is the end of the cooldown after consecutive failures.
	cooldownUntil time.Duration
	failures      int
	// isOutdated is true if the directory's row describes an earlier incarnation of the back end than the newest one that
	// is known here from earlier rows or from the back end's answers to this gateway's requests.
	isOutdated bool
	// signals are the backoff, limit and leaving state that this incarnation has signalled to this gateway.
	signals *backpressure.Signals
}

func newCandidate(backEnd BackEnd, signals *backpressure.Signals) *Candidate {
	hash := hashName(backEnd.Name)
	return &Candidate{
		BackEnd:   backEnd,
		nameHash:  hash,
		signals:   signals,
		cacheNode: cacheNodeOf(hash, backEnd.Incarnation),
	}
}

func cacheNodeOf(nameHash, incarnation uint64) uint64 {
	return rendezvousWeight(nameHash, incarnation+1) | 1 // never 0
}

// update applies a newer row of the directory. Later reports of the back end itself stay in effect.
//
// A row without an incarnation comes from a controller that has only the machine list; its state applies. A row
// of an earlier incarnation is ignored, and so are confirmations of the directory until it has a newer row.
func (c *Candidate) update(row BackEnd) {
	if row.Incarnation == 0 {
		row.Incarnation = c.Incarnation
	}
	c.isOutdated = row.Incarnation < c.Incarnation
	if c.isOutdated {
		return
	}
	if row.Incarnation > c.Incarnation {
		c.restart(row.Incarnation)
	}
	previous := c.BackEnd
	c.BackEnd = row
	if previous.ConfirmedAt > row.ConfirmedAt {
		c.ConfirmedAt, c.Role = previous.ConfirmedAt, previous.Role
		if previous.State != enginecontract.StateServing {
			c.State = previous.State // the newer state
		}
	}
	if previous.HasLoad && (!row.HasLoad || previous.LoadAt >= row.LoadAt) {
		c.Load, c.LoadAt, c.HasLoad = previous.Load, previous.LoadAt, true
	} else if row.HasLoad {
		c.ownRequests.applyReport(row.LoadAt)
	}
	c.confirm(row.ConfirmedAt)
}

// confirm records that the directory was unchanged at the given time. After minStateHold this ends a state that the back
// end itself has reported, except leaving, which is final.
func (c *Candidate) confirm(at time.Duration) {
	if c.isOutdated {
		return
	}
	c.ConfirmedAt = max(c.ConfirmedAt, at)
	if c.reportedState != enginecontract.StateLeaving && at >= c.reportedStateAt+minStateHold {
		c.reportedState = ""
	}
}

// isServing reports whether both the directory and the back end itself report the state serving.
func (c *Candidate) isServing() bool {
	return c.State == enginecontract.StateServing && c.reportedState == "" && !c.signals.IsLeaving()
}

// restart discards everything that belongs to the previous incarnation only.
func (c *Candidate) restart(incarnation uint64) {
	c.Incarnation = incarnation
	c.cacheNode = cacheNodeOf(c.nameHash, incarnation)
	c.reportedState, c.reportedStateAt = "", 0
	c.ConfirmedAt, c.HasLoad = neverConfirmed, false
	c.ownRequests = ownRequests{}
	c.cooldownUntil, c.failures = 0, 0
}

// reportState applies the state that the back end itself reported in an answer that arrived at a given time, to
// a request sent at sentAt. A state of serving confirms the back end as of sentAt, since the answer may have taken
// long, and ends a reported other state, but never overrides the directory.
func (c *Candidate) reportState(at, sentAt time.Duration, state enginecontract.ServiceState) {
	if c.reportedState == enginecontract.StateLeaving || at < c.reportedStateAt {
		return
	}
	if state != enginecontract.StateServing {
		c.reportedState, c.reportedStateAt = state, at
		return
	}
	c.reportedState = ""
	c.ConfirmedAt = max(c.ConfirmedAt, min(at, sentAt))
}

// reportLoad applies the load that the back end itself reported in an answer.
func (c *Candidate) reportLoad(at time.Duration, load Load) {
	if c.HasLoad && at < c.LoadAt {
		return
	}
	c.Load, c.LoadAt, c.HasLoad = load, at, true
	c.ownRequests.applyReport(at)
}
