package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// crashingSignature is the signature of a request that crashes replicas.
var crashingSignature = quarantine.SignatureOf("tenant", "POST", "/a/x", []byte("ends its replica"))

// reportCrash reports a replica's crash to the leader, and returns the reported requests that are quarantined.
func (w *testCluster) reportCrash(signature quarantine.Signature, replica uint64) [][]byte {
	w.t.Helper()
	answer := w.call(w.waitLeader(), func(id CallID) Input {
		return ReplicaCrashesReceived{Call: id, Crashes: []*v1.ReplicaEnd{{Signature: signature[:], Replica: replica}}}
	})
	require.NoError(w.t, answer.Err)
	return answer.Response.(*v1.ReportReplicaEndsResponse).Held
}

// quarantineRequest reports crashes until the request is quarantined.
func (w *testCluster) quarantineRequest() {
	w.t.Helper()
	w.waitAgreement()
	for replica := range uint64(quarantine.QuarantineThreshold - 1) {
		require.Empty(w.t, w.reportCrash(crashingSignature, replica))
		require.Empty(w.t, w.reportCrash(crashingSignature, replica), "a repeated report of the same crash")
	}
	require.Len(w.t, w.reportCrash(crashingSignature, quarantine.QuarantineThreshold), 1)
}

// requestTrial requests a trial from the leader, and reports whether it was granted.
func (w *testCluster) requestTrial() bool {
	w.t.Helper()
	answer := w.call(w.waitLeader(), func(id CallID) Input { return TrialRequested{Call: id, Signature: crashingSignature[:]} })
	require.NoError(w.t, answer.Err)
	return answer.Response.(*v1.BeginTrialResponse).Granted
}

// watchQuarantined returns the quarantined requests that a relay without state gets.
func (w *testCluster) watchQuarantined() []*v1.HeldRequest {
	w.t.Helper()
	answer := w.call(w.waitLeader(), func(id CallID) Input {
		return WatchReceived{Call: id, Request: &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "relay"}, WaitMs: 1}}
	})
	require.NoError(w.t, answer.Err)
	return answer.Response.(*v1.WatchResponse).Held
}

func TestQuarantinedRequestsAreSentToRelaysAndGateways(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.waitLeader()
	require.Empty(t, w.watchQuarantined())
	waiting := w.send(w.leader(), func(id CallID) Input {
		return WatchReceived{Call: id, Request: &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "waiting"}, WaitMs: 5000}}
	})
	w.quarantineRequest()
	w.run(2 * TickInterval)
	require.Contains(t, w.answers, waiting, "a waiting relay is answered at once")
	response := w.answers[waiting].Response.(*v1.WatchResponse)
	require.Len(t, response.Held, 1)
	require.Equal(t, crashingSignature[:], response.Held[0].Signature)
	require.False(t, response.Held[0].TrialDue)
	require.NotZero(t, response.HeldVersion)

	gateway := w.sync(w.leader(), &v1.SyncRequest{Node: &v1.NodeIdentity{Name: "gateway"}})
	require.Equal(t, response.HeldVersion, gateway.HeldVersion)
	require.Len(t, gateway.Held, 1)
	again := w.sync(w.leader(), &v1.SyncRequest{Node: &v1.NodeIdentity{Name: "gateway"}, HeldVersion: gateway.HeldVersion})
	require.Empty(t, again.Held, "the gateway holds them already")
}

// quarantineFaults are faults after which a quarantined request must stay quarantined.
var quarantineFaults = map[string]func(w *testCluster){
	"the leader dies":        func(w *testCluster) { w.restart(w.leader()) },
	"the leader is cut off":  func(w *testCluster) { w.leader().cut = true },
	"leaders die in a row":   func(w *testCluster) { usageFaults["leaders die one after another"](w, nil) },
	"all power is lost":      func(w *testCluster) { usageFaults["all power is lost"](w, nil) },
	"the clocks of two jump": func(w *testCluster) { usageFaults["the clocks of two jump"](w, nil) },
	"a snapshot is all there is": func(w *testCluster) {
		for number := range 2000 {
			w.reportCrash(quarantine.SignatureOf("", "", "", []byte{byte(number), byte(number >> 8)}), 1)
		}
		usageFaults["all power is lost"](w, nil)
	},
}

