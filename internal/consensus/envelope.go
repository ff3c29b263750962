package consensus

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// send queues a message that depends on no sync and may leave at once.
func (c *Core) send(to string, message *v1.ConsensusMessage) {
	c.outbox.messages = append(c.outbox.messages, c.envelope(to, message))
}

// sendSynced queues a message that may leave once the current state is synced to disk.
func (c *Core) sendSynced(to string, message *v1.ConsensusMessage) {
	c.outbox.unsynced = append(c.outbox.unsynced, c.envelope(to, message))
}

// envelope fills in the fleet, sender, receiver and term of a message.
func (c *Core) envelope(to string, message *v1.ConsensusMessage) Message {
	message.Fleet = c.config.Fleet
	message.From = c.id
	message.To = to
	if message.Term == 0 {
		message.Term = c.term
	}
	message.Sender = &v1.Member{Id: c.id, Address: c.config.Address, Zone: c.config.Zone, Name: c.config.Name}
	return Message{Address: c.address(to), Message: message}
}

// address returns the address of a member: the sender address of its last message or, if it has sent none, its
// address in the membership.
func (c *Core) address(id string) string {
	if address, known := c.addresses[id]; known {
		return address
	}
	return c.members.byID[id].GetAddress()
}
