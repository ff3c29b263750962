package relay

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// isAnnounced reports whether the relay has queued a notice that the back end has failed.
func (r *testRelay) isAnnounced(backEnd *scriptedBackEnd) bool {
	r.notices.mutex.Lock()
	defer r.notices.mutex.Unlock()
	for record, pending := range r.notices.pending {
		if record.ID == backEnd.entry.ID && pending.failed {
			return true
		}
	}
	return false
}

// crashes returns how many crashes the guard was told of, among back ends with a run of watchCrashes.
func (r *testRelay) crashes() int { return int(testutil.ToFloat64(r.metrics.backEndCrashes)) }

// watchCrashes records a run at each back end, so that the guard counts its crash.
func (r *testRelay) watchCrashes(backEnds ...*scriptedBackEnd) {
	for _, each := range backEnds {
		r.guard.RecordSilentRun(quarantine.ContentOf("", "GET", "/path/"+each.entry.ID, nil, nil), each.entry.ID)
	}
}

// failAt lets the relay try in vain to connect to a back end.
func (r *testRelay) failAt(t *testing.T, backEnd *scriptedBackEnd) {
	t.Helper()
	_, err := r.exchanger.open(r.backEndByID(backEnd.entry.ID), dialTimeout)
	require.Error(t, err)
}

// startSingle starts the only back end of another service.
func startSingle(t *testing.T, id string) *scriptedBackEnd {
	t.Helper()
	single := startBackEnd(t, id, serving.StageWhole, answering(200, "ok"))
	single.entry.Service = "service of " + id
	return single
}

// Guards against failures of single back ends that other relays and the crash guard no longer hear of.
func TestFailureOfOneBackEndIsAnnounced(t *testing.T) {
	for _, fault := range []dialFault{dialsRefused, dialsHang} {
		for _, others := range []int{0, 1, 2, 5} {
			t.Run(fmt.Sprintf("%s, %d others", fault, others), func(t *testing.T) {
				failed := startBackEnd(t, "failed", serving.StageWhole, answering(200, "ok"))
				backEnds := []*scriptedBackEnd{failed}
				for index := range others {
					backEnds = append(backEnds, startBackEnd(t, fmt.Sprint("sound-", index), serving.StageWhole, answering(200, "ok")))
				}
				relays, paths := newRelayGroup(t, 1, route(nil), nil, backEnds...)
				relays[0].watchCrashes(backEnds...)
				paths[0].setFor(fault, failed)
				relays[0].failAt(t, failed)
				require.Eventually(t, func() bool { return relays[0].isAnnounced(failed) }, 10*time.Second, time.Millisecond)
				if fault == dialsRefused {
					require.Eventually(t, func() bool { return relays[0].crashes() == 1 }, 10*time.Second, time.Millisecond)
				}
				for _, sound := range backEnds[1:] {
					require.False(t, relays[0].isAnnounced(sound))
				}
				require.False(t, relays[0].path.pathTo("service").IsLost)
			})
		}
	}
}

// Guards against a failure that is never announced since it was recorded during the check of another one.
func TestFailureDuringACheckIsAnnounced(t *testing.T) {
	backEnds := startThree(t, answering(200, "ok"))
	relays, paths := newRelayGroup(t, 1, route(nil), nil, backEnds...)
	watch := relays[0].path
	watch.mutex.Lock()
	inProgress := make(chan struct{})
	watch.checkDone = inProgress
	watch.mutex.Unlock()
	paths[0].setFor(dialsRefused, backEnds[0])
	relays[0].failAt(t, backEnds[0])
	time.Sleep(10 * time.Millisecond) // the check of this failure begins to wait for the other one
	watch.mutex.Lock()
	watch.checkDone = nil
	watch.mutex.Unlock()
	close(inProgress)
	require.Eventually(t, func() bool { return relays[0].isAnnounced(backEnds[0]) }, 5*time.Second, time.Millisecond)
}

// Guards against relays that take the loss of their own path for failures of back ends, also of those that have no others to be
// compared with, and when the path is found again.
func TestLostPathAccusesNoBackEnd(t *testing.T) {
	for _, fault := range []dialFault{dialsRefused, dialsHang} {
		t.Run(fault.String(), func(t *testing.T) {
			backEnds := startThree(t, answering(200, "ok"))
			all := append([]*scriptedBackEnd{startSingle(t, "x"), startSingle(t, "y")}, backEnds...)
			relays, paths := newRelayGroup(t, 2, route(nil), nil, all...)
			relays[0].watchCrashes(all...)
			paths[0].set(fault)
			for _, each := range all {
				relays[0].failAt(t, each)
			}
			client := relays[0].client(t)
			for range 5 {
				require.Equal(t, 200, client.do("POST", "/path/", "x").status)
			}
			require.True(t, relays[0].path.pathTo("service").IsLost)
			for _, each := range backEnds {
				require.Zero(t, relays[0].backEndByID(each.entry.ID).avoidanceLeft(relays[0].clock.now()), "avoided although the path is lost")
			}
			time.Sleep(failureConfirmTime)
			paths[0].set(dialsOpen)
			began := time.Now()
			require.Eventually(t, func() bool { return !relays[0].path.pathTo("service").IsLost }, 10*time.Second, time.Millisecond)
			t.Logf("found again after %v", time.Since(began))
			time.Sleep(20 * time.Millisecond) // for notices of what was found
			require.Zero(t, relays[0].crashes())
			for _, each := range all {
				require.False(t, relays[0].isAnnounced(each), each.entry.ID)
			}
			forwards := testutil.ToFloat64(relays[0].metrics.forwards.WithLabelValues("served"))
			require.Equal(t, 200, client.do("POST", "/path/", "x").status)
			require.InDelta(t, forwards, testutil.ToFloat64(relays[0].metrics.forwards.WithLabelValues("served")), 0, "forwarded although the path is back")
		})
	}
}

