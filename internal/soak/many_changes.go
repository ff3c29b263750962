package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// manyIdleRoutes makes a configuration of about 0.3 MB.
	manyIdleRoutes = 1500
	// shortestChangePause and changePauseRange bound the time between two configurations, manyChangesPause that in runs with many.
	shortestChangePause = 300 * time.Millisecond
	changePauseRange    = 1200 * time.Millisecond
	manyChangesPause    = 60 * time.Millisecond
)

// changePause draws the time until the next configuration.
func (o Options) changePause(random *rand.Rand) time.Duration {
	if o.ManyChanges {
		return time.Duration(random.Int64N(int64(manyChangesPause)))
	}
	return shortestChangePause + time.Duration(random.Int64N(int64(changePauseRange)))
}

// idleRoutes returns how many routes without traffic each configuration has.
func (o Options) idleRoutes() int {
	if o.ManyChanges {
		return manyIdleRoutes
	}
	return 0
}

// restartControllersAfterLoss kills all controllers together, and restarts them; one of them comes back with an empty disk.
func (f *faults) restartControllersAfterLoss(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 13000))
	emptied := random.IntN(len(f.site.controllers))
	from := f.site.recorder.Now()
	for _, process := range f.site.controllers {
		process.Kill()
	}
	if len(f.site.controllers) > 2 { // else the others would be no majority
		_ = f.site.controllers[emptied].ReplaceDisk() // the process is not running; a failure leaves the old disk
	}
	for _, process := range f.site.controllers {
		_ = process.Start() // a failed start shows as a controller that is down
		f.site.recorder.AddFault(history.Fault{Kind: history.Kill, Target: process.Name, From: from, To: f.site.recorder.Now()})
	}
	sleep(ctx, bounds.ConfigApply)
}
