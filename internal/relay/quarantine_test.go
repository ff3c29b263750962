package relay

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// crashingBody is the body of a request that crashes every back end that runs it.
const crashingBody = "crashes its back end"

// startCrashingBackEnd starts a back end that crashes when it begins to run the crashing request.
func startCrashingBackEnd(t *testing.T, id string, stage serving.Stage, sound script) *scriptedBackEnd {
	t.Helper()
	return serveBackEnd(t, id, stage, func(listener net.Listener) script {
		return func(connection net.Conn, request backEndRequest) bool {
			if request.body == crashingBody {
				_ = listener.Close()
				return false
			}
			return sound(connection, request)
		}
	})
}

// grantingLeader is a leader that grants every trial and quarantines nothing.
type grantingLeader struct{ released chan []byte }

func (grantingLeader) ReportReplicaEnds(context.Context, []*v1.ReplicaEnd, []*v1.ReplicaEnd) ([][]byte, error) {
	return nil, nil
}
func (grantingLeader) BeginTrial(context.Context, []byte) (bool, error) { return true, nil }
func (l grantingLeader) ReleaseRequest(_ context.Context, signature []byte) error {
	l.released <- signature
	return nil
}

// guardedBy replaces the relay's guard by one that calls the given leader.
func (r *testRelay) guardedBy(t *testing.T, leader crashguard.Leader) {
	r.guard = crashguard.New(crashguard.Options{
		Leader: leader, Now: r.clock.now, Probe: r.probe, Observer: guardObserver{r.Relay},
	})
	r.exchanger.guard = r.guard
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go r.guard.Run(ctx)
}

// addQuarantined marks a request as quarantined, as a leader's update would.
func (r *testRelay) addQuarantined(trialDue bool, method, target, body string) quarantine.Signature {
	signature := quarantine.SignatureOf("", method, target, []byte(body))
	r.guard.ApplyQuarantine(crashguard.Statement{Version: 1, Requests: []*v1.HeldRequest{{Signature: signature[:], TrialDue: trialDue}}})
	return signature
}

// A request crashes no more back ends than are needed to quarantine it, even when no controller answers. Other requests are
// served meanwhile.
func TestARequestEndsNoMoreBackEndsThanItMay(t *testing.T) {
	for name, kind := range map[string]func(*serving.Route){"whole answers": safe, "streams": stream(true)} {
		t.Run(name, func(t *testing.T) {
			var backEnds []*scriptedBackEnd
			for number := range 8 {
				backEnds = append(backEnds, startCrashingBackEnd(t, fmt.Sprint(number), serving.StageWhole, answering(200, "ok")))
			}
			relay := newTestRelay(t, route(func(config *serving.Route) { kind(config); config.MaxAttempts = 1 }), backEnds...)
			for crashes := range quarantine.QuarantineThreshold {
				require.Equal(t, 502, relay.client(t).do("POST", "/path/", crashingBody).status, "the request has run")
				seen := fmt.Sprintf("hazelpitch_relay_back_ends_ended_total{%s} %d\n", metricLabels, crashes+1)
				require.Eventually(t, func() bool { return strings.Contains(relay.scrape(t), seen) }, time.Minute, time.Millisecond)
			}
			for retry := range 5 {
				again := relay.client(t).do("POST", "/path/", crashingBody, fmt.Sprint("T-Model: ", retry))
				require.Equal(t, 503, again.status, "the request was not run")
				require.Equal(t, "3.000", string(again.head.Peek("Retry-After")))
				require.Equal(t, 200, relay.client(t).do("POST", "/path/", "sound").status)
			}
			arrived := 0
			for _, backEnd := range backEnds {
				for _, request := range backEnd.receivedRequests() {
					if request.body == crashingBody {
						arrived++
					}
				}
			}
			require.Equal(t, quarantine.QuarantineThreshold, arrived)
		})
	}
}

// Back ends that only break connections have not crashed: the request is sent again as its route allows.
func TestBrokenConnectionsHoldNothing(t *testing.T) {
	var backEnds []*scriptedBackEnd
	for number := range 6 {
		backEnds = append(backEnds, startBackEnd(t, fmt.Sprint(number), serving.StageWhole, resetting("")))
	}
	relay := newTestRelay(t, route(func(config *serving.Route) { safe(config); config.MaxAttempts = 6 }), backEnds...)
	require.Equal(t, 502, relay.client(t).do("POST", "/path/", "sound").status)
	require.False(t, relay.guard.IsQuarantined(quarantine.ContentOf("", "POST", "/path/", []byte("sound"), nil)))
	for _, backEnd := range backEnds {
		require.Len(t, backEnd.receivedRequests(), 1)
	}
}

