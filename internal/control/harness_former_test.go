package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/formats/formerbuild"
)

// asFormer returns a message as a process of the first format reads it.
func asFormer[Message proto.Message](t *testing.T, message Message) Message {
	t.Helper()
	read, err := formerbuild.Downgrade(message)
	require.NoError(t, err)
	return read
}

// readsAs returns what a controller reads of another one's message.
func (c *testController) readsAs(t *testing.T, message *v1.ConsensusMessage) *v1.ConsensusMessage {
	if !c.former {
		return message
	}
	read, err := c.translator.ReadMessage(message)
	require.NoError(t, err)
	return read
}

// writesAs returns what a controller writes, in a message or to its disk.
func (c *testController) writesAs(t *testing.T, message *v1.ConsensusMessage) *v1.ConsensusMessage {
	if !c.former {
		return message
	}
	written, err := c.translator.WriteMessage(message)
	require.NoError(t, err)
	return written
}

// findsAs returns what a controller that starts reads of its disk.
func (c *testController) findsAs(t *testing.T) Restored {
	if !c.former {
		return c.disk
	}
	c.translator = formerbuild.New()
	read := c.readsAs(t, &v1.ConsensusMessage{Entries: c.disk.Entries, Snapshot: c.disk.Snapshot})
	found := c.disk
	found.Entries, found.Snapshot = read.GetEntries(), read.GetSnapshot()
	return found
}

// waitAgreement waits until commands of the newest format take effect at the leader.
func (w *world) waitAgreement() {
	w.t.Helper()
	w.until("agreement", func() bool {
		leader := w.leader()
		return leader != nil && leader.core.State().AgreedFormat() == formats.Newest
	})
}
