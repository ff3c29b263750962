package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/platform/standin"
)

const (
	// longestStillGap is the longest time between two rounds in which back ends stand still.
	longestStillGap = 2 * time.Second
	// shortestStill and longestStill bound the time for which a back end stands still.
	shortestStill = 800 * time.Millisecond
	longestStill  = 2 * time.Second
)

// standStill makes back ends stand still until the context ends. In two of three rounds a relay reloads or stops meanwhile.
// It draws from its own random source, so that it does not change which other faults are drawn.
func (f *faults) standStill(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 9000))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(longestStillGap))))
		length := shortestStill + time.Duration(random.Int64N(int64(longestStill-shortestStill)))
		for _, replica := range f.drawReplicas(random) {
			f.makeStandStill(replica, length)
		}
		relay := f.site.relays[random.IntN(len(f.site.relays))]
		after, away := time.Duration(random.Int64N(int64(length))), time.Duration(random.Int64N(int64(longestAway)))
		kind := []history.FaultKind{history.StandStill, history.Reload, history.Terminate}[random.IntN(3)]
		f.running.Go(func() {
			time.Sleep(after)
			f.maintain(kind, relay, away)
		})
	}
}

// drawReplicas draws the back ends that stand still together: in half of the rounds a single one, in a third up to half of
// all, otherwise all engines or all others, so that there is no other one to which a request could move.
func (f *faults) drawReplicas(random *rand.Rand) []*standin.Replica {
	replicas := f.site.faultTargets()
	switch random.IntN(6) {
	case 0:
		return [][]*standin.Replica{f.site.engines, f.site.pages}[random.IntN(2)]
	case 1, 2:
		return shuffled(replicas, random)[:2+random.IntN(len(replicas)/2-1)]
	default:
		return shuffled(replicas, random)[:1]
	}
}

// shuffled returns the back ends in a random order.
func shuffled(replicas []*standin.Replica, random *rand.Rand) []*standin.Replica {
	drawn := slices.Clone(replicas)
	random.Shuffle(len(drawn), func(a, b int) { drawn[a], drawn[b] = drawn[b], drawn[a] })
	return drawn
}

// makeStandStill makes the current incarnation of a back end stand still for a time.
func (f *faults) makeStandStill(replica *standin.Replica, length time.Duration) {
	f.inject(history.StandStill, replica.Identity(), false, func() {
		goOn, _ := replica.StandStill() // an error means that a connection has just ended
		time.Sleep(length)
		goOn()
	})
}

// maintain reloads a relay's settings or restarts the relay; it does nothing for other kinds of faults.
func (f *faults) maintain(kind history.FaultKind, relay *relayProcess, away time.Duration) {
	switch kind {
	case history.Reload:
		f.inject(kind, relay.Name, false, func() { f.sendReloads(relay.Process) })
	case history.Terminate:
		f.inject(kind, relay.Name, false, func() { f.terminate(relay.Process, f.isOther(relay.Name), away) })
	}
}
