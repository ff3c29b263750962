package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// settled is how long after a window's end it is told, if nothing fails.
const settled = 6 * time.Second

func TestEachWindowIsToldOnceAsItWas(t *testing.T) {
	w := newWorld(t, 5, counting)
	newSite(w, 0, 0)
	platform, relays := w.startUsage(12)
	w.waitLeader()
	w.run(40 * time.Second)
	first := w.trueWindow() - 6
	w.run(settled)
	relays.requireTold(platform, first, first+5)
	require.Len(t, platform.arrivals, len(platform.accepted), "nothing is told twice")
	require.LessOrEqual(t, len(w.leader().core.State().Usage().UnsettledWindows()), 1)
}

// faultsOfUsage are failures that may hit the telling of usage. Each leaves every window told once,
// with one content.
var faultsOfUsage = map[string]func(w *world, platform *usagePlatform){
	"the answer to every call is lost at first": func(w *world, platform *usagePlatform) {
		platform.lose = func(DeliverUsage) bool { return w.random.IntN(3) > 0 }
	},
	"the platform is busy for a while": func(w *world, platform *usagePlatform) {
		platform.refuse = true
		w.after(5*time.Second, func() { platform.refuse = false })
	},
	"calls are carried out seconds late": func(w *world, platform *usagePlatform) {
		platform.late = func(DeliverUsage) time.Duration {
			if w.random.IntN(2) == 0 {
				return 0
			}
			return time.Duration(2+w.random.IntN(8)) * time.Second
		}
	},
	"the leader dies between agreement and call": func(w *world, _ *usagePlatform) {
		leader := w.leader()
		w.until("a closed window", func() bool { return len(leader.core.State().Usage().UnsettledWindows()) > 0 })
		w.restart(leader)
	},
	"the leader dies after the call before its answer": func(w *world, platform *usagePlatform) {
		leader, before := w.leader(), len(platform.arrivals)
		platform.lose = func(DeliverUsage) bool { return true }
		w.until("a call", func() bool { return len(platform.arrivals) > before })
		platform.lose = nil
		w.restart(leader)
	},
	"the leader dies between two windows": func(w *world, platform *usagePlatform) {
		leader, before := w.leader(), len(platform.arrivals)
		w.until("a call", func() bool { return len(platform.arrivals) > before })
		w.run(time.Second)
		w.restart(leader)
	},
	"the leader is cut off and does not know": func(w *world, _ *usagePlatform) {
		leader := w.leader()
		leader.cut = true
		w.after(8*time.Second, func() { leader.cut = false })
	},
	"leaders die one after another": func(w *world, _ *usagePlatform) {
		for range 3 {
			w.restart(w.leader())
			w.until("another leader", func() bool { return w.leader() != nil })
		}
	},
	"all power is lost": func(w *world, _ *usagePlatform) {
		for _, name := range w.names {
			w.crash(name)
		}
		w.after(1600*time.Millisecond, func() {
			for _, name := range w.names {
				w.start(name)
			}
		})
	},
	"the clocks of two jump": func(w *world, _ *usagePlatform) {
		w.clockError["controller-1"], w.clockError["controller-2"] = 4*time.Second, -4*time.Second
		w.after(6*time.Second, func() { w.clockError = map[string]time.Duration{} })
	},
	"the clocks of all but one jump": func(w *world, _ *usagePlatform) {
		for _, name := range w.names[1:] {
			w.clockError[name] = 4 * time.Second
		}
		w.after(6*time.Second, func() { w.clockError = map[string]time.Duration{} })
	},
}

func TestUsageOutlivesFaults(t *testing.T) {
	for name, fault := range faultsOfUsage {
		for _, looks := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				w := newWorld(t, 5, counting)
				newSite(w, 0, 0)
				platform, relays := w.startUsage(12)
				platform.looks = looks
				w.waitLeader()
				w.run(20 * time.Second)
				first := w.trueWindow() - 1
				fault(w, platform)
				w.run(25 * time.Second)
				last := w.trueWindow() - 1
				w.run(settled + testUsage.Due)
				relays.requireTold(platform, first, last)
				platform.requireHoldersApart()
			})
		}
	}
}

// A relay that comes back begins to count anew under another identity; what it had told stays.
func TestARelaysSecondStartCountsOnItsOwn(t *testing.T) {
	w := newWorld(t, 3, counting)
	newSite(w, 0, 0)
	platform, relays := w.startUsage(4)
	w.waitLeader()
	w.run(20 * time.Second)
	first := w.trueWindow()
	w.until("nothing unreported", func() bool { return relays.relays[0].underWay == nil && len(relays.relays[0].counts) == 0 })
	relays.relays[0].dead = true
	relays.relays = append(relays.relays, &testRelayUsage{relay: 99, counts: map[usage.Window]usage.Counts{}})
	w.run(20 * time.Second)
	relays.requireTold(platform, first, first+1)
}

// A leader that the platform has seen overtaken stops until it leads anew.
func TestAnOvertakenLeaderStops(t *testing.T) {
	w := newWorld(t, 3, counting)
	newSite(w, 0, 0)
	platform, _ := w.startUsage(4)
	w.waitLeader()
	platform.highest = 1 << 40
	w.run(time.Minute)
	require.Len(t, platform.arrivals, 1)
	require.Empty(t, platform.accepted)
}

// Calls that are held on their way, in a queue or in a process that stands still, never come between
// those of a successor.
func TestCallsOfAFormerLeaderDoNotOverlapItsSuccessors(t *testing.T) {
	for _, held := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second, 8 * time.Second} {
		t.Run(held.String(), func(t *testing.T) {
			w := newWorld(t, 5, counting)
			newSite(w, 0, 0)
			platform, relays := w.startUsage(4)
			platform.looks = false
			w.waitLeader()
			w.run(20 * time.Second)
			platform.held = held
			first := w.trueWindow()
			former := w.leader()
			w.run(7 * time.Second)
			former.cut = true
			platform.held = 0
			w.run(30 * time.Second)
			relays.requireTold(platform, first, first+2)
			platform.requireHoldersApart()
		})
	}
}
