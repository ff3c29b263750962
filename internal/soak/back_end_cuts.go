package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/internal/zonedelay"
)

const (
	// longestBackEndCutGap is the longest time between two cuts of relays from back ends.
	longestBackEndCutGap = 3 * time.Second
	// Half of these cuts take from shortestBackEndCut to shortBackEndCut, which is shorter than the contact time, the others
	// up to longestBackEndCut.
	shortestBackEndCut = 500 * time.Millisecond
	shortBackEndCut    = 3 * time.Second
	longestBackEndCut  = 12 * time.Second
	// firstBackEndCut is the number of the first cut from back ends; lower numbers are those of other cuts.
	firstBackEndCut = 1 << 21
	// loneCutPause is the time from the last other fault to the cut without other faults, loneCut the duration of that cut.
	loneCutPause = 3500 * time.Millisecond
	loneCut      = 10 * time.Second
)

// backEndCut is a cut of relays from all back ends.
type backEndCut struct {
	relays []*relayProcess
	mode   zonedelay.CutMode
	length time.Duration
}

// cutFromBackEnds cuts relays off from all back ends until the context ends, one cut at a time. In three of four cuts, one
// of the relays also stops, is killed or freezes meanwhile. It draws from its own random source, so that it does not change
// which other faults are drawn.
func (f *faults) cutFromBackEnds(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 10000))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(longestBackEndCutGap))))
		cut := f.drawBackEndCut(random)
		f.applyBackEndCut(cut)
		relay := cut.relays[random.IntN(len(cut.relays))]
		after, length := time.Duration(random.Int64N(int64(cut.length))), time.Duration(random.Int64N(int64(longestAway)))
		kind := []history.FaultKind{history.CutFromBackEnds, history.Terminate, history.Kill, history.Freeze}[random.IntN(4)]
		f.running.Go(func() {
			time.Sleep(after)
			f.strikeRelay(kind, relay, length)
		})
		sleep(ctx, cut.length)
	}
}

// strikeRelay stops, kills or freezes a relay; it does nothing for other kinds of faults.
func (f *faults) strikeRelay(kind history.FaultKind, relay *relayProcess, length time.Duration) {
	switch kind {
	case history.Kill:
		f.kill(relay, length)
	case history.Freeze:
		f.freeze(relay, length)
	default:
		f.maintain(kind, relay, length)
	}
}

// cutAlone cuts relays off from all back ends while nothing else happens, in runs that have such cuts, and returns when
// the cut is over. Only then are all relays in contact with the controllers, so that the rule on such cuts binds them.
func (f *faults) cutAlone(ctx context.Context) {
	if f.site.options.loneCutDuration() == 0 {
		return
	}
	sleep(ctx, loneCutPause)
	cut := f.drawBackEndCut(rand.New(rand.NewPCG(f.site.options.Seed, 11000)))
	cut.length = loneCut
	f.applyBackEndCut(cut)
	f.running.Wait()
}

// loneCutDuration returns how long the part of the run takes in which relays are cut off from back ends without other
// faults.
func (o Options) loneCutDuration() time.Duration {
	if !o.BackEndCuts {
		return 0
	}
	return loneCutPause + loneCut
}

// drawBackEndCut draws one relay, half of a zone or a zone, with the mode and the length of the cut.
func (f *faults) drawBackEndCut(random *rand.Rand) backEndCut {
	inZone := f.site.relaysInZone(f.site.zone(random.IntN(zoneCount)))
	first := random.IntN(len(inZone))
	count := []int{1, max(1, len(inZone)/2), len(inZone)}[random.IntN(3)]
	cut := backEndCut{mode: []zonedelay.CutMode{zonedelay.CutHang, zonedelay.CutReset, zonedelay.CutRefuseNew}[random.IntN(3)]}
	for number := range count {
		cut.relays = append(cut.relays, inZone[(first+number)%len(inZone)])
	}
	shortest, longest := shortestBackEndCut, shortBackEndCut
	if random.IntN(2) == 0 {
		shortest, longest = shortBackEndCut, longestBackEndCut
	}
	cut.length = shortest + time.Duration(random.Int64N(int64(longest-shortest)))
	return cut
}

// applyBackEndCut cuts the relays off in the background.
func (f *faults) applyBackEndCut(cut backEndCut) {
	if f.site.options.Progress != nil {
		f.site.options.Progress(fmt.Sprintf("%7.3f s relays cut off from back ends: %d for %s, mode %s", f.site.recorder.Now().Seconds(), len(cut.relays), cut.length, cut.mode))
	}
	for number, relay := range cut.relays {
		f.injectBeside(relay.Name+" back ends", history.CutFromBackEnds, relay.Name, false, func() {
			limited, cancel := context.WithTimeout(context.Background(), cut.length)
			defer cancel()
			keepCutFromBackEnds(limited, relay.Process, firstBackEndCut+number, cut.mode)
		})
	}
}

// keepCutFromBackEnds cuts a relay off from all back ends until the context ends, also if the relay is restarted
// meanwhile.
func keepCutFromBackEnds(ctx context.Context, relay *fleet.Process, number int, mode zonedelay.CutMode) {
	group := []netip.Prefix{groupPrefix(groupPages), groupPrefix(groupEngines), groupPrefix(groupFew)}
	informed := 0
	heal := func() error { return nil }
	for ; ctx.Err() == nil; sleep(ctx, stopPoll) {
		if starts := relay.Starts(); starts != informed && relay.Running() {
			if begun, err := relay.CutDials(number, group, mode); err == nil {
				informed, heal = starts, begun
			}
		}
	}
	_ = heal() // an error means that the process has exited, and the cut with it
}
