package consensus

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// send queues a message that promises nothing and may leave at once.
func (c *Core) send(to string, message *v1.ConsensusMessage) {
	c.out.messages = append(c.out.messages, c.envelope(to, message))
}

// sendSynced queues a message that may leave once everything so far is synced.
func (c *Core) sendSynced(to string, message *v1.ConsensusMessage) {
	c.out.unsynced = append(c.out.unsynced, c.envelope(to, message))
}

// envelope fills in who sends to whom.
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

// address returns where a member is reached: where it last spoke from, else where
// the membership places it.
func (c *Core) address(id string) string {
	if address, known := c.addresses[id]; known {
		return address
	}
	return c.members.byID[id].GetAddress()
}
