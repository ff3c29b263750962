package processrun

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/experiment"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
)

// watchInterval is the time between looks at the engines; events are as exact.
const watchInterval = 50 * time.Millisecond

// watched is one engine as last seen.
type watched struct {
	engine  *engine.Engine
	service string
	zone    string
	// role is the last role in which it served.
	role     enginecontract.Role
	up       bool
	state    enginecontract.ServiceState
	changing bool // a change has started and not ended
	load     enginecontract.LoadReport
}

// watcher follows the engines of a run. It belongs to one goroutine.
type watcher struct {
	engines []*watched
	began   time.Time
	events  []experiment.Event
	samples []experiment.Sample
	ordered int
	changed int
}

func newWatcher(engines []*engine.Engine, of scenario.Scenario, began time.Time) *watcher {
	made := &watcher{began: began}
	for _, declared := range of.Engines() {
		index := slices.IndexFunc(engines, func(present *engine.Engine) bool { return present.Name() == declared.Name })
		if index < 0 {
			continue
		}
		made.engines = append(made.engines, &watched{
			engine: engines[index], service: declared.Service, zone: declared.Zone, role: declared.Role,
			up: true, state: enginecontract.StateServing,
		})
	}
	return made
}

// run looks at the engines until the context ends, and takes a sample each second.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		since := time.Since(w.began)
		for _, present := range w.engines {
			w.look(present, since)
		}
		if since >= time.Duration(len(w.samples)+1)*time.Second {
			w.sample()
		}
	}
}

// look compares an engine with how it was last seen.
func (w *watcher) look(present *watched, since time.Duration) {
	state, up := present.engine.State()
	if up != present.up {
		present.up = up
		event := experiment.Event{Type: experiment.EventFault, Detail: "engine is down"}
		if up {
			event = experiment.Event{Type: experiment.EventRecovered, Detail: "engine is back"}
		}
		w.event(present, since, event)
	}
	if !up {
		present.changing = false
		return
	}
	present.load, _ = present.engine.Load()
	present.state = state.State
	out := state.State == enginecontract.StateDraining || state.State == enginecontract.StateChanging
	if out && !present.changing {
		present.changing = true
		w.ordered++
		w.event(present, since, experiment.Event{Type: experiment.EventChangeStarted, From: string(present.role)})
	}
	if state.State != enginecontract.StateServing {
		return
	}
	if state.Role != present.role {
		w.changed++
		w.event(present, since, experiment.Event{
			Type: experiment.EventChangeFinished, From: string(present.role), To: string(state.Role),
		})
		present.role = state.Role
	}
	present.changing = false
}

func (w *watcher) event(of *watched, since time.Duration, event experiment.Event) {
	event.AtSeconds = since.Seconds()
	event.Service, event.Engine, event.Zone = of.service, of.engine.Name(), of.zone
	w.events = append(w.events, event)
}

// sample counts the roles and the requests at the engines.
func (w *watcher) sample() {
	sample := experiment.Sample{AtSeconds: float64(len(w.samples) + 1)}
	for _, present := range w.engines {
		sample.Waiting += present.load.Waiting
		sample.Running += present.load.Running
		sample.Roles = countRole(sample.Roles, present)
	}
	slices.SortFunc(sample.Roles, func(one, other experiment.RoleCount) int {
		return cmp.Or(cmp.Compare(one.Service, other.Service), cmp.Compare(one.Zone, other.Zone))
	})
	w.samples = append(w.samples, sample)
}

func countRole(counts []experiment.RoleCount, present *watched) []experiment.RoleCount {
	index := slices.IndexFunc(counts, func(count experiment.RoleCount) bool {
		return count.Service == present.service && count.Zone == present.zone
	})
	if index < 0 {
		index = len(counts)
		counts = append(counts, experiment.RoleCount{Service: present.service, Zone: present.zone})
	}
	count := &counts[index]
	switch {
	case !present.up || present.state != enginecontract.StateServing:
		count.Out++
	case present.role == enginecontract.RolePrefill:
		count.Prefill++
	case present.role == enginecontract.RoleDecode:
		count.Decode++
	default:
		count.Mixed++
	}
	return counts
}
