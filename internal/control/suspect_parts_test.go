package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

var (
	deadlyPart = quarantine.PartSignatureOf("tenant", "deadly")
	systemPart = quarantine.PartSignatureOf("tenant", "system")
)

// reportPartCrash reports a replica that crashed while it ran a new request with the given parts.
func (w *testCluster) reportPartCrash(replica uint64, parts ...quarantine.Signature) {
	w.t.Helper()
	request := quarantine.SignatureOf("tenant", "POST", "/a/x", []byte(fmt.Sprint("request ", replica)))
	received := ReplicaCrashesReceived{Crashes: []*v1.ReplicaEnd{{Signature: request[:], Replica: replica}}}
	for _, part := range parts {
		received.PartCrashes = append(received.PartCrashes, &v1.ReplicaEnd{Signature: part[:], Replica: replica})
	}
	answer := w.call(w.waitLeader(), func(id CallID) Input { received.Call = id; return received })
	require.NoError(w.t, answer.Err)
	require.Empty(w.t, answer.Response.(*v1.ReportReplicaEndsResponse).Held)
}

// watchParts returns the suspect parts that a relay gets which reports the given sound runs.
func (w *testCluster) watchParts(runs *v1.SoundRuns) map[quarantine.Signature]*v1.SuspectPart {
	w.t.Helper()
	answer := w.call(w.waitLeader(), func(id CallID) Input {
		return WatchReceived{Call: id, Request: &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "relay"}, WaitMs: 1, SoundRuns: runs}}
	})
	require.NoError(w.t, answer.Err)
	response := answer.Response.(*v1.WatchResponse)
	require.True(w.t, response.TellsParts)
	require.Empty(w.t, response.Held, "a part is no request")
	parts := map[quarantine.Signature]*v1.SuspectPart{}
	for _, part := range response.SuspectParts {
		parts[quarantine.Signature(part.Signature)] = part
	}
	return parts
}

// soundPart is the report of a node at which a request with a part ran soundly.
func soundPart(part quarantine.Signature, ago time.Duration) *v1.SoundRuns {
	return &v1.SoundRuns{Count: 1, Parts: []*v1.SoundPart{{Signature: part[:], AgoMs: uint32(ago.Milliseconds())}}}
}

// quarantinePart makes replicas crash under the deadly part until it is quarantined. The system part is in the same requests.
func (w *testCluster) quarantinePart() {
	w.t.Helper()
	w.waitAgreement()
	for replica := range uint64(quarantine.PartThreshold) {
		w.reportPartCrash(replica, systemPart, deadlyPart)
		w.run(100 * time.Millisecond)
		w.watchParts(soundPart(systemPart, 30*time.Second))
	}
	require.False(w.t, w.watchParts(nil)[deadlyPart].GetQuarantined(), "all nodes may report sound runs first")
	w.until("the part is quarantined", func() bool { return w.watchParts(nil)[deadlyPart].GetQuarantined() })
}

// Guards against a part that crashes replica after replica in requests that are all different, and against the other parts of
// these requests being kept away with it.
func TestDeadlyPartIsQuarantinedAndOthersStayFree(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.waitLeader()
	require.Empty(t, w.watchParts(nil))
	waiting := w.send(w.leader(), func(id CallID) Input {
		return WatchReceived{Call: id, Request: &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "waiting"}, WaitMs: 5000}}
	})
	w.quarantinePart()
	require.Contains(t, w.answers, waiting, "a waiting relay is told of suspected parts at once")
	parts := w.watchParts(nil)
	require.Len(t, parts, 1)
	require.NotZero(t, parts[deadlyPart].TrialInMs)

	gateway := w.sync(w.leader(), &v1.SyncRequest{Node: &v1.NodeIdentity{Name: "gateway"}})
	require.True(t, gateway.TellsParts)
	require.Len(t, gateway.SuspectParts, 1)
	again := w.sync(w.leader(), &v1.SyncRequest{Node: &v1.NodeIdentity{Name: "gateway"}, HeldVersion: gateway.HeldVersion})
	require.Empty(t, again.SuspectParts, "the gateway has them already")
}

// Guards against a quarantined part that crashes replicas again after a fault of the controllers.
func TestQuarantinedPartsOutliveFaults(t *testing.T) {
	for name, fault := range quarantineFaults {
		if name == "a snapshot is all there is" {
			continue // it fills the ledger with requests
		}
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t, 5, nil)
			w.waitLeader()
			w.quarantinePart()
			fault(w)
			w.until("a leader", func() bool { return w.leader() != nil })
			w.waitLeader()
			require.True(t, w.watchParts(nil)[deadlyPart].GetQuarantined())
			require.NotContains(t, w.watchParts(nil), systemPart)
		})
	}
}

