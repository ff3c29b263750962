package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/formats/formerbuild"
)

// asFirstFormat returns a message as a process of the first format decodes it.
func asFirstFormat[Message proto.Message](t *testing.T, message Message) Message {
	t.Helper()
	read, err := formerbuild.Downgrade(message)
	require.NoError(t, err)
	return read
}

// received returns another controller's message as this controller decodes it.
func (c *testController) received(t *testing.T, message *v1.ConsensusMessage) *v1.ConsensusMessage {
	if !c.isFormer {
		return message
	}
	read, err := c.translator.ReadMessage(message)
	require.NoError(t, err)
	return read
}

// written returns a message or a disk write as this controller encodes it.
func (c *testController) written(t *testing.T, message *v1.ConsensusMessage) *v1.ConsensusMessage {
	if !c.isFormer {
		return message
	}
	written, err := c.translator.WriteMessage(message)
	require.NoError(t, err)
	return written
}

// restored returns the content of the disk as the controller decodes it when it starts.
func (c *testController) restored(t *testing.T) Restored {
	if !c.isFormer {
		return c.disk
	}
	c.translator = formerbuild.New(c.formerFormat)
	read := c.received(t, &v1.ConsensusMessage{Entries: c.disk.Entries, Snapshot: c.disk.Snapshot})
	restored := c.disk
	restored.Entries, restored.Snapshot = read.GetEntries(), read.GetSnapshot()
	return restored
}

// waitAgreement waits until commands of the newest format of the log take effect at the leader.
func (w *testCluster) waitAgreement() {
	w.t.Helper()
	w.until("agreement", func() bool {
		leader := w.leader()
		return leader != nil && leader.core.State().AgreedFormat() == formats.NewestStored
	})
}
