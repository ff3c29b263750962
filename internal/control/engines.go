package control

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/authority"
)

// orderPollInterval is the time within which an engine that carries out an order is polled again.
const orderPollInterval = 200 * time.Millisecond

// handleMachineList processes a read of the platform's machine list.
func (c *Core) handleMachineList(received MachineListReceived) {
	if !c.tracker.ApplyList(c.now, received.List) {
		return
	}
	c.updateEngineAddresses()
}

// updateEngineAddresses passes the engines' addresses to the commander.
func (c *Core) updateEngineAddresses() {
	for _, machine := range c.tracker.Machines() {
		if !c.isPageService(machine.Row.Service) {
			c.commander.SetListing(machine.Row.Name, machine.Row.Address, machine.Listed)
		}
	}
}

func (c *Core) isPageService(service string) bool {
	declared := c.state.Object(v1.ObjectType_OBJECT_TYPE_SERVICE, service).GetService()
	return declared.GetType() == v1.ServiceType_SERVICE_TYPE_PAGE
}

// handleEngineState processes the answer to a poll.
func (c *Core) handleEngineState(received EngineStateReceived) {
	sentAt, accepted := c.tracker.RecordPollAnswer(c.now, received.Engine, received.State, received.Load)
	if !accepted {
		return
	}
	c.commander.RecordPollAnswer(sentAt, received.Engine, *received.State)
	if c.state.Engine(received.Engine).GetOutstanding() != nil {
		c.tracker.ExpeditePoll(c.now, received.Engine, orderPollInterval)
	}
}

// pollEngines sends the polls that are due, and drops engines that are gone.
func (c *Core) pollEngines() {
	for _, poll := range c.tracker.DuePolls(c.now) {
		c.emit(PollEngine{Engine: poll.Name, Address: poll.Address})
	}
	for _, name := range c.tracker.RemoveGone(c.now) {
		c.commander.SetListing(name, "", false)
		if c.state.Engine(name).GetOutstanding() == nil {
			c.commander.RemoveEngine(name)
		}
	}
}

// runCommander carries out the actions that the commander requests.
func (c *Core) runCommander() {
	for _, action := range c.commander.Step(c.now, c.state) {
		c.executeAction(action)
	}
}

// executeAction carries out one action.
func (c *Core) executeAction(action authority.Action) {
	switch requested := action.(type) {
	case authority.Propose:
		c.proposeWithoutCall(requested.Command)
	case authority.SendOrder:
		c.emit(SendOrder{Engine: requested.Engine, Address: requested.Address, Order: requested.Order})
	case authority.SendFence:
		c.emit(SendFence{Engine: requested.Engine, Address: requested.Address, Epoch: requested.Epoch})
	}
}

// issueOrder proposes an order of the controller itself; the commander sends it once it is
// applied. The error says why the order may not be issued now.
func (c *Core) issueOrder(order *v1.Order) error {
	issue, err := c.commander.PrepareOrder(c.now, c.wallMs(), c.state, order)
	if err != nil {
		return err
	}
	index, err := c.propose(&v1.Command{Body: &v1.Command_IssueOrder{IssueOrder: issue}}, 0, nil)
	if err != nil {
		c.commander.WithdrawOrder(order.Engine)
		return err
	}
	for _, action := range c.commander.RecordProposedOrder(issue, index) {
		c.executeAction(action)
	}
	return nil
}