// Guards against requests held longer than the limit of one attempt to connect, and goroutines left behind.
func TestFirstRequestsAfterTheCutAreServed(t *testing.T) {
	for _, fault := range []dialFault{dialsRefused, dialsHang} {
		t.Run(fault.String(), func(t *testing.T) {
			backEnds := startThree(t, answering(200, "ok"))
			relays, paths := newRelayGroup(t, 2, route(nil), nil, backEnds...)
			paths[0].set(fault)
			before := runtime.NumGoroutine()
			client := relays[0].client(t)
			for index := range 3 {
				began := time.Now()
				require.Equal(t, 200, client.do("POST", "/path/", "x").status)
				t.Logf("request %d served after %v", index+1, time.Since(began))
			}
			require.Len(t, allRequests(backEnds), 3)
			for _, each := range backEnds {
				require.Zero(t, relays[0].backEndByID(each.entry.ID).avoidanceLeft(relays[0].clock.now()), "avoided although the path is lost")
			}
			paths[0].set(dialsOpen)
			require.Eventually(t, func() bool { return paths[0].hanging.Load() == 0 && !relays[0].path.pathTo("service").IsLost }, 10*time.Second, time.Millisecond)
			const slack = 20 // connections between the relays and to the back ends
			require.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+slack }, 10*time.Second, time.Millisecond)
		})
	}
}

// Guards against relays that give up their open connections, or all service, while new connections are refused and no other relay
// can serve.
func TestOpenConnectionsServeWhileNewOnesAreRefused(t *testing.T) {
	backEnds := startThree(t, answering(200, "ok"))
	relays, paths := newRelayGroup(t, 1, route(nil), nil, backEnds...)
	client := relays[0].client(t)
	require.Equal(t, 200, client.do("POST", "/path/", "x").status)
	paths[0].set(dialsRefused)
	for _, each := range backEnds {
		relays[0].failAt(t, each)
	}
	require.True(t, relays[0].path.pathTo("service").IsLost)
	for range 10 {
		require.Equal(t, 200, client.do("POST", "/path/", "x").status)
	}
}

// Guards against relays without a path that, as owners of engines, keep other relays from sound ones.
func TestOwnerWithoutAPathDoesNotHinderOthers(t *testing.T) {
	for _, fault := range []dialFault{dialsRefused, dialsHang} {
		t.Run(fault.String(), func(t *testing.T) {
			var engines []*scriptedBackEnd
			for index := range 4 {
				engines = append(engines, startBackEnd(t, fmt.Sprint("engine-", index), serving.StageDecode, streaming("seal", eventOne)))
			}
			relays, paths := newRelayGroup(t, 2, route(stream(false)), nil, engines...)
			for _, relay := range relays {
				go relay.notices.run(t.Context())
			}
			paths[0].set(fault)
			for index := range 20 {
				relay := relays[index%2]
				began := time.Now()
				answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
				require.Equal(t, 200, answer.status, "request %d", index)
				require.Equal(t, eventOne, answer.body)
				if took := time.Since(began); took > 50*time.Millisecond {
					t.Logf("request %d at relay %d took %v", index, index%2, took)
				}
			}
			require.Len(t, allRequests(engines), 20)
		})
	}
}

// Guards against records of failures that grow without a bound while nothing can be connected to.
func TestUnconfirmedFailuresAreBounded(t *testing.T) {
	x, y := startSingle(t, "x"), startSingle(t, "y")
	relays, paths := newRelayGroup(t, 1, route(nil), nil, x, y)
	paths[0].set(dialsRefused)
	for range 50 {
		relays[0].failAt(t, x)
	}
	relays[0].path.mutex.Lock()
	defer relays[0].path.mutex.Unlock()
	require.LessOrEqual(t, len(relays[0].path.unconfirmed), 2)
}

