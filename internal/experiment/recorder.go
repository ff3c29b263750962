package experiment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// recorder collects the result of a run.
type recorder struct {
	world         *world
	run           Run
	currentSecond Sample // sums of the current second
	refusals      map[refusalKey]int
	tenants       map[string]*Tenant

	firstToken    []time.Duration
	betweenTokens []time.Duration
	wholeAnswer   []time.Duration
}

type refusalKey struct {
	tenant string
	reason string
}

func newRecorder(w *world) *recorder {
	return &recorder{
		world: w, refusals: map[refusalKey]int{}, tenants: map[string]*Tenant{},
		run: Run{
			Scenario: w.scenario.Name, Deployment: w.scenario.Deployment, Policy: w.options.Policy.Name,
			Seed: w.options.Seed, LengthSeconds: w.scenario.Duration.Seconds(),
		},
	}
}

func (r *recorder) tenant(name string) *Tenant {
	if r.tenants[name] == nil {
		r.tenants[name] = &Tenant{Tenant: name}
	}
	return r.tenants[name]
}

func (r *recorder) recordArrival(req *request) {
	r.run.Requests++
	r.run.OfferedWorth += req.kind.Worth
	r.currentSecond.OfferedWorth += req.kind.Worth
	r.currentSecond.PromptTokens += int64(req.PromptTokens)
	r.currentSecond.OutputTokens += int64(req.OutputTokens)
	tenant := r.tenant(req.tenant)
	tenant.Requests++
	tenant.OfferedWorth += req.kind.Worth
}

func (r *recorder) recordCompletion(req *request, at time.Duration) {
	r.run.Completed++
	r.run.Goodput += req.kind.Worth
	r.currentSecond.Goodput += req.kind.Worth
	tenant := r.tenant(req.tenant)
	tenant.Completed++
	tenant.Goodput += req.kind.Worth
	r.firstToken = append(r.firstToken, req.firstTokenAt-req.At)
	r.wholeAnswer = append(r.wholeAnswer, at-req.At)
	if req.OutputTokens > 1 {
		r.betweenTokens = append(r.betweenTokens, (at-req.firstTokenAt)/time.Duration(req.OutputTokens-1))
	}
}

func (r *recorder) recordRefusal(req *request, reason string) {
	r.run.Refused++
	r.tenant(req.tenant).Refused++
	r.refusals[refusalKey{tenant: req.tenant, reason: reason}]++
}

func (r *recorder) recordDeadlineMiss(*request) { r.run.DeadlineMisses++ }

func (r *recorder) recordCut(*request) { r.run.Cut++ }

func (r *recorder) recordEvent(event Event) {
	event.AtSeconds = r.world.now.Seconds()
	r.run.Events = append(r.run.Events, event)
}

func (r *recorder) recordChangeOrdered(engine *engine, change planner.Change) {
	r.run.RoleChangesOrdered++
	r.recordEvent(Event{
		Type: EventChangeStarted, Service: engine.declared.Service, Engine: engine.declared.Name, Zone: engine.declared.Zone,
		From: string(engine.role), To: string(change.To), Detail: change.Reason,
	})
}

func (r *recorder) recordChangeFinished(engine *engine, from enginecontract.Role) {
	r.run.RoleChanges++
	r.recordEvent(Event{
		Type: EventChangeFinished, Service: engine.declared.Service, Engine: engine.declared.Name, Zone: engine.declared.Zone,
		From: string(from), To: string(engine.role),
	})
}

// recordSample completes the current second's sample.
func (r *recorder) recordSample(w *world) {
	sample := r.currentSecond
	r.currentSecond = Sample{}
	sample.AtSeconds = w.now.Seconds()
	for _, gateway := range w.gateways {
		sample.Queued += gateway.waitingCount()
	}
	for _, engine := range w.engines {
		load := engine.model.Load()
		sample.Waiting += load.Waiting
		sample.Running += load.Running
	}
	sample.Roles = countRoles(w)
	r.run.Series = append(r.run.Series, sample)
}

// countRoles counts engines by role, for each service and zone, sorted by both.
func countRoles(w *world) []RoleCount {
	var counts []RoleCount
	for _, service := range w.scenario.Services {
		for _, zone := range w.scenario.Zones {
			count := RoleCount{Service: service.Name, Zone: zone.Name}
			for _, engine := range w.engines {
				if engine.declared.Service == service.Name && engine.declared.Zone == zone.Name {
					count.add(engine)
				}
			}
			counts = append(counts, count)
		}
	}
	slices.SortFunc(counts, func(a, b RoleCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return counts
}

func (c *RoleCount) add(engine *engine) {
	switch {
	case !engine.isUp || engine.state != enginecontract.StateServing:
		c.Out++
	case engine.role == enginecontract.RolePrefill:
		c.Prefill++
	case engine.role == enginecontract.RoleDecode:
		c.Decode++
	default:
		c.Mixed++
	}
}

// result returns the finished run.
func (r *recorder) result() *Run {
	for _, key := range slices.SortedFunc(maps.Keys(r.refusals), func(a, b refusalKey) int {
		return cmp.Or(cmp.Compare(a.tenant, b.tenant), cmp.Compare(a.reason, b.reason))
	}) {
		r.run.Refusals = append(r.run.Refusals, Refusal{
			Tenant: key.tenant, Verdict: verdict.NotRun.String(), Reason: key.reason, Count: r.refusals[key],
		})
	}
	for _, name := range slices.Sorted(maps.Keys(r.tenants)) {
		r.run.Tenants = append(r.run.Tenants, *r.tenants[name])
	}
	r.run.Latencies = Latencies{
		FirstToken: PercentilesOf(r.firstToken), BetweenTokens: PercentilesOf(r.betweenTokens), Whole: PercentilesOf(r.wholeAnswer),
	}
	result := r.run // a copy: a pointer into the recorder would keep the world in memory
	return &result
}
