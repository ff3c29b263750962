package consensus

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// fuzzMember returns one of three voters.
func fuzzMember(t *testing.T) *Core {
	membership := &v1.Membership{}
	var peers []Peer
	for _, name := range []string{"a", "b", "c"} {
		membership.Members = append(membership.Members, &v1.Member{Id: name + "/1", Address: name, Name: name})
		peers = append(peers, Peer{Name: name, Address: name})
	}
	core, err := New(Config{Fleet: "fleet", Name: "a", Address: "a", Peers: peers}, Restored{
		DiskID: "a/1", Snapshot: &v1.Snapshot{Metadata: &v1.SnapshotMetadata{Index: 1, Term: 1, Membership: membership}},
	})
	require.NoError(t, err)
	return core
}

// FuzzStep passes arbitrary messages to a member, each preceded by its length and the time since
// the previous one. No message may crash the process, and neither the term nor the commit index
// may ever decrease.
func FuzzStep(f *testing.F) {
	add := func(messages ...*v1.ConsensusMessage) {
		var stream []byte
		for _, message := range messages {
			message.Fleet, message.To = "fleet", "a/1"
			data, err := proto.Marshal(message)
			require.NoError(f, err)
			stream = binary.BigEndian.AppendUint16(stream, uint16(len(data)))
			stream = append(append(stream, 10), data...)
		}
		f.Add(stream)
	}
	entry := &v1.Entry{Index: 2, Term: 2, Type: v1.EntryType_ENTRY_TYPE_COMMAND, Data: []byte("x")}
	add(&v1.ConsensusMessage{From: "b/1", Type: v1.MessageType_MESSAGE_TYPE_APPEND, Term: 2, LogIndex: 1, LogTerm: 1, Commit: 2, Entries: []*v1.Entry{entry}})
	add(&v1.ConsensusMessage{From: "b/1", Type: v1.MessageType_MESSAGE_TYPE_VOTE, Term: 2, LogIndex: 1, LogTerm: 1},
		&v1.ConsensusMessage{From: "b/1", Type: v1.MessageType_MESSAGE_TYPE_APPEND, Term: 2, LogIndex: 1, LogTerm: 1})
	add(&v1.ConsensusMessage{From: "b/1", Type: v1.MessageType_MESSAGE_TYPE_SNAPSHOT, Term: 2,
		Snapshot: &v1.Snapshot{Metadata: &v1.SnapshotMetadata{Index: 5, Term: 2}}})
	add(&v1.ConsensusMessage{From: "c/1", Type: v1.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER, Term: 2},
		&v1.ConsensusMessage{From: "c/1", Type: v1.MessageType_MESSAGE_TYPE_VOTE_ANSWER, Term: 2},
		&v1.ConsensusMessage{From: "c/1", Type: v1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, Term: 2, LogIndex: 2})
	f.Fuzz(func(t *testing.T, stream []byte) {
		core := fuzzMember(t)
		now := time.Second
		for len(stream) >= 3 {
			size := min(int(binary.BigEndian.Uint16(stream)), len(stream)-3)
			now += time.Duration(stream[2]) * 10 * time.Millisecond
			data := stream[3 : 3+size]
			stream = stream[3+size:]
			message := &v1.ConsensusMessage{}
			if proto.Unmarshal(data, message) != nil {
				continue
			}
			fuzzStep(t, core, now, message)
		}
	})
}

// fuzzStep passes one message to the member and processes the work that follows.
func fuzzStep(t *testing.T, core *Core, now time.Duration, message *v1.ConsensusMessage) {
	before := core.Status()
	core.Tick(now)
	_ = core.Step(now, message) // an error only states that the message was dropped
	for {
		ready, hasWork := core.Ready()
		if !hasWork {
			break
		}
		core.ReportPersisted(now, ready.Batch)
	}
	after := core.Status()
	require.GreaterOrEqual(t, after.Term, before.Term)
	require.GreaterOrEqual(t, after.Commit, before.Commit)
	require.LessOrEqual(t, after.Commit, after.LastIndex)
}
