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

// pollInterval is the time between two polls of the engines; it is also the precision of event times.
const pollInterval = 50 * time.Millisecond

// engineStatus is the state of one engine at the last poll.
type engineStatus struct {
	engine  *engine.Engine
	service string
	zone    string
	// role is the last role in which the engine served.
	role       enginecontract.Role
	isUp       bool
	state      enginecontract.ServiceState
	isChanging bool // a role change has started and not finished
	load       enginecontract.LoadReport
}

// watcher polls the engines of a run. It must be used by one goroutine only.
type watcher struct {
	engines         []*engineStatus
	start           time.Time
	events          []experiment.Event
	samples         []experiment.Sample
	changesStarted  int
	changesFinished int
}

func newWatcher(engines []*engine.Engine, definition scenario.Scenario, start time.Time) *watcher {
	created := &watcher{start: start}
	for _, declared := range definition.Engines() {
		index := slices.IndexFunc(engines, func(candidate *engine.Engine) bool { return candidate.Name() == declared.Name })
		if index < 0 {
			continue
		}
		created.engines = append(created.engines, &engineStatus{
			engine: engines[index], service: declared.Service, zone: declared.Zone, role: declared.Role,
			isUp: true, state: enginecontract.StateServing,
		})
	}
	return created
}

// run polls the engines until the context ends, and adds a sample each second.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		since := time.Since(w.start)
		for _, status := range w.engines {
			w.update(status, since)
		}
		if since >= time.Duration(len(w.samples)+1)*time.Second {
			w.addSample()
		}
	}
}

// update polls an engine and records the events since its last poll. since is the time since the start of the run.
func (w *watcher) update(status *engineStatus, since time.Duration) {
	state, up := status.engine.State()
	if up != status.isUp {
		status.isUp = up
		event := experiment.Event{Type: experiment.EventFault, Detail: "engine is down"}
		if up {
			event = experiment.Event{Type: experiment.EventRecovered, Detail: "engine is back"}
		}
		w.addEvent(status, since, event)
	}
	if !up {
		status.isChanging = false
		return
	}
	status.load, _ = status.engine.Load()
	status.state = state.State
	out := state.State == enginecontract.StateDraining || state.State == enginecontract.StateChanging
	if out && !status.isChanging {
		status.isChanging = true
		w.changesStarted++
		w.addEvent(status, since, experiment.Event{Type: experiment.EventChangeStarted, From: string(status.role)})
	}
	if state.State != enginecontract.StateServing {
		return
	}
	if state.Role != status.role {
		w.changesFinished++
		w.addEvent(status, since, experiment.Event{
			Type: experiment.EventChangeFinished, From: string(status.role), To: string(state.Role),
		})
		status.role = state.Role
	}
	status.isChanging = false
}

func (w *watcher) addEvent(status *engineStatus, since time.Duration, event experiment.Event) {
	event.AtSeconds = since.Seconds()
	event.Service, event.Engine, event.Zone = status.service, status.engine.Name(), status.zone
	w.events = append(w.events, event)
}

// addSample records the number of engines in each role and the requests at the engines.
func (w *watcher) addSample() {
	sample := experiment.Sample{AtSeconds: float64(len(w.samples) + 1)}
	for _, status := range w.engines {
		sample.Waiting += status.load.Waiting
		sample.Running += status.load.Running
		sample.Roles = countRole(sample.Roles, status)
	}
	slices.SortFunc(sample.Roles, func(one, other experiment.RoleCount) int {
		return cmp.Or(cmp.Compare(one.Service, other.Service), cmp.Compare(one.Zone, other.Zone))
	})
	w.samples = append(w.samples, sample)
}

func countRole(counts []experiment.RoleCount, status *engineStatus) []experiment.RoleCount {
	index := slices.IndexFunc(counts, func(count experiment.RoleCount) bool {
		return count.Service == status.service && count.Zone == status.zone
	})
	if index < 0 {
		index = len(counts)
		counts = append(counts, experiment.RoleCount{Service: status.service, Zone: status.zone})
	}
	count := &counts[index]
	switch {
	case !status.isUp || status.state != enginecontract.StateServing:
		count.Out++
	case status.role == enginecontract.RolePrefill:
		count.Prefill++
	case status.role == enginecontract.RoleDecode:
		count.Decode++
	default:
		count.Mixed++
	}
	return counts
}
