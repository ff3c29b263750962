package simulation

import (
	"fmt"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Violation is a broken invariant.
type Violation struct {
	Check  string
	Detail string
	At     time.Duration
}

// Error describes the broken invariant.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s at %.6f s: %s", v.Check, v.At.Seconds(), v.Detail)
}

// checks verify the invariants during a run. Each method compares one event with what must always hold; the first
// violation ends the run.
type checks struct {
	world       *world
	violation   *Violation
	logs        logChecks
	orders      orderChecks
	propagation propagationChecks
	answers     answerChecks
	leases      leaseChecks
	claims      map[string]string // the attempt that ran, by claim key
}

func newChecks(w *world) *checks {
	c := &checks{world: w, claims: map[string]string{}}
	c.logs = newLogChecks(c)
	c.orders = newOrderChecks(c)
	c.propagation = newPropagationChecks(c)
	c.answers = newAnswerChecks(c)
	c.leases = newLeaseChecks(c)
	return c
}

// fail records the first violation.
func (c *checks) fail(check, format string, arguments ...any) {
	if only := c.world.options.OnlyCheck; c.violation != nil || only != "" && only != check {
		return
	}
	c.violation = &Violation{Check: check, Detail: fmt.Sprintf(format, arguments...), At: c.world.now}
	c.world.trace.add(c.world.now, "VIOLATION", "%s: %s", check, c.violation.Detail)
}

// checkControllerStarted checks the content of a starting controller's disk.
func (c *checks) checkControllerStarted(of *controller, restored consensus.Restored) {
	c.logs.checkRestored(of, restored)
	c.propagation.forgetController(of)
}

// checkControllerStep checks the outputs of one step of a core before they are executed.
func (c *checks) checkControllerStep(of *controller, outputs []control.Output) {
	for _, output := range outputs {
		switch action := output.(type) {
		case control.Persist:
			c.logs.checkPersist(of, action)
		case control.SendPeer:
			c.logs.checkMessage(of, action.Message)
		}
	}
	c.logs.afterStep(of, of.status())
	c.propagation.checkController(of)
	c.leases.afterStep(of)
}

// checkClaimRan checks that the request of a claim key runs at most once.
func (c *checks) checkClaimRan(g *gateway, key, attempt string) {
	c.world.trace.add(c.world.now, g.name, "runs %s as %s", key, attempt)
	if earlier, ran := c.claims[key]; ran {
		c.fail("at most once", "the request of %s ran as %s and again as %s", key, earlier, attempt)
	}
	c.claims[key] = attempt
}

// leavingBound is the time for which an engine may still be sent new work after its removal began: the router's limit
// on a slow clock, plus a margin.
const leavingBound = 4200 * time.Millisecond

// checkWorkSent checks that a leaving engine receives no new work after leavingBound.
func (c *checks) checkWorkSent(g *gateway, e *engine) {
	if e.isLeaving && c.world.now-e.leftAt > leavingBound {
		c.fail("no work to the leaving", "%s sends work to %s, which has been leaving for %v",
			g.name, e.name, c.world.now-e.leftAt)
	}
}

// checkEngineChange checks that no change of role or model begins while requests are in flight.
func (c *checks) checkEngineChange(e *engine) {
	order := e.durable.Order
	takesOutOfService := order.Action == enginecontract.ActionSetRole || order.Action == enginecontract.ActionLoadModel
	if e.durable.Phase == enginecontract.PhaseChanging && takesOutOfService && e.inFlight > 0 {
		c.fail("no request is cut", "%s changes by %v with %d requests in flight", e.name, order.Fence, e.inFlight)
	}
}
