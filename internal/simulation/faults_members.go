package simulation

import (
	"fmt"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/control"
)

const (
	// stopGrace is the longest time between the request to stop and the exit of the process.
	stopGrace = 300 * time.Millisecond
	// administratorPause is the time between two attempts of an administrator's command.
	administratorPause = 500 * time.Millisecond
)

// stopController asks a controller to stop, which makes a leader transfer its leadership, and kills the process soon
// after.
func (f *faults) stopController(kind FaultKind, c *controller) func() {
	if !c.isAlive || c.isPaused || c.isStalled {
		return nil
	}
	f.traceFault(kind, "%s", c.name)
	isOver := false
	c.step(control.StopRequested{})
	c.after(f.world.drawDuration(stopGrace), func() {
		if !isOver {
			c.crash()
		}
	})
	return func() {
		isOver = true
		c.startIfDown()
	}
}

// swapVoter promotes a standby and removes a voter, whose machine then restarts with an empty disk and becomes a
// standby.
func (f *faults) swapVoter(kind FaultKind) func() {
	w := f.world
	if w.options.Deployment.Standbys == 0 || w.isSwapping || !w.isMembershipComplete() {
		return nil
	}
	w.isSwapping = true
	promoted, removed := w.drawMemberDisk(true), w.drawMemberDisk(false)
	machine := w.controllerWithDisk(removed)
	f.traceFault(kind, "%s for %s", promoted, removed)
	w.runUntilReached("promote member "+promoted, func(members map[string]bool) bool {
		learner, member := members[promoted]
		return member && !learner
	}, func() {
		w.runUntilReached("remove member "+removed, func(members map[string]bool) bool {
			_, member := members[removed]
			return !member
		}, func() {
			w.isSwapping = false
			running := machine.isAlive
			machine.crash()
			machine.replaceDisk()
			if running {
				machine.start()
			}
		})
	})
	return func() {}
}

// drawMemberDisk draws the disk of a learner or of a voter.
func (w *world) drawMemberDisk(learner bool) string {
	var disks []string
	for _, member := range w.leaderMembership().GetMembers() {
		if member.GetLearner() == learner {
			disks = append(disks, member.GetId())
		}
	}
	return disks[w.random.IntN(len(disks))]
}

// controllerWithDisk returns the controller that uses the disk, or nil.
func (w *world) controllerWithDisk(disk string) *controller {
	for _, c := range w.controllers {
		if c.diskID == disk {
			return c
		}
	}
	return nil
}

// runUntilReached repeats an administrator's command, given as text, until reached returns true for the committed
// membership, and then calls then. members maps each member's disk to whether the member is a learner.
func (w *world) runUntilReached(text string, reached func(members map[string]bool) bool, then func()) {
	members := map[string]bool{}
	for _, member := range w.leaderMembership().GetMembers() {
		members[member.GetId()] = member.GetLearner()
	}
	if len(members) > 0 && reached(members) {
		then()
		return
	}
	w.administratorCommands++
	request := &v1.ExecuteRequest{RequestId: fmt.Sprintf("administrator-%d", w.administratorCommands), Text: text}
	w.operators[0].callController(func(id control.CallID) control.Input {
		return control.ExecuteReceived{Call: id, Operator: "administrator", Role: v1.OperatorRole_OPERATOR_ROLE_ADMINISTRATOR, Request: request}
	}, func(controllerAnswer, bool) {
		w.operators[0].after(administratorPause, func() { w.runUntilReached(text, reached, then) })
	})
}
