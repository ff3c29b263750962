package simulation

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
)

// Result is the result of one run.
type Result struct {
	Seed uint64
	// Violation is nil when every check passed.
	Violation *Violation
	// TraceHash is equal for equal seeds and options.
	TraceHash uint64
	// Trace holds the last lines of the trace, the oldest first.
	Trace []string
	Steps int
	// VirtualTime is the duration of the run in virtual time.
	VirtualTime time.Duration
	// Faults counts the faults that began, by kind.
	Faults map[FaultKind]int
	// Accepted counts accepted changes, Orders the orders that engines accepted, Claims the requests that ran under a
	// claim, Operations the operators' commands, Leaders the terms with a leader.
	Accepted   int
	Orders     int
	Claims     int
	Operations int
	Leaders    int
}

// Bounds of the time after the faults have ended.
const (
	settleTime  = 60 * time.Second
	settleCheck = 100 * time.Millisecond
)

// Run simulates one seed.
func Run(options Options) Result {
	options = options.withDefaults()
	w := newWorld(options)
	w.start()
	steps := 0
	for steps < options.Steps && w.checks.violation == nil && w.step() {
		steps++
	}
	steps += w.settle()
	if w.checks.violation == nil {
		w.checkHistory()
	}
	return w.result(steps)
}

// settle ends the faults and runs until the fleet has recovered, which it must do within settleTime. It returns the
// number of steps.
func (w *world) settle() int {
	if w.checks.violation != nil {
		return 0
	}
	w.faults.heal()
	w.isHealed = true
	accepted := w.checks.answers.accepted
	target := w.checks.answers.highest
	steps := 0
	nextCheck := w.now
	for end := w.now + settleTime; w.now < end && w.checks.violation == nil; steps++ {
		if !w.step() {
			break
		}
		if w.now >= nextCheck {
			nextCheck = w.now + settleCheck
			if w.checks.answers.accepted > accepted && w.unsettledReason(target) == "" {
				return steps
			}
		}
	}
	if w.checks.violation == nil {
		reason := w.unsettledReason(target)
		if reason == "" {
			reason = "no change has been accepted since"
		}
		w.checks.fail("recovers in bounded time", "%v after the faults healed: %s", settleTime, reason)
	}
	return steps
}

// unsettledReason describes what has not recovered after the faults, or returns an empty string when the whole fleet
// has. Every controller and gateway must have reached at least the revision target.
func (w *world) unsettledReason(target uint64) string {
	if !w.isMembershipComplete() {
		return "the members are not exactly the disks in use, or have another number of voters: " + w.membership()
	}
	for _, c := range w.controllers {
		if c.core == nil {
			return c.name + " is not running"
		}
		if c.core.State().Revision() < target {
			return c.name + " has not applied the accepted configuration"
		}
	}
	for _, g := range w.gateways {
		if g.state.Revision() < target {
			return g.name + " has not applied the accepted configuration"
		}
	}
	return ""
}

// membership describes the members as the leader knows them.
func (w *world) membership() string {
	for _, c := range w.controllers {
		if c.core == nil {
			continue
		}
		if status := c.status(); status.Role == consensus.RoleLeader {
			return c.name + " leads " + status.Membership.String()
		}
	}
	return "no leader"
}

// checkHistory checks that the operators' commands are linearizable.
func (w *world) checkHistory() {
	first := fleetValue{revision: w.firstRevision, number: w.operators[0].firstNumber}
	for i := range first.weights {
		first.weights[i] = firstWeight
	}
	if !w.history.isLinearizable(first) {
		w.checks.fail("linearizable", "the %d commands of operators fit into no order", len(w.history.operations))
	}
}

// result returns the counts and the outcome of the run.
func (w *world) result(steps int) Result {
	return Result{
		Seed: w.options.Seed, Violation: w.checks.violation, TraceHash: w.trace.hash(), Trace: w.trace.last(),
		Steps: steps, VirtualTime: w.now, Faults: w.faults.counts, Accepted: w.checks.answers.accepted,
		Orders: w.checks.orders.acceptedCount, Claims: len(w.checks.claims), Operations: len(w.history.operations),
		Leaders: len(w.checks.logs.leaders),
	}
}

// add adds the counts of another run.
func (r *Result) add(other Result) {
	r.Steps += other.Steps
	r.VirtualTime += other.VirtualTime
	r.Accepted += other.Accepted
	r.Orders += other.Orders
	r.Claims += other.Claims
	r.Operations += other.Operations
	r.Leaders += other.Leaders
	if r.Faults == nil {
		r.Faults = map[FaultKind]int{}
	}
	for kind, count := range other.Faults {
		r.Faults[kind] += count
	}
}