// A quarantined request reaches no back end, neither for a prefill nor for the run.
func TestQuarantinedRequestReachesNoBackEnd(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("seal", eventOne))
	relay := newTestRelay(t, route(stream(true)), reader, engine)
	relay.addQuarantined(false, "POST", "/path/", "x")
	answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
	require.Equal(t, 503, answer.status)
	require.Empty(t, reader.receivedRequests())
	require.Empty(t, engine.receivedRequests())
	require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", "y", longPrompt...).body)
}

// A trial reaches a single engine once, which also prefills the prompt. A successful trial releases the request for all.
func TestATrialReachesOneBackEnd(t *testing.T) {
	for name, answer := range map[string]script{"trial succeeds": streaming("seal", eventOne), "breaks": resetting("")} {
		t.Run(name, func(t *testing.T) {
			reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
			engines := []*scriptedBackEnd{startBackEnd(t, "one", serving.StageDecode, answer), startBackEnd(t, "two", serving.StageDecode, answer)}
			relay := newTestRelay(t, route(stream(true)), reader, engines[0], engines[1])
			leader := grantingLeader{released: make(chan []byte, 1)}
			relay.guardedBy(t, leader)
			signature := relay.addQuarantined(true, "POST", "/path/", "x")
			got := relay.client(t).do("POST", "/path/", "x", longPrompt...)
			require.Empty(t, reader.receivedRequests())
			require.Len(t, append(engines[0].receivedRequests(), engines[1].receivedRequests()...), 1)
			if name == "breaks" {
				require.Equal(t, 502, got.status)
				require.True(t, relay.guard.IsQuarantined(quarantine.Content{Request: signature}))
				return
			}
			require.Equal(t, eventOne, got.body)
			require.Equal(t, signature[:], <-leader.released)
			require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", "x", longPrompt...).body)
		})
	}
}

// A request that is quarantined during its first attempt is not sent to another back end.
func TestRequestQuarantinedDuringAnAttemptIsNotRetried(t *testing.T) {
	var relay *testRelay
	first := startBackEnd(t, "first", serving.StageWhole, func(net.Conn, backEndRequest) bool {
		relay.addQuarantined(false, "POST", "/path/", "x")
		return false
	})
	second := startBackEnd(t, "second", serving.StageWhole, answering(200, "ok"))
	relay = newTestRelay(t, route(safe), first, second).preferring("first")
	require.Equal(t, 502, relay.client(t).do("POST", "/path/", "x").status, "the request may have run")
	require.Empty(t, second.receivedRequests())
}

// The quarantine of one tenant's request does not affect the same request of another tenant.
func TestTheSameRequestOfAnotherTenantIsNotHeld(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "ok"))
	tenants := []serving.Tenant{{Name: "a", Keys: []string{"ka"}}, {Name: "b", Keys: []string{"kb"}}}
	relay := newKeyedRelay(t, route(safe), tenants, backEnd)
	signature := quarantine.SignatureOf("a", "POST", "/path/", []byte("x"))
	relay.guard.ApplyQuarantine(crashguard.Statement{Version: 1, Requests: []*v1.HeldRequest{{Signature: signature[:]}}})
	require.Equal(t, 503, relay.client(t).do("POST", "/path/", "x", "T-Key: key ka").status)
	require.Equal(t, 200, relay.client(t).do("POST", "/path/", "x", "T-Key: key kb").status)
}

// A relay that was paused while a back end crashed finds a new incarnation at the address, which accepts connections. The
// list reveals that the former incarnation has crashed.
func TestListingRevealsACrashedBackEnd(t *testing.T) {
	var backEnds []*scriptedBackEnd
	for number := range 3 {
		backEnds = append(backEnds, startBackEnd(t, fmt.Sprint(number), serving.StageWhole, resetting("")))
	}
	relay := newTestRelay(t, route(func(config *serving.Route) { safe(config); config.MaxAttempts = 3 }), backEnds...)
	signature := quarantine.SignatureOf("", "POST", "/path/", []byte("x"))
	require.Equal(t, 502, relay.client(t).do("POST", "/path/", "x").status)
	require.False(t, relay.guard.IsQuarantined(quarantine.Content{Request: signature}))
	var entries []serving.BackEnd
	for _, backEnd := range backEnds {
		entry := backEnd.entry
		entry.ID += " again"
		entries = append(entries, entry)
	}
	next := *relay.view.Load()
	relay.fleet.applyListing(entries, &next)
	require.True(t, relay.guard.IsQuarantined(quarantine.Content{Request: signature}))
}

