package consensus

import (
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// TransferLeadership transfers leadership to a voter, the target, once that voter has caught up. Proposals are
// refused during the transfer. If the transfer has not succeeded after an election timeout, this leader
// continues, or steps down if it has already given up its lease.
func (c *Core) TransferLeadership(now time.Duration, target string) error {
	c.advanceClock(now)
	if c.role != RoleLeader {
		return trace.Wrap(ErrNotLeader, "role is %v", c.role)
	}
	if target == c.id || !c.members.isVoter(target) {
		return trace.Wrap(ErrUnknownMember, "%q is not another voter", target)
	}
	if c.transfer.target != "" {
		return trace.Wrap(ErrTransferring, "to %q", c.transfer.target)
	}
	c.transfer = transfer{target: target, startedAt: c.now}
	c.continueTransfer(target, c.progress[target])
	return nil
}

// continueTransfer asks the target to campaign once it has the whole log.
func (c *Core) continueTransfer(id string, progress *progress) {
	if c.transfer.target != id || c.transfer.timeoutNowSent || progress.match != c.log.last().index {
		return
	}
	c.transfer.timeoutNowSent = true
	c.send(id, &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_TIMEOUT_NOW})
}

// expireTransfer ends a transfer that did not succeed in time, and reports whether this leader
// stepped down because of it.
func (c *Core) expireTransfer() bool {
	if c.transfer.target == "" || c.now-c.transfer.startedAt < c.config.ElectionTimeout {
		return false
	}
	if c.transfer.timeoutNowSent {
		c.becomeFollower(c.term, "")
		return true
	}
	c.transfer = transfer{}
	return false
}

// handleTimeoutNow campaigns at once: the leader has given up its lease.
func (c *Core) handleTimeoutNow(message *v1.ConsensusMessage) {
	if c.role == RoleLeader || message.GetFrom() != c.leader || !c.members.isVoter(c.id) {
		return
	}
	c.transferElected = true
	c.campaign(false)
}
