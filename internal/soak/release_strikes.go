package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// shortestHerdAway and longestHerdAway bound the time for which all relays, or all processes, are down together.
	shortestHerdAway = 200 * time.Millisecond
	longestHerdAway  = 1500 * time.Millisecond
	// longestLead is the longest time from the moment in which a relay falls out of step until the first new back end starts.
	longestLead = 300 * time.Millisecond
	// longestOutOfStep is the longest time for which a relay is out of step, outOfStepAfter the time for which clients still prefer it.
	longestOutOfStep = 5 * time.Second
	outOfStepAfter   = 2 * time.Second
	// releaseCuts is the number of the first cut of a release or of a series of moves: others have lower ones.
	releaseCuts = 1_000_000
)

// releaseStrikes are what may strike in a release; even seeds draw from the first seven, odd ones from the last eight.
var releaseStrikes = []strikeKind{
	strikeNothing, killAllRelays, killAllRelays, killAllRelays, killAllProcesses, cutFromAll, suspendRelay, cutFromProcesses, cutFromControllers,
	cutFromAll, suspendRelay,
}

// strikeRelease strikes at a drawn moment of a release that begins now: all relays, all processes, or a single relay that falls out
// of step; in one of seven releases nothing. Odd seeds have mostly relays out of step, the others mostly relays that are killed together.
func (f *faults) strikeRelease(planned rollout, random *rand.Rand) {
	moment, away := f.drawMoment(planned, random), shortestHerdAway+time.Duration(random.Int64N(int64(longestHerdAway-shortestHerdAway)))
	relay := f.site.relays[random.IntN(len(f.site.relays))]
	lead, share := time.Duration(random.Int64N(int64(longestLead))), random.Float64()
	length := min(longestOutOfStep, lead+time.Duration((0.3+share)*float64(planned.lastGone())))
	kind := releaseStrikes[random.IntN(7)]
	if f.site.options.isSteady() {
		kind = releaseStrikes[3+random.IntN(8)]
	}
	if f.execute(strike{kind: kind, relay: relay, moment: moment, away: away, length: length}) {
		time.Sleep(lead)
	}
}

// drawMoment draws when in a release all relays are killed: when it begins, at any time, when the last old back end begins to leave,
// when it has gone, or a little later.
func (f *faults) drawMoment(planned rollout, random *rand.Rand) time.Duration {
	const spread = 400 * time.Millisecond
	moved := time.Duration(random.Int64N(int64(spread)))
	switch random.IntN(5) {
	case 0:
		return moved / 2
	case 1:
		return time.Duration(random.Int64N(int64(planned.lastGone())))
	case 2:
		return planned.lastLeave() - spread/4 + moved
	case 3:
		return planned.lastGone() - moved
	default:
		return planned.lastGone() + moved
	}
}

// relayProcesses returns the processes of all relays.
func (f *faults) relayProcesses() []*fleet.Process {
	processes := make([]*fleet.Process, 0, len(f.site.relays))
	for _, relay := range f.site.relays {
		processes = append(processes, relay.Process)
	}
	return processes
}

// killTogether kills processes at the same time and starts them again after the time away.
func (f *faults) killTogether(processes []*fleet.Process, away time.Duration) {
	f.count(history.Kill, fmt.Sprintf("%d processes together for %s", len(processes), away))
	from := f.site.recorder.Now()
	var killing sync.WaitGroup
	for _, process := range processes {
		killing.Go(process.Kill)
	}
	killing.Wait()
	time.Sleep(away)
	for _, process := range processes {
		_ = process.Start() // a failed start shows as a process that is down
		f.site.recorder.AddFault(history.Fault{Kind: history.Kill, Target: process.Name, From: from, To: f.site.recorder.Now()})
	}
}

// cutOutOfStep cuts a relay off from groups of processes, datagrams too, so that it does not hear of a release or of a moved route.
func (f *faults) cutOutOfStep(relay *relayProcess, length time.Duration, groups ...int) {
	f.preferOutOfStep(relay, length)
	f.mutex.Lock()
	f.releaseCutCount++
	number := releaseCuts + f.releaseCutCount
	f.mutex.Unlock()
	var prefixes []netip.Prefix
	for _, group := range groups {
		prefixes = append(prefixes, groupPrefix(group))
	}
	f.cut(relay, number, length, prefixes)
}

// preferOutOfStep makes clients prefer a relay when they take up streams, while it is out of step and a little longer.
func (f *faults) preferOutOfStep(relay *relayProcess, length time.Duration) {
	f.running.Go(func() {
		f.site.outOfStep.Store(relay)
		time.Sleep(length + outOfStepAfter)
		f.site.outOfStep.CompareAndSwap(relay, nil)
	})
}

// listPort returns the port of the list. With releases or moves it is the port of the calls that cuts of relays drop.
func (o Options) listPort() int {
	if o.resumesLater() {
		return portPeers
	}
	return portOuter
}