// A part that was in three crashes by chance is cleared by a sound run after the first of them, at any node, before and after it is
// quarantined.
func TestSoundRunClearsASuspectPart(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.waitLeader()
	w.waitAgreement()
	for replica := range uint64(10) {
		w.reportPartCrash(replica, systemPart)
		w.run(300 * time.Millisecond)
		w.watchParts(soundPart(systemPart, 50*time.Millisecond))
	}
	w.run(3 * time.Second)
	require.Empty(t, w.watchParts(nil))
	w.quarantinePart()
	gateway := func(id CallID) Input {
		return ReportReceived{Call: id, Request: &v1.ReportRequest{Node: &v1.NodeIdentity{Name: "gateway"}, SoundRuns: soundPart(deadlyPart, 10*time.Millisecond)}}
	}
	require.NoError(t, w.call(w.waitLeader(), gateway).Err)
	w.run(time.Second)
	require.NotContains(t, w.watchParts(nil), deadlyPart)
	require.Nil(t, w.leader().core.suspects().Suspect(deadlyPart))
}

// A quarantined part is tried again: one trial at a time, which a sound run ends.
func TestTrialsOfAPart(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.waitLeader()
	w.quarantinePart()
	trial := func() bool {
		answer := w.call(w.waitLeader(), func(id CallID) Input { return TrialRequested{Call: id, Signature: deadlyPart[:]} })
		require.NoError(t, answer.Err)
		return answer.Response.(*v1.BeginTrialResponse).Granted
	}
	require.False(t, trial())
	granted := 0
	for range 1200 {
		w.run(500 * time.Millisecond)
		if w.watchParts(nil)[deadlyPart].GetTrialDue() && trial() {
			require.False(t, trial())
			granted++
			w.reportPartCrash(uint64(100+granted), deadlyPart)
		}
	}
	require.Equal(t, 3, granted, "in ten minutes; the users allow three after the fifth crash")
	release := func(id CallID) Input { return RequestReleased{Call: id, Signature: deadlyPart[:]} }
	require.NoError(t, w.call(w.waitLeader(), release).Err)
	require.NoError(t, w.call(w.waitLeader(), release).Err, "another node reports the same")
	require.NotContains(t, w.watchParts(nil), deadlyPart)
}

// Controllers of a build that does not know parts hold the same state. While one of them is a voter, the leader keeps the ledger by
// itself; parts that are quarantined when it has become one of this build stay so.
func TestPartsBesideControllersOfAFormerBuild(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.waitLeader()
	w.waitAgreement()
	follower := w.names[0]
	if w.leader().name == follower {
		follower = w.names[1]
	}
	w.crash(follower)
	w.controllers[follower].isFormer = true
	w.start(follower)
	w.waitFormat(formats.First)
	for replica := range uint64(quarantine.PartThreshold) {
		w.reportPartCrash(replica, systemPart, deadlyPart)
		w.run(100 * time.Millisecond)
		w.watchParts(soundPart(systemPart, 30*time.Second))
	}
	w.until("the part is quarantined", func() bool { return w.watchParts(nil)[deadlyPart].GetQuarantined() })
	w.crash(follower)
	w.controllers[follower].isFormer = false
	w.start(follower)
	w.waitAgreement()
	w.run(2 * time.Second)
	require.True(t, w.watchParts(nil)[deadlyPart].GetQuarantined())
	w.requireEqualStates()
}

// Malformed reports, and requests that are reported as parts, are ignored.
func TestMalformedPartsAreIgnored(t *testing.T) {
	w := newTestCluster(t, 1, nil)
	w.waitLeader()
	w.waitAgreement()
	for replica := range uint64(6) {
		var crashes []*v1.ReplicaEnd
		for _, signature := range [][]byte{nil, []byte("short"), make([]byte, 64), crashingSignature[:]} {
			crashes = append(crashes, &v1.ReplicaEnd{Signature: signature, Replica: replica}, nil)
		}
		answer := w.call(w.leader(), func(id CallID) Input { return ReplicaCrashesReceived{Call: id, PartCrashes: crashes} })
		require.NoError(t, answer.Err)
		w.watchParts(&v1.SoundRuns{Count: 1 << 31, Parts: []*v1.SoundPart{nil, {Signature: []byte("short"), AgoMs: 1 << 31}, {Signature: crashingSignature[:]}}})
	}
	require.Empty(t, w.leader().core.suspects().Suspects())
}
