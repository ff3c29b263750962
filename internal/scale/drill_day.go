package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// An ordinary day, sped up: an event each dayEvent in place of one in 873 s.
const (
	dayFailures   = 24
	dayRestarts   = 75
	dayEvent      = 500 * time.Millisecond
	dayAway       = 5 * time.Second // how long a machine that failed stays away
	dayChangeEach = 500 * time.Millisecond
	// leaderFailure is the number of the failure that hits the leader.
	leaderFailure = 12
)

// runDay lets machines fail and restart one after the other, drawn evenly over all
// machines, while changes are submitted.
func runDay(ctx context.Context, d *drilling) error {
	running, stop := context.WithCancel(ctx)
	defer stop()
	ended := d.changeSteadily(ctx, running, dayChangeEach)
	day := &day{drilling: d, source: rand.New(rand.NewPCG(d.fleet.Plan.Seed, 0)), away: map[string]bool{}}
	var repairs sync.WaitGroup
	for _, fails := range day.events() {
		if !pause.For(ctx, dayEvent) {
			return trace.Wrap(ctx.Err())
		}
		if err := day.event(ctx, fails, &repairs); err != nil {
			return trace.Wrap(err)
		}
	}
	repairs.Wait()
	stop()
	if err := <-ended; err != nil {
		d.fail("%v", err)
	}
	d.report.Notes = append(d.report.Notes, fmt.Sprintf("%d failures and %d restarts in %.0f s, %.0f times as fast as a day",
		dayFailures, dayRestarts, (dayFailures+dayRestarts)*dayEvent.Seconds(), (24*time.Hour).Seconds()/((dayFailures+dayRestarts)*dayEvent.Seconds())))
	slowest := d.watch.slowest(d.accepted)
	d.require(slowest <= inForceLimit.Seconds(), "a change took %.1f s to be in force, more than %.0f", slowest, inForceLimit.Seconds())
	return nil
}

// day is the state of the day drill.
type day struct {
	*drilling
	source   *rand.Rand
	mutex    sync.Mutex
	away     map[string]bool
	failures int
}

// events are the failures (true) and restarts of the day, mixed.
func (d *day) events() []bool {
	events := make([]bool, dayFailures+dayRestarts)
	for i := range dayFailures {
		events[i] = true
	}
	d.source.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	return events
}

// event lets one machine fail, or restart at once.
func (d *day) event(ctx context.Context, fails bool, repairs *sync.WaitGroup) error {
	lost := d.draw()
	if fails {
		d.failures++
		if d.failures == leaderFailure {
			leader, err := d.fleet.Leader(ctx)
			if err != nil {
				return trace.Wrap(err)
			}
			lost = loss{controllers: []int{leader}}
		}
	}
	name := lost.name()
	if d.set(name, true) {
		return nil // it is away already
	}
	if err := d.lose(lost); err != nil {
		return trace.Wrap(err)
	}
	if !fails {
		defer d.set(name, false)
		return trace.Wrap(d.restore(lost))
	}
	repairs.Go(func() {
		pause.For(ctx, dayAway)
		if err := d.restore(lost); err != nil {
			d.fail("%v", err)
		}
		d.set(name, false)
	})
	return nil
}

// set notes whether a machine is away and reports whether it was.
func (d *day) set(name string, away bool) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	was := d.away[name]
	d.away[name] = away
	return was
}

// draw picks one machine that is not a controller while another controller is away.
func (d *day) draw() loss {
	plan := d.fleet.Plan
	for {
		number := d.source.IntN(plan.Replicas + plan.Nodes + len(d.fleet.controllers))
		switch {
		case number < plan.Replicas:
			return loss{engines: []string{ReplicaName(number)}}
		case number < plan.Replicas+plan.Nodes:
			return loss{nodes: d.fleet.Nodes[number-plan.Replicas : number-plan.Replicas+1]}
		case !d.controllerAway():
			return loss{controllers: []int{number - plan.Replicas - plan.Nodes}}
		}
	}
}

func (d *day) controllerAway() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.ContainsFunc(d.fleet.controllerNames(), func(name string) bool { return d.away[name] })
}

// name is the name of a loss's one machine.
func (l loss) name() string {
	switch {
	case len(l.engines) > 0:
		return l.engines[0]
	case len(l.nodes) > 0:
		return l.nodes[0].Name
	default:
		return ControllerName(l.controllers[0])
	}
}

func (f *Fleet) controllerNames() []string {
	names := make([]string, len(f.controllers))
	for controller := range names {
		names[controller] = ControllerName(controller)
	}
	return names
}
