package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/platform/standin"
)

const (
	// longestReleaseGap is the longest time between two releases. longestRollout is the longest time from the first new back end of a release to
	// the last one.
	longestReleaseGap = 1500 * time.Millisecond
	longestRollout    = 2 * time.Second
	// steadyTime is how long one version is the only one before each release of odd seeds: longer than a stream can last, which is twice the
	// longest timeout of a route.
	steadyTime = 8200 * time.Millisecond
	// shortestOverlap and longestOverlap bound the time from the start of a new back end until an old one begins to leave.
	shortestOverlap = 100 * time.Millisecond
	longestOverlap  = 1200 * time.Millisecond
	// shortLeave and longLeave are the longest times that leaving back ends serve, each in half of the releases.
	shortLeave = 300 * time.Millisecond
	longLeave  = 2 * time.Second
	// releaseEventInterval is the time between two events of a stream in runs with releases.
	releaseEventInterval = 40 * time.Millisecond
)

// releaseVersion returns the software version of a release by its number.
func releaseVersion(number int) string { return fmt.Sprintf("v1.%d", number) }

// startSpares creates the engines that take the place of others in releases; none of them runs yet.
func (s *site) startSpares() error {
	for number := range s.options.Engines {
		options := s.engineOptions(number, groupSpares)
		options.Retired = true
		spare, err := standin.StartReplica(options)
		if err != nil {
			return err
		}
		s.spares = append(s.spares, spare)
	}
	return nil
}

// runningSpares returns the spares that have been started at least once.
func (s *site) runningSpares() []*standin.Replica {
	var running []*standin.Replica
	for _, spare := range s.spares {
		if spare.Identity() != "" {
			running = append(running, spare)
		}
	}
	return running
}

// isSteady reports whether releases are far enough apart for relays to hold one version for the only one: in odd seeds.
func (o Options) isSteady() bool { return o.Seed%2 == 1 }

// drawReleaseGap draws the time until the next release.
func (f *faults) drawReleaseGap(random *rand.Rand) time.Duration {
	gap := time.Duration(random.Int64N(int64(longestReleaseGap)))
	if f.site.options.isSteady() {
		return steadyTime + gap
	}
	return gap
}

// rollout is one release: the times are counted from its beginning.
type rollout struct {
	version string
	// places are the numbers of the engines that are replaced, in this order; joinGap is the time between two new ones.
	places  []int
	joinGap time.Duration
	// overlap is the time from the start of a new back end until the old one begins to leave, which serves for serveFor then.
	overlap, serveFor time.Duration
	// isNewFirst is true if no old one leaves before the last new one has started. isCrash is true if old ones crash in place of leaving.
	isNewFirst, isCrash bool
}

// leavesAt returns when the old back end of the given place begins to leave.
func (r rollout) leavesAt(index int) time.Duration {
	if r.isNewFirst {
		index = len(r.places)
	}
	return time.Duration(index)*r.joinGap + r.overlap
}

// lastLeave returns when the last old back end begins to leave, lastGone when it has gone.
func (r rollout) lastLeave() time.Duration { return r.leavesAt(len(r.places) - 1) }
func (r rollout) lastGone() time.Duration {
	return r.lastLeave() + standin.DrainListingDelay + r.serveFor
}

// drawRollout draws a release of a version: of all engines, or, in one of six, of a half.
func (f *faults) drawRollout(version string, random *rand.Rand) rollout {
	places := random.Perm(f.site.options.Engines)
	if random.IntN(6) == 0 {
		places = places[:(len(places)+1)/2]
	}
	drawn := rollout{
		version: version, places: places, joinGap: time.Duration(random.Int64N(int64(longestRollout))) / time.Duration(len(places)),
		overlap:  shortestOverlap + time.Duration(random.Int64N(int64(longestOverlap-shortestOverlap))),
		serveFor: time.Duration(random.Int64N(int64(shortLeave))), isNewFirst: random.IntN(2) == 0, isCrash: random.IntN(6) == 0,
	}
	if random.IntN(2) == 0 {
		drawn.serveFor = time.Duration(random.Int64N(int64(longLeave)))
	}
	return drawn
}

// release replaces the engines by those of another version, again and again, until the context ends. One in four releases goes back to
// the version before. A relay or all processes are struck at a drawn moment of most of them.
func (f *faults) release(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 12000))
	current, next := f.site.engines, f.site.spares
	current, next = append([]*standin.Replica(nil), current...), append([]*standin.Replica(nil), next...)
	before, now, number := releaseVersion(0), releaseVersion(0), 0
	for ctx.Err() == nil {
		sleep(ctx, f.drawReleaseGap(random))
		if ctx.Err() != nil {
			return
		}
		version := before
		if random.IntN(4) > 0 || before == now {
			number++
			version = releaseVersion(number)
		}
		before, now = now, version
		planned := f.drawRollout(version, random)
		f.count(history.Release, fmt.Sprintf("%s at %d engines", version, len(planned.places)))
		f.strikeRelease(planned, random)
		f.carryOut(planned, current, next)
		for _, place := range planned.places {
			current[place], next[place] = next[place], current[place]
		}
	}
}

// carryOut replaces back ends as planned, and returns when the last old one has gone.
func (f *faults) carryOut(planned rollout, current, next []*standin.Replica) {
	begun := time.Now()
	for index, place := range planned.places {
		joins, leaves := next[place], current[place]
		f.running.Go(func() {
			time.Sleep(time.Until(begun.Add(time.Duration(index) * planned.joinGap)))
			_ = joins.Join(planned.version) // an address that is in use yet is tried again by restartCrashed
			time.Sleep(time.Until(begun.Add(planned.leavesAt(index))))
			f.letLeave(leaves, planned)
		})
	}
	time.Sleep(time.Until(begun.Add(planned.lastGone())))
}

// letLeave lets a back end leave, and records that.
func (f *faults) letLeave(replica *standin.Replica, planned rollout) {
	recorder, identity, from, kind := f.site.recorder, replica.Identity(), f.site.recorder.Now(), history.Drain
	if planned.isCrash {
		kind = history.Crash
		replica.CrashForGood()
	} else {
		replica.Leave(planned.serveFor)
	}
	recorder.AddFault(history.Fault{Kind: kind, Target: identity, From: from, To: recorder.Now()})
}

// count counts a fault and reports it.
func (f *faults) count(kind history.FaultKind, target string) {
	f.mutex.Lock()
	f.kinds[kind]++
	f.mutex.Unlock()
	if f.site.options.Progress != nil {
		f.site.options.Progress(fmt.Sprintf("%7.3f s %s %s", f.site.recorder.Now().Seconds(), kind, target))
	}
}