// A back end that is no longer listed is still probed when its crash is suspected.
func TestUnlistedBackEndIsProbed(t *testing.T) {
	relay := newTestRelay(t, route(safe), startBackEnd(t, "one", serving.StageWhole, answering(200, "ok")))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	replica := crashguard.Replica{ID: "gone", Address: listener.Addr().String()}
	require.Equal(t, crashguard.ProbeServing, relay.probe(t.Context(), replica))
	require.NoError(t, listener.Close())
	require.Equal(t, crashguard.ProbeGone, relay.probe(t.Context(), replica))
}

// The list may show the next incarnation, at the same address and under the same identity or another one, before the
// connections to the former incarnation break. The incarnation that accepts connections then is not the one that crashed.
func TestABackEndInWhosePlaceAnotherStartedHasEnded(t *testing.T) {
	serves := startBackEnd(t, "serves", serving.StageWhole, answering(200, "ok"))
	serves.entry.ID, serves.entry.Replica, serves.entry.StartedAtMs = "one/2", "one", 2
	relay := newTestRelay(t, route(safe), serves)
	elsewhere, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = elsewhere.Close() })
	for name, test := range map[string]struct {
		replica  crashguard.Replica
		expected crashguard.ProbeResult
	}{
		"its former incarnation":         {crashguard.Replica{ID: "one/1", Name: "one", Address: elsewhere.Addr().String()}, crashguard.ProbeGone},
		"another replica at its address": {crashguard.Replica{ID: "two/1", Name: "two", Address: serves.entry.Address}, crashguard.ProbeGone},
		"the listed incarnation":         {crashguard.Replica{ID: "one/2", Name: "one", Address: serves.entry.Address}, crashguard.ProbeServing},
		"an unlisted replica":            {crashguard.Replica{ID: "two/1", Name: "two", Address: elsewhere.Addr().String()}, crashguard.ProbeServing},
		"a replica of unknown name":      {crashguard.Replica{ID: "two/1", Address: elsewhere.Addr().String()}, crashguard.ProbeServing},
	} {
		require.Equal(t, test.expected, relay.probe(t.Context(), test.replica), name)
	}
	signature := quarantine.SignatureOf("", "POST", "/path/", []byte("x"))
	for number := range quarantine.QuarantineThreshold {
		relay.guard.RecordBrokenRun(quarantine.Content{Request: signature}, crashguard.Replica{ID: fmt.Sprint("one/0", number), Name: "one", Address: serves.entry.Address}, 0)
	}
	require.Eventually(t, func() bool { return relay.guard.IsQuarantined(quarantine.Content{Request: signature}) }, time.Minute, time.Millisecond)
}

// leaderSilentOnce is a leader that does not answer the first report of crashes.
type leaderSilentOnce struct {
	grantingLeader
	reports  atomic.Int32
	received atomic.Int32
}

func (l *leaderSilentOnce) ReportReplicaEnds(ctx context.Context, ends, _ []*v1.ReplicaEnd) ([][]byte, error) {
	if l.reports.Add(1) == 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l.received.Add(int32(len(ends)))
	return nil, nil
}

// Guards against crash reports that are lost because the leader was silent when a relay stopped: the relay exited without
// waiting for them.
func TestCrashReportsOutlastASilentLeaderAtAStop(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	relay.settings.GracePeriod = 4 * time.Second
	leader := &leaderSilentOnce{}
	relay.guardedBy(t, leader)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	relay.drain(t.Context(), listener)
	signature := quarantine.SignatureOf("", "", "", []byte(crashingBody))
	relay.guard.RecordSilentRun(quarantine.Content{Request: signature}, "one")
	relay.guard.RecordCrash("one")
	relay.awaitReported()
	require.Equal(t, int32(1), leader.received.Load())
}
