package consensus

import (
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// TransferLeadership hands leadership to a voter once that has caught up. Until
// then proposals are refused; after an election timeout without success this leader
// goes on, or steps down when its lease is already given up.
func (c *Core) TransferLeadership(now time.Duration, target string) error {
	c.observe(now)
	if c.role != RoleLeader {
		return trace.Wrap(ErrNotLeader, "role is %v", c.role)
	}
	if target == c.id || !c.members.votes(target) {
		return trace.Wrap(ErrUnknownMember, "%q is not another voter", target)
	}
	if c.transfer.target != "" {
		return trace.Wrap(ErrTransferring, "to %q", c.transfer.target)
	}
	c.transfer = transfer{target: target, startedAt: c.now}
	c.continueTransfer(target, c.progress[target])
	return nil
}

// continueTransfer tells the target to campaign once it holds the whole log.
func (c *Core) continueTransfer(id string, progress *progress) {
	if c.transfer.target != id || c.transfer.sent || progress.match != c.log.last().index {
		return
	}
	c.transfer.sent = true
	c.send(id, &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_TIMEOUT_NOW})
}

// transferOverdue ends a transfer that did not succeed, and reports whether this
// leader stepped down over it.
func (c *Core) transferOverdue() bool {
	if c.transfer.target == "" || c.now-c.transfer.startedAt < c.config.ElectionTimeout {
		return false
	}
	if c.transfer.sent {
		c.becomeFollower(c.term, "")
		return true
	}
	c.transfer = transfer{}
	return false
}

// takeTimeoutNow campaigns at once: the leader has given up its lease.
func (c *Core) takeTimeoutNow(message *v1.ConsensusMessage) {
	if c.role == RoleLeader || message.GetFrom() != c.leader || !c.members.votes(c.id) {
		return
	}
	c.transferElected = true
	c.campaign(false)
}
