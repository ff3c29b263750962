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

// endingSignature is that of a request which ends replicas.
var endingSignature = quarantine.SignatureOf("tenant", "POST", "/a/x", []byte("ends its replica"))

// tellEnd tells the leader that a replica ended, and returns which requests are held.
func (w *world) tellEnd(signature quarantine.Signature, replica uint64) [][]byte {
	w.t.Helper()
	answer := w.call(w.waitLeader(), func(id CallID) Input {
		return ReplicaCrashesReceived{Call: id, Crashes: []*v1.ReplicaEnd{{Signature: signature[:], Replica: replica}}}
	})
	require.NoError(w.t, answer.Err)
	return answer.Response.(*v1.ReportReplicaEndsResponse).Held
}

// holdRequest has the ending request held.
func (w *world) holdRequest() {
	w.t.Helper()
	w.waitAgreement()
	for replica := range uint64(quarantine.QuarantineThreshold - 1) {
		require.Empty(w.t, w.tellEnd(endingSignature, replica))
		require.Empty(w.t, w.tellEnd(endingSignature, replica), "the same end told again")
	}
	require.Len(w.t, w.tellEnd(endingSignature, quarantine.QuarantineThreshold), 1)
}

// askTrial asks the leader for a trial.
func (w *world) askTrial() bool {
	w.t.Helper()
	answer := w.call(w.waitLeader(), func(id CallID) Input { return TrialRequested{Call: id, Signature: endingSignature[:]} })
	require.NoError(w.t, answer.Err)
	return answer.Response.(*v1.BeginTrialResponse).Granted
}

// toldHeld is what a relay that knows nothing is told of held requests.
func (w *world) toldHeld() []*v1.HeldRequest {
	w.t.Helper()
	answer := w.call(w.waitLeader(), func(id CallID) Input {
		return WatchReceived{Call: id, Request: &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "relay"}, WaitMs: 1}}
	})
	require.NoError(w.t, answer.Err)
	return answer.Response.(*v1.WatchResponse).Held
}

func TestHeldRequestsAreToldToWhoeverAsks(t *testing.T) {
	w := newWorld(t, 3, nil)
	w.waitLeader()
	require.Empty(t, w.toldHeld())
	waiting := w.send(w.leader(), func(id CallID) Input {
		return WatchReceived{Call: id, Request: &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "waiting"}, WaitMs: 5000}}
	})
	w.holdRequest()
	w.run(2 * TickInterval)
	require.Contains(t, w.answers, waiting, "a relay that waits is told at once")
	held := w.answers[waiting].Response.(*v1.WatchResponse)
	require.Len(t, held.Held, 1)
	require.Equal(t, endingSignature[:], held.Held[0].Signature)
	require.False(t, held.Held[0].TrialDue)
	require.NotZero(t, held.HeldVersion)

	gateway := w.sync(w.leader(), &v1.SyncRequest{Node: &v1.NodeIdentity{Name: "gateway"}})
	require.Equal(t, held.HeldVersion, gateway.HeldVersion)
	require.Len(t, gateway.Held, 1)
	again := w.sync(w.leader(), &v1.SyncRequest{Node: &v1.NodeIdentity{Name: "gateway"}, HeldVersion: gateway.HeldVersion})
	require.Empty(t, again.Held, "it holds them already")
}

// faultsOfQuarantine are failures after which a held request has to be held on.
var faultsOfQuarantine = map[string]func(w *world){
	"the leader dies":        func(w *world) { w.restart(w.leader()) },
	"the leader is cut off":  func(w *world) { w.leader().cut = true },
	"leaders die in a row":   func(w *world) { faultsOfUsage["leaders die one after another"](w, nil) },
	"all power is lost":      func(w *world) { faultsOfUsage["all power is lost"](w, nil) },
	"the clocks of two jump": func(w *world) { faultsOfUsage["the clocks of two jump"](w, nil) },
	"a snapshot is all there is": func(w *world) {
		for number := range 2000 {
			w.tellEnd(quarantine.SignatureOf("", "", "", []byte{byte(number), byte(number >> 8)}), 1)
		}
		faultsOfUsage["all power is lost"](w, nil)
	},
}

func TestHeldRequestsOutliveFaults(t *testing.T) {
	for name, fault := range faultsOfQuarantine {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 5, nil)
			w.waitLeader()
			w.holdRequest()
			fault(w)
			w.until("a leader", func() bool { return w.leader() != nil })
			require.False(t, w.askTrial(), "a leader that has just begun grants none")
			w.run(3 * time.Second)
			w.waitLeader()
			held := w.toldHeld()
			require.Len(t, held, 1)
			require.Equal(t, endingSignature[:], held[0].Signature)
		})
	}
}

// However many relays ask, and whatever leaders do meanwhile, a request that ends each replica ends five
// of them at most in its first five minutes.
func TestTrialsAreGrantedToOneAtATime(t *testing.T) {
	w := newWorld(t, 3, nil)
	w.waitLeader()
	w.holdRequest()
	granted := 0
	for step := range 600 {
		w.run(500 * time.Millisecond)
		if step%97 == 50 {
			w.restart(w.waitLeader())
		}
		for range 3 {
			if w.askTrial() {
				granted++
				w.tellEnd(endingSignature, uint64(100+granted))
			}
		}
	}
	require.LessOrEqual(t, quarantine.QuarantineThreshold+granted, 5)
	require.Positive(t, granted, "what broke off by bad luck is served after a while")
}

func TestARequestThatRanWellIsReleased(t *testing.T) {
	w := newWorld(t, 3, nil)
	w.waitLeader()
	w.holdRequest()
	w.run(11 * time.Second)
	require.True(t, w.toldHeld()[0].TrialDue)
	require.True(t, w.askTrial())
	require.False(t, w.askTrial(), "another relay asks at the same time")
	answer := w.call(w.leader(), func(id CallID) Input { return RequestReleased{Call: id, Signature: endingSignature[:]} })
	require.NoError(t, answer.Err)
	require.Empty(t, w.toldHeld())
}

func TestMalformedSignaturesAreHarmless(t *testing.T) {
	w := newWorld(t, 1, nil)
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
	require.Empty(t, w.toldHeld())
}

// Without the safeguard the promise breaks: nothing is held however many replicas end.
func TestWithoutTheQuarantineNothingIsHeld(t *testing.T) {
	w := newWorld(t, 3, func(config *Config) { config.Safeguards = safeguard.Without(controlstate.Quarantine) })
	w.waitLeader()
	for replica := range uint64(10) {
		require.Empty(t, w.tellEnd(endingSignature, replica))
	}
	require.Empty(t, w.toldHeld())
}

func TestOperatorsSeeAndReleaseHeldRequests(t *testing.T) {
	w := newWorld(t, 3, nil)
	w.waitLeader()
	w.holdRequest()
	run := func(text string) Answer {
		return w.call(w.waitLeader(), func(id CallID) Input {
			return ExecuteReceived{Call: id, Operator: "ana", Role: v1.OperatorRole_OPERATOR_ROLE_OPERATOR, Request: &v1.ExecuteRequest{RequestId: text, Text: text}}
		})
	}
	listed := run("show suspects where held = true")
	require.NoError(t, listed.Err)
	require.Contains(t, listed.Response.(*v1.ExecuteResponse).String(), endingSignature.String())
	require.ErrorContains(t, run(`release request "0a1b"`).Err, "show suspects")
	released := run(`release request "` + endingSignature.String() + `"`)
	require.NoError(t, released.Err)
	require.Contains(t, released.Response.(*v1.ExecuteResponse).GetMessage(), "may run again")
	require.Empty(t, w.toldHeld())
}
