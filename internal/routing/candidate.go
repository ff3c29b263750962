package routing

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// busyHold is the least time that a back end's own word that it is draining or
// changing outweighs the directory, which lags.
const busyHold = 2 * time.Second

// Candidate is a back end and what this gateway itself knows of it.
type Candidate struct {
	BackEnd

	// node identifies this incarnation of the back end in the prefix memory.
	node uint64
	// nameHash stays equal over incarnations, so that homes do not move.
	nameHash uint64
	work     ownWork
	// reading is what is learned of all back ends like this one.
	reading *readingMean
	// load is the estimate of the decision under way.
	load loadEstimate
	// heldState is what the back end itself said at heldAt when it did not serve;
	// empty when it serves as far as this gateway has been told.
	heldState enginecontract.ServiceState
	heldAt    time.Duration
	// avoidUntil is the end of the cooling down after failures in a row.
	avoidUntil time.Duration
	failures   int
	// outdated tells that the directory's row is about an earlier incarnation.
	outdated bool
	// signals are what this incarnation has asked of this gateway.
	signals *backpressure.Signals
}

func newCandidate(backEnd BackEnd, signals *backpressure.Signals) *Candidate {
	hash := hashName(backEnd.Name)
	return &Candidate{
		BackEnd:  backEnd,
		nameHash: hash,
		signals:  signals,
		node:     nodeIdentity(hash, backEnd.Incarnation),
	}
}

func nodeIdentity(nameHash, incarnation uint64) uint64 {
	return rendezvousWeight(nameHash, incarnation+1) | 1 // never 0
}

// update takes over a newer row of the directory. What this gateway has learned
// later from the back end itself stays.
//
// A row without an incarnation comes of a controller that has only the machine list:
// its state counts. A row of an earlier incarnation tells nothing, and so nothing
// confirms it later.
func (c *Candidate) update(row BackEnd) {
	if row.Incarnation == 0 {
		row.Incarnation = c.Incarnation
	}
	c.outdated = row.Incarnation < c.Incarnation
	if c.outdated {
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
			c.State = previous.State // the newer reading
		}
	}
	if previous.HasLoad && (!row.HasLoad || previous.LoadAt >= row.LoadAt) {
		c.Load, c.LoadAt, c.HasLoad = previous.Load, previous.LoadAt, true
	} else if row.HasLoad {
		c.work.reported(row.LoadAt)
	}
	c.confirm(row.ConfirmedAt)
}

// confirm tells that the directory still said the same at the given time. It ends
// a hold, but not that of a back end that is leaving: leaving is final.
func (c *Candidate) confirm(at time.Duration) {
	if c.outdated {
		return
	}
	c.ConfirmedAt = max(c.ConfirmedAt, at)
	if c.heldState != enginecontract.StateLeaving && at >= c.heldAt+busyHold {
		c.heldState = ""
	}
}

// serving reports whether both the directory and the back end itself say so.
func (c *Candidate) serving() bool {
	return c.State == enginecontract.StateServing && c.heldState == "" && !c.signals.IsLeaving()
}

// restart forgets what is true of one incarnation only.
func (c *Candidate) restart(incarnation uint64) {
	c.Incarnation = incarnation
	c.node = nodeIdentity(c.nameHash, incarnation)
	c.heldState, c.heldAt = "", 0
	c.ConfirmedAt, c.HasLoad = neverConfirmed, false
	c.work = ownWork{}
	c.avoidUntil, c.failures = 0, 0
}

// reportState takes over the state that the back end itself gave in an answer that
// arrived at a time, to a request sent at another. Its "serving" confirms it as of
// the sending, for an answer may be long under way, and ends a hold, but never
// overrules a directory that says otherwise.
func (c *Candidate) reportState(at, sentAt time.Duration, state enginecontract.ServiceState) {
	if c.heldState == enginecontract.StateLeaving || at < c.heldAt {
		return
	}
	if state != enginecontract.StateServing {
		c.heldState, c.heldAt = state, at
		return
	}
	c.heldState = ""
	c.ConfirmedAt = max(c.ConfirmedAt, min(at, sentAt))
}

// reportLoad takes over the load that the back end itself gave in an answer.
func (c *Candidate) reportLoad(at time.Duration, load Load) {
	if c.HasLoad && at < c.LoadAt {
		return
	}
	c.Load, c.LoadAt, c.HasLoad = load, at, true
	c.work.reported(at)
}