func TestHeldRequestsOutliveFaults(t *testing.T) {
	for name, fault := range quarantineFaults {
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t, 5, nil)
			w.waitLeader()
			w.quarantineRequest()
			fault(w)
			w.until("a leader", func() bool { return w.leader() != nil })
			require.False(t, w.requestTrial(), "a new leader grants no trial at first")
			w.run(3 * time.Second)
			w.waitLeader()
			held := w.watchQuarantined()
			require.Len(t, held, 1)
			require.Equal(t, crashingSignature[:], held[0].Signature)
		})
	}
}

// Whatever number of relays requests trials, and whichever leaders fail meanwhile, a request that crashes every replica
// crashes at most five of them in its first five minutes.
func TestTrialsAreGrantedToOneAtATime(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.waitLeader()
	w.quarantineRequest()
	granted := 0
	for step := range 600 {
		w.run(500 * time.Millisecond)
		if step%97 == 50 {
			w.restart(w.waitLeader())
		}
		for range 3 {
			if w.requestTrial() {
				granted++
				w.reportCrash(crashingSignature, uint64(100+granted))
			}
		}
	}
	require.LessOrEqual(t, quarantine.QuarantineThreshold+granted, 5)
	require.Positive(t, granted, "a request that was quarantined by coincidence gets trials after a while")
}

func TestARequestThatRanWellIsReleased(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.waitLeader()
	w.quarantineRequest()
	w.run(11 * time.Second)
	require.True(t, w.watchQuarantined()[0].TrialDue)
	require.True(t, w.requestTrial())
	require.False(t, w.requestTrial(), "a concurrent request of another relay")
	answer := w.call(w.leader(), func(id CallID) Input { return RequestReleased{Call: id, Signature: crashingSignature[:]} })
	require.NoError(t, answer.Err)
	require.Empty(t, w.watchQuarantined())
}

func TestMalformedSignaturesAreHarmless(t *testing.T) {
	w := newTestCluster(t, 1, nil)
	w.waitLeader()
	for _, signature := range [][]byte{nil, []byte("short"), make([]byte, 64)} {
		for replica := range uint64(5) {
			answer := w.call(w.leader(), func(id CallID) Input {
				return ReplicaCrashesReceived{Call: id, Crashes: []*v1.ReplicaEnd{{Signature: signature, Replica: replica}, nil}}
			})
			require.NoError(t, answer.Err)
		}
		for _, input := range []func(CallID) Input{
			func(id CallID) Input { return TrialRequested{Call: id, Signature: signature} },
			func(id CallID) Input { return RequestReleased{Call: id, Signature: signature} },
		} {
			require.NoError(t, w.call(w.leader(), input).Err)
		}
	}
	require.Empty(t, w.watchQuarantined())
}

// Without the safeguard Quarantine no request is quarantined, however many replicas crash.
func TestWithoutTheQuarantineNothingIsHeld(t *testing.T) {
	w := newTestCluster(t, 3, func(config *Config) { config.Safeguards = safeguard.Without(controlstate.Quarantine) })
	w.waitLeader()
	for replica := range uint64(10) {
		require.Empty(t, w.reportCrash(crashingSignature, replica))
	}
	require.Empty(t, w.watchQuarantined())
}

func TestOperatorsListAndReleaseQuarantinedRequests(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.waitLeader()
	w.quarantineRequest()
	run := func(text string) Answer {
		return w.call(w.waitLeader(), func(id CallID) Input {
			return ExecuteReceived{Call: id, Operator: "ana", Role: v1.OperatorRole_OPERATOR_ROLE_OPERATOR, Request: &v1.ExecuteRequest{RequestId: text, Text: text}}
		})
	}
	listed := run("show suspects where held = true")
	require.NoError(t, listed.Err)
	require.Contains(t, listed.Response.(*v1.ExecuteResponse).String(), crashingSignature.String())
	require.ErrorContains(t, run(`release request "0a1b"`).Err, "show suspects")
	released := run(`release request "` + crashingSignature.String() + `"`)
	require.NoError(t, released.Err)
	require.Contains(t, released.Response.(*v1.ExecuteResponse).GetMessage(), "may run again")
	require.Empty(t, w.watchQuarantined())
}
