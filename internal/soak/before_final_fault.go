package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/platform/standin"
)

const (
	// fewestFinalChanges and mostFinalChanges bound the number of changes in a row before the final fault.
	fewestFinalChanges = 100
	mostFinalChanges   = 300
	// manyChangesLimit is the time after which no further one of these changes is submitted.
	manyChangesLimit = 8 * time.Second
	// mostFinalReplacements is the largest number of controllers that are replaced before the final fault, longestFinalGap the
	// longest time between two of them.
	mostFinalReplacements = 4
	longestFinalGap       = 1500 * time.Millisecond
	// finalCatchUpTime is the time after which a replaced controller counts as having caught up with the log.
	finalCatchUpTime = 4 * time.Second
	// lastChangeTimeout is the limit of the last change's acknowledgement.
	lastChangeTimeout = 20 * time.Second
)

// prepare draws and does what comes before the final fault.
func (f *finalFault) prepare(ctx context.Context) error {
	switch f.random.IntN(4) {
	case 0:
		f.recorded.Before = "nothing else"
	case 1:
		f.submitMany(ctx)
	case 2:
		length := f.freezeOne(ctx)
		f.recorded.Before = fmt.Sprintf("a controller was suspended for %s", length.Round(time.Millisecond))
	default:
		return f.replaceSome(ctx)
	}
	return nil
}

// submitMany submits many changes in a row.
func (f *finalFault) submitMany(ctx context.Context) {
	count := fewestFinalChanges + f.random.IntN(mostFinalChanges-fewestFinalChanges)
	idle := []int{0, 0, manyIdleRoutes}[f.random.IntN(3)]
	limited, cancel := context.WithTimeout(ctx, manyChangesLimit)
	defer cancel()
	submitted := 0
	for ; submitted < count && limited.Err() == nil; submitted++ {
		f.submit(ctx, idle)
	}
	f.recorded.Before = fmt.Sprintf("%d changes with %d routes without traffic", submitted, idle)
}

// freezeOne suspends a controller while changes go on, and returns for how long.
func (f *finalFault) freezeOne(ctx context.Context) time.Duration {
	process := f.site.controllers[f.random.IntN(len(f.site.controllers))]
	length := time.Duration(f.random.Int64N(int64(longestFreeze)))
	from := f.site.recorder.Now()
	process.Suspend()
	for until := time.Now().Add(length); time.Now().Before(until); sleep(ctx, stopPoll) {
		f.submit(ctx, 0)
	}
	process.Resume()
	f.site.recorder.AddFault(history.Fault{Kind: history.Freeze, Target: process.Name, From: from, To: f.site.recorder.Now()})
	return length
}

// replaceSome replaces controllers one after the other, at most as many within finalCatchUpTime as may be lost at once, and
// waits until the last ones have caught up.
func (f *finalFault) replaceSome(ctx context.Context) error {
	count, tolerated := 1+f.random.IntN(mostFinalReplacements), (len(f.site.controllers)-1)/2
	if tolerated == 0 {
		f.recorded.Before = "nothing else, since no controller may be replaced"
		return nil
	}
	f.recorded.Before = fmt.Sprintf("%d replacements of controllers", count)
	for number := range count {
		if err := f.replaceController(f.random.IntN(len(f.site.controllers)), f.random.IntN(2) == 0); err != nil {
			return trace.Wrap(err)
		}
		if (number+1)%tolerated == 0 || number == count-1 {
			sleep(ctx, finalCatchUpTime)
		} else {
			sleep(ctx, time.Duration(f.random.Int64N(int64(longestFinalGap))))
		}
		f.submit(ctx, 0)
	}
	return nil
}

// replaceController kills a controller, or asks it to stop, and starts another one with an empty disk at a new address in its
// place. The settings of all processes name the new seeds from then on.
func (f *finalFault) replaceController(index int, isPlanned bool) error {
	former, from := f.site.controllers[index], f.site.recorder.Now()
	if isPlanned {
		former.Terminate()
		for waited := time.Duration(0); former.Running() && waited < stopGrace; waited += stopPoll {
			time.Sleep(stopPoll)
		}
	}
	former.Kill()
	added, err := f.site.replaceController(index)
	if err != nil {
		return trace.Wrap(err)
	}
	to := f.site.recorder.Now()
	for _, name := range []string{former.Name, added.Name} {
		f.site.recorder.AddFault(history.Fault{Kind: history.Wipe, Target: name, From: from, To: to})
	}
	return nil
}

// submit submits the next configuration until it is acknowledged.
func (f *finalFault) submit(ctx context.Context, idleRoutes int) {
	limited, cancel := context.WithTimeout(ctx, lastChangeTimeout)
	defer cancel()
	f.site.lastNumber++
	pages := []string{standin.ServicePages, standin.ServiceOther}[f.contents.IntN(2)]
	contents := f.site.contents(pages)
	contents.IdleRoutes = idleRoutes
	_ = f.site.operator.Put(limited, contents.Change(f.site.lastNumber), standin.Configuration(f.site.lastNumber, contents), f.contents.IntN(len(f.site.controllers)))
}

// changeOnce submits the last change. The fault follows its acknowledgement, or strikes moments after it was sent.
func (f *finalFault) changeOnce(ctx context.Context) {
	if f.random.IntN(4) > 0 {
		f.submit(ctx, 0)
		return
	}
	f.recorded.Before += ", moments after a change was sent"
	f.site.lastNumber++
	number, first := f.site.lastNumber, f.random.IntN(len(f.site.controllers))
	contents := f.site.contents(standin.ServicePages)
	f.running.Go(func() {
		sending, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		f.site.operator.Put(sending, contents.Change(number), standin.Configuration(number, contents), first)
	})
	time.Sleep(time.Duration(f.random.Int64N(int64(20 * time.Millisecond))))
}
