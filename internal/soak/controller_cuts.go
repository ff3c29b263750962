package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

const (
	// MinCutControllers is the smallest number of controllers that can be cut from each other.
	MinCutControllers = 2
	// longestControllerCutGap is the longest time between two cuts among the controllers.
	longestControllerCutGap = 5 * time.Second
	// Cuts among the controllers take from shortestControllerCut to longestControllerCut. In a run, none takes longer than its
	// faults altogether.
	shortestControllerCut = 500 * time.Millisecond
	longestControllerCut  = 40 * time.Second
	// firstControllerCut is the number of the first cut among controllers; lower numbers are those of other cuts.
	firstControllerCut = 1 << 22
	// readPause is the time between two reads of the configuration in runs with cuts among the controllers.
	readPause = 100 * time.Millisecond
)

// controllerCut is a cut between two groups of controllers, or, if everyone is in both, between all of them.
type controllerCut struct {
	silence.Cut
	// targets are the controllers that are cut off from the others.
	targets []*fleet.Process
	length  time.Duration
}

// cutControllers cuts controllers from each other until the context ends, one cut at a time, and returns when the last one is
// over. It draws from its own random source, so that it does not change which other faults are drawn.
func (f *faults) cutControllers(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 14000))
	for number := firstControllerCut; ctx.Err() == nil; {
		sleep(ctx, time.Duration(random.Int64N(int64(longestControllerCutGap))))
		for !f.beginControllerCut() && ctx.Err() == nil {
			sleep(ctx, stopPoll)
		}
		if ctx.Err() == nil {
			f.applyControllerCut(number, f.drawControllerCut(random))
			number++
			f.endControllerCut()
		}
	}
}

// cutControllersAlone cuts controllers from each other while nothing else happens, in runs that have such cuts, and returns
// when the cut is over.
func (f *faults) cutControllersAlone(ctx context.Context) {
	if !f.site.options.ControllerCuts {
		return
	}
	sleep(ctx, loneCutPause)
	const number = firstControllerCut << 1
	random := rand.New(rand.NewPCG(f.site.options.Seed, 15000))
	cut := f.drawControllerCut(random)
	cut.length = shortestControllerCut + time.Duration(random.Float64()*float64(f.longestControllerCut()-shortestControllerCut))
	f.applyControllerCut(number, cut)
}

// beginControllerCut reports whether a cut among the controllers may begin. While a controller catches up with the log, it may
// not: one with an empty disk would count as caught up while it cannot reach the others. No disk is replaced until
// endControllerCut.
func (f *faults) beginControllerCut() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.lostControllers == 0 {
		f.keepsDisks = true
	}
	return f.keepsDisks
}

// endControllerCut allows disks to be replaced again, once the controllers have caught up with the log.
func (f *faults) endControllerCut() {
	f.running.Go(func() {
		time.Sleep(catchUpTime)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.keepsDisks = false
	})
}

// longestControllerCut returns the longest time for which controllers are cut from each other in this run.
func (f *faults) longestControllerCut() time.Duration {
	return min(longestControllerCut, max(shortestControllerCut, f.site.options.FaultDuration))
}

// drawControllerCut draws one controller, a part or all of them, with the mode and the length of the cut. Short cuts are drawn
// as often as long ones on a logarithmic scale.
func (f *faults) drawControllerCut(random *rand.Rand) controllerCut {
	controllers := f.site.controllers
	order := random.Perm(len(controllers))
	count := []int{1, 1 + random.IntN(len(controllers)-1), len(controllers)}[random.IntN(3)]
	cut := controllerCut{Cut: silence.Cut{Mode: silence.CutModes[random.IntN(len(silence.CutModes))]}}
	for position, number := range order {
		ip := f.site.controllerIP(number)
		if position < count {
			cut.targets, cut.Group = append(cut.targets, controllers[number]), append(cut.Group, ip)
		}
		if position >= count || count == len(controllers) {
			cut.Others = append(cut.Others, ip)
		}
	}
	ratio := float64(f.longestControllerCut()) / float64(shortestControllerCut)
	cut.length = time.Duration(float64(shortestControllerCut) * math.Pow(ratio, random.Float64()))
	return cut
}

// String formats the cut for a line of progress.
func (c controllerCut) String() string {
	var names []string
	for _, target := range c.targets {
		names = append(names, target.Name)
	}
	return fmt.Sprintf("%s from other controllers, mode %s, for %s", strings.Join(names, ", "), c.Mode, c.length.Round(time.Millisecond))
}

// applyControllerCut cuts controllers from each other for the length of the cut, also those that are restarted meanwhile.
func (f *faults) applyControllerCut(number int, cut controllerCut) {
	from := f.site.recorder.Now()
	if f.site.options.Progress != nil {
		f.site.options.Progress(fmt.Sprintf("%7.3f s %s %s", from.Seconds(), history.CutController, cut))
	}
	f.mutex.Lock()
	f.kinds[history.CutController]++
	f.mutex.Unlock()
	informed := make([]int, len(f.site.controllers))
	ends := make([]func() error, len(f.site.controllers))
	for until := time.Now().Add(cut.length); time.Now().Before(until); time.Sleep(min(stopPoll, time.Until(until))) {
		for index, process := range f.site.controllers {
			if starts := process.Starts(); starts != informed[index] && process.Running() {
				if end, err := process.CutNetwork(number, cut.Cut); err == nil {
					informed[index], ends[index] = starts, end
				}
			}
		}
	}
	for _, end := range ends {
		if end != nil {
			_ = end() // an error means that the process has exited, and the cut with it
		}
	}
	to := f.site.recorder.Now()
	for _, target := range cut.targets {
		f.site.recorder.AddFault(history.Fault{Kind: history.CutController, Target: target.Name, From: from, To: to})
	}
	if f.site.options.Progress != nil {
		f.site.options.Progress(fmt.Sprintf("%7.3f s %s ends", to.Seconds(), history.CutController))
	}
}

// keepReading reads the configuration from one controller after the other until the context ends.
func (s *site) keepReading(ctx context.Context) {
	for count := 0; ctx.Err() == nil; count++ {
		s.operator.Read(ctx, count)
		sleep(ctx, readPause)
	}
}
