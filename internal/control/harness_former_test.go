package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/formats/released"
)

// asFormer returns a message as a process of the first format reads it.
func asFormer[Message proto.Message](t *testing.T, message Message) Message {
	t.Helper()
	former, err := released.Load(formats.First)
	require.NoError(t, err)
	read, err := former.Read(message)
	require.NoError(t, err)
	return read.(Message)
}

// asFormerReads returns a message as a controller of the first format takes it. Commands that it does not know have no
// effect there.
func (c *testController) asFormerReads(t *testing.T, message *v1.ConsensusMessage) *v1.ConsensusMessage {
	read := asFormer(t, message)
	for _, entry := range read.GetEntries() {
		if entry.GetType() != v1.EntryType_ENTRY_TYPE_COMMAND {
			continue
		}
		if c.passedOver == nil {
			c.passedOver = map[uint64][]byte{}
		}
		c.passedOver[entry.GetIndex()] = entry.GetData()
		command := &v1.Command{}
		require.NoError(t, proto.Unmarshal(entry.GetData(), command))
		data, err := proto.Marshal(asFormer(t, command))
		require.NoError(t, err)
		entry.Data = data
	}
	stripSnapshot(t, read.GetSnapshot())
	return read
}

// asFormerTells returns a message as a controller of the first format writes it: entries that it has got go on as they
// came.
func (c *testController) asFormerTells(t *testing.T, message *v1.ConsensusMessage) *v1.ConsensusMessage {
	told := asFormer(t, message)
	for _, entry := range told.GetEntries() {
		if entry.GetType() != v1.EntryType_ENTRY_TYPE_COMMAND {
			continue
		}
		command := &v1.Command{}
		require.NoError(t, proto.Unmarshal(entry.GetData(), command))
		own, err := proto.Marshal(asFormer(t, command))
		require.NoError(t, err)
		entry.Data = own
		if kept, came := c.passedOver[entry.GetIndex()]; came {
			keptCommand := &v1.Command{}
			require.NoError(t, proto.Unmarshal(kept, keptCommand))
			if proto.Equal(asFormer(t, keptCommand), asFormer(t, command)) {
				entry.Data = kept
			}
		}
	}
	stripSnapshot(t, told.GetSnapshot())
	return told
}

// stripSnapshot leaves of a snapshot what the first format has.
func stripSnapshot(t *testing.T, snapshot *v1.Snapshot) {
	if snapshot == nil {
		return
	}
	state := &v1.ReplicatedState{}
	require.NoError(t, proto.Unmarshal(snapshot.GetData(), state))
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(asFormer(t, state))
	require.NoError(t, err)
	snapshot.Data = data
}

// waitAgreement waits until commands of the newest format take effect at the leader.
func (w *world) waitAgreement() {
	w.t.Helper()
	w.until("agreement", func() bool {
		leader := w.leader()
		return leader != nil && leader.core.State().AgreedFormat() == formats.Newest
	})
}