// Guards against a loss of one service's path that hides the failure of a back end of another service.
func TestLossOfOneServiceDoesNotHideFailuresOfAnother(t *testing.T) {
	backEnds := startThree(t, answering(200, "ok"))
	x := startSingle(t, "x")
	relays, paths := newRelayGroup(t, 1, route(nil), nil, append(backEnds, x)...)
	relays[0].loseAllPaths(t, paths[0], dialsRefused)
	watch := relays[0].path
	watch.mutex.Lock()
	clear(watch.unconfirmed)
	inProgress := make(chan struct{})
	watch.checkDone = inProgress
	watch.mutex.Unlock()
	relays[0].failAt(t, x)
	relays[0].failAt(t, backEnds[0]) // while the path to its service is lost
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	require.Len(t, watch.unconfirmed, 1)
	require.Contains(t, watch.unconfirmed, relays[0].backEndByID("x"))
	watch.checkDone = nil
	close(inProgress)
}

// Guards against back ends that are reported as crashed when a path that was lost for a while is found again, although the other
// back ends with which they were compared had failed as well.
func TestOldFailuresAreNotAnnounced(t *testing.T) {
	x, y := startSingle(t, "x"), startSingle(t, "y")
	relays, paths := newRelayGroup(t, 1, route(nil), nil, x, y)
	relays[0].watchCrashes(x, y)
	paths[0].set(dialsRefused)
	relays[0].failAt(t, x)
	relays[0].failAt(t, y)
	time.Sleep(failureConfirmTime + time.Millisecond)
	paths[0].set(dialsOpen)
	require.True(t, relays[0].path.connect(relays[0].backEndByID("x")))
	require.False(t, relays[0].isAnnounced(x))
	require.False(t, relays[0].isAnnounced(y))
	require.Zero(t, relays[0].crashes())
}

// Guards against back ends that are still avoided when the path to them is back, after requests that no other relay could serve.
func TestBackEndsAreNotAvoidedAfterALostPath(t *testing.T) {
	backEnds := startThree(t, answering(200, "ok"))
	relays, paths := newRelayGroup(t, 1, route(nil), nil, backEnds...)
	paths[0].set(dialsRefused)
	for range 5 {
		require.Equal(t, 503, relays[0].client(t).do("POST", "/path/", "x").status)
	}
	paths[0].set(dialsOpen)
	require.Eventually(t, func() bool { return !relays[0].path.pathTo("service").IsLost }, 10*time.Second, time.Millisecond)
	for _, each := range backEnds {
		require.Zero(t, relays[0].backEndByID(each.entry.ID).avoidanceLeft(relays[0].clock.now()), each.entry.ID)
	}
}

// Guards against accusing back ends of exchanges that break or stall while the relay has no path to their service.
func TestExchangesThatFailOnALostPathAccuseNoBackEnd(t *testing.T) {
	arrived := make(chan struct{}, 1)
	backEnds := startThree(t, func(connection net.Conn, _ backEndRequest) bool {
		arrived <- struct{}{}
		_, _ = io.Copy(io.Discard, connection)
		return false
	})
	for name, end := range map[string]func(*breakablePath){"broken": (*breakablePath).reset, "stalled": func(*breakablePath) {}} {
		t.Run(name, func(t *testing.T) {
			relays, paths := newRelayGroup(t, 1, route(safe), nil, backEnds...)
			client := relays[0].client(t)
			client.send("GET", "/path/", "", "T-Deadline: 2500")
			<-arrived
			paths[0].set(dialsRefused)
			for _, each := range backEnds {
				relays[0].failAt(t, each)
			}
			require.True(t, relays[0].path.pathTo("service").IsLost)
			end(paths[0])
			require.Contains(t, []int{502, 504}, client.read().status, "it may have run")
			for _, each := range backEnds {
				require.False(t, relays[0].isAnnounced(each))
				require.Zero(t, relays[0].backEndByID(each.entry.ID).avoidanceLeft(relays[0].clock.now()))
			}
		})
	}
}

// Guards against taking a back end for crashed, and its requests for dangerous, because this relay has lost its path: one that the
// list no longer shows belongs to no service whose path could be known as lost.
func TestProbesOnALostPathFindNoCrash(t *testing.T) {
	for _, isKnown := range []bool{false, true} {
		t.Run(fmt.Sprintf("known as lost %t", isKnown), func(t *testing.T) {
			backEnds := startThree(t, answering(200, "ok"))
			relays, paths := newRelayGroup(t, 1, route(nil), nil, backEnds...)
			listed := crashguard.Replica{ID: "a", Name: "a", Address: backEnds[0].entry.Address}
			former := crashguard.Replica{ID: "former", Name: "former", Address: "127.0.0.1:1"}
			paths[0].set(dialsRefused)
			if isKnown {
				relays[0].loseAllPaths(t, paths[0], dialsRefused)
			}
			require.Equal(t, crashguard.ProbeUnclear, relays[0].probe(t.Context(), former))
			require.Equal(t, crashguard.ProbeUnclear, relays[0].probe(t.Context(), listed))
			paths[0].setFor(dialsOpen, backEnds[1:]...)
			require.Eventually(t, func() bool { return !relays[0].path.pathTo("service").IsLost }, 10*time.Second, time.Millisecond)
			require.Equal(t, crashguard.ProbeGone, relays[0].probe(t.Context(), listed))
		})
	}
}
