package control

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/formats"
)

// suspectChange is a command to the ledger of suspects that waits for an agreement.
type suspectChange struct {
	command *v1.Command
	call    CallID
	finish  func(*Core, controlstate.Result)
}

// applySuspectChange applies a command to the ledger of suspects, through the log if its format is agreed on and
// locally otherwise. While an agreement is due, the command waits: the agreement would replace the changed ledger.
func (c *Core) applySuspectChange(command *v1.Command, call CallID, finish func(*Core, controlstate.Result)) {
	if c.mustHoldSuspectChanges() {
		c.heldSuspectChanges = append(c.heldSuspectChanges, suspectChange{command: command, call: call, finish: finish})
		return
	}
	if c.isAgreed(formats.QuarantinedRequests) {
		if err := c.proposeSuspectChange(command, call, finish); err != nil {
			c.refuse(call, err)
		}
		return
	}
	result := controlstate.Result{}
	if c.config.Safeguards.IsEnabled(controlstate.Quarantine) {
		result = controlstate.ApplySuspectCommand(c.localSuspects, command)
	}
	finish(c, result)
}

// applySuspectChangeWithoutCall does what applySuspectChange does, for a command whose result no call waits for. While an
// agreement is due, it does nothing, because the caller sends the command again when it is still needed.
func (c *Core) applySuspectChangeWithoutCall(command *v1.Command) {
	switch {
	case c.mustHoldSuspectChanges():
	case c.isAgreed(formats.QuarantinedRequests):
		_ = c.proposeSuspectChange(command, 0, nil)
	default:
		controlstate.ApplySuspectCommand(c.localSuspects, command)
	}
}

// proposeSuspectChange proposes a command to the replicated ledger of suspects.
func (c *Core) proposeSuspectChange(command *v1.Command, call CallID, finish func(*Core, controlstate.Result)) error {
	index, err := c.propose(command, call, finish)
	if err == nil {
		c.formats.suspectsIndex = index
	}
	return err
}

// mustHoldSuspectChanges reports whether an agreement is due, which replaces the ledger of suspects.
func (c *Core) mustHoldSuspectChanges() bool { return c.formats.needed || c.isAgreementPending() }

// resumeSuspectChanges applies the commands that waited for an agreement, in order.
func (c *Core) resumeSuspectChanges() {
	if c.mustHoldSuspectChanges() {
		return
	}
	held := c.heldSuspectChanges
	c.heldSuspectChanges = nil
	for _, change := range held {
		c.applySuspectChange(change.command, change.call, change.finish)
	}
}

// refuseHeldSuspectChanges answers the calls whose commands waited for an agreement when this leader stops leading.
func (c *Core) refuseHeldSuspectChanges() {
	for _, change := range c.heldSuspectChanges {
		c.refuse(change.call, errLostLeadership)
	}
	c.heldSuspectChanges = nil
}
