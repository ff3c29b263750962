package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// reportingDelay is the time after the end of a window within which the window is reported, if nothing fails.
const reportingDelay = 6 * time.Second

func TestEachUsageWindowIsReportedOnce(t *testing.T) {
	w := newTestCluster(t, 5, withUsage)
	newSite(w, 0, 0)
	platform, relays := w.startUsage(12)
	w.waitLeader()
	w.run(40 * time.Second)
	first := w.trueWindow() - 6
	w.run(reportingDelay)
	relays.requireReported(platform, first, first+5)
	require.Len(t, platform.arrivals, len(platform.accepted), "no window is reported twice")
	require.LessOrEqual(t, len(w.leader().core.State().Usage().UnsettledWindows()), 1)
}

// usageFaults are faults during the reporting of usage. After each of them every window must be reported once, with
// one content.
var usageFaults = map[string]func(w *testCluster, platform *usagePlatform){
	"the answer to every call is lost at first": func(w *testCluster, platform *usagePlatform) {
		platform.lose = func(DeliverUsage) bool { return w.random.IntN(3) > 0 }
	},
	"the platform is busy for a while": func(w *testCluster, platform *usagePlatform) {
		platform.refuse = true
		w.after(5*time.Second, func() { platform.refuse = false })
	},
	"calls are carried out seconds late": func(w *testCluster, platform *usagePlatform) {
		platform.processingDelay = func(DeliverUsage) time.Duration {
			if w.random.IntN(2) == 0 {
				return 0
			}
			return time.Duration(2+w.random.IntN(8)) * time.Second
		}
	},
	"the leader dies between agreement and call": func(w *testCluster, _ *usagePlatform) {
		leader := w.leader()
		w.until("a closed window", func() bool { return len(leader.core.State().Usage().UnsettledWindows()) > 0 })
		w.restart(leader)
	},
	"the leader dies after the call before its answer": func(w *testCluster, platform *usagePlatform) {
		leader, before := w.leader(), len(platform.arrivals)
		platform.lose = func(DeliverUsage) bool { return true }
		w.until("a call", func() bool { return len(platform.arrivals) > before })
		platform.lose = nil
		w.restart(leader)
	},
	"the leader dies between two windows": func(w *testCluster, platform *usagePlatform) {
		leader, before := w.leader(), len(platform.arrivals)
		w.until("a call", func() bool { return len(platform.arrivals) > before })
		w.run(time.Second)
		w.restart(leader)
	},
	"the leader is cut off and does not know": func(w *testCluster, _ *usagePlatform) {
		leader := w.leader()
		leader.cut = true
		w.after(8*time.Second, func() { leader.cut = false })
	},
	"leaders die one after another": func(w *testCluster, _ *usagePlatform) {
		for range 3 {
			w.restart(w.leader())
			w.until("another leader", func() bool { return w.leader() != nil })
		}
	},
	"all power is lost": func(w *testCluster, _ *usagePlatform) {
		for _, name := range w.names {
			w.crash(name)
		}
		w.after(1600*time.Millisecond, func() {
			for _, name := range w.names {
				w.start(name)
			}
		})
	},
	"the clocks of two jump": func(w *testCluster, _ *usagePlatform) {
		w.clockError["controller-1"], w.clockError["controller-2"] = 4*time.Second, -4*time.Second
		w.after(6*time.Second, func() { w.clockError = map[string]time.Duration{} })
	},
	"the clocks of all but one jump": func(w *testCluster, _ *usagePlatform) {
		for _, name := range w.names[1:] {
			w.clockError[name] = 4 * time.Second
		}
		w.after(6*time.Second, func() { w.clockError = map[string]time.Duration{} })
	},
}

func TestUsageOutlivesFaults(t *testing.T) {
	for name, fault := range usageFaults {
		for _, checksFences := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				w := newTestCluster(t, 5, withUsage)
				newSite(w, 0, 0)
				platform, relays := w.startUsage(12)
				platform.checksFences = checksFences
				w.waitLeader()
				w.run(20 * time.Second)
				first := w.trueWindow() - 1
				fault(w, platform)
				w.run(25 * time.Second)
				last := w.trueWindow() - 1
				w.run(reportingDelay + testUsage.Due)
				relays.requireReported(platform, first, last)
				platform.requireHoldersDoNotOverlap()
			})
		}
	}
}

// A relay that restarts counts anew under another identity; what it had reported before stays valid.
func TestRestartedRelayCountsUsageSeparately(t *testing.T) {
	w := newTestCluster(t, 3, withUsage)
	newSite(w, 0, 0)
	platform, relays := w.startUsage(4)
	w.waitLeader()
	w.run(20 * time.Second)
	first := w.trueWindow()
	w.until("nothing unreported", func() bool { return relays.relays[0].pending == nil && len(relays.relays[0].counts) == 0 })
	relays.relays[0].crashed = true
	relays.relays = append(relays.relays, &testRelayUsage{relay: 99, counts: map[usage.Window]usage.Counts{}})
	w.run(20 * time.Second)
	relays.requireReported(platform, first, first+1)
}

// A leader that the platform refuses because of a later holder makes no further calls in its term.
func TestAnOvertakenLeaderStops(t *testing.T) {
	w := newTestCluster(t, 3, withUsage)
	newSite(w, 0, 0)
	platform, _ := w.startUsage(4)
	w.waitLeader()
	platform.highest = 1 << 40
	w.run(time.Minute)
	require.Len(t, platform.arrivals, 1)
	require.Empty(t, platform.accepted)
}

// Calls of a former leader that are delayed, in a queue or in a suspended process, must not arrive between those of the
// next leader.
func TestCallsOfAFormerLeaderDoNotOverlapItsSuccessors(t *testing.T) {
	for _, transitDelay := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second, 8 * time.Second} {
		t.Run(transitDelay.String(), func(t *testing.T) {
			w := newTestCluster(t, 5, withUsage)
			newSite(w, 0, 0)
			platform, relays := w.startUsage(4)
			platform.checksFences = false
			w.waitLeader()
			w.run(20 * time.Second)
			platform.transitDelay = transitDelay
			first := w.trueWindow()
			former := w.leader()
			w.run(7 * time.Second)
			former.cut = true
			platform.transitDelay = 0
			w.run(30 * time.Second)
			relays.requireReported(platform, first, first+2)
			platform.requireHoldersDoNotOverlap()
		})
	}
}
