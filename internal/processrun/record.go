package processrun

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
	"github.com/hazelpitch/hazelpitch/internal/load"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// codeDeadline is the error code of answers that ended at their deadlines.
const codeDeadline = "deadline_exceeded"

// recorder converts the outcomes of requests into an experiment's result.
type recorder struct {
	run     experiment.Run
	kinds   map[string]scenario.Kind
	tenants map[string]int // index in run.Tenants

	firstToken    []time.Duration
	betweenTokens []time.Duration
	total         []time.Duration
}

// record builds the result of a run from the watcher's observations and the requests' outcomes.
func record(definition scenario.Scenario, seed uint64, observed *watcher, results []load.Result) experiment.Run {
	recording := &recorder{
		run: experiment.Run{
			Scenario: definition.Name, Deployment: definition.Deployment, Policy: PolicyName, Seed: seed,
			LengthSeconds: definition.Duration.Seconds(), RoleChanges: observed.changesFinished, RoleChangesOrdered: observed.changesStarted,
			Series: observed.samples, Events: observed.events,
		},
		kinds:   map[string]scenario.Kind{},
		tenants: map[string]int{},
	}
	for _, kind := range definition.Kinds {
		recording.kinds[kind.Name] = kind
	}
	for _, arrival := range definition.Arrivals(seed) {
		recording.countArrival(arrival, definition.Kinds[arrival.Kind])
	}
	for _, result := range results {
		recording.countResult(result)
	}
	recording.finish()
	return recording.run
}

func (r *recorder) countArrival(arrival scenario.Arrival, kind scenario.Kind) {
	r.run.Requests++
	r.run.OfferedWorth += kind.Worth
	tenant := r.tenant(arrival.Tenant)
	tenant.Requests++
	tenant.OfferedWorth += kind.Worth
	if sample := r.sampleAt(arrival.At); sample != nil {
		sample.OfferedWorth += kind.Worth
		sample.PromptTokens += int64(arrival.PromptTokens)
		sample.OutputTokens += int64(arrival.OutputTokens)
	}
}

// sampleAt returns the sample of the second that contains a time; nil after the last sample.
func (r *recorder) sampleAt(at time.Duration) *experiment.Sample {
	second := int(at / time.Second)
	if second >= len(r.run.Series) {
		return nil
	}
	return &r.run.Series[second]
}

// tenant returns the result of the tenant with the given index, from 0. Names of tenants count from 1, as in
// experiments.
func (r *recorder) tenant(number int) *experiment.Tenant {
	name := fmt.Sprintf("tenant-%d", number+1)
	index, found := r.tenants[name]
	if !found {
		index = len(r.run.Tenants)
		r.tenants[name] = index
		r.run.Tenants = append(r.run.Tenants, experiment.Tenant{Tenant: name})
	}
	return &r.run.Tenants[index]
}

func (r *recorder) countResult(result load.Result) {
	kind := r.kinds[result.Kind]
	late := kind.Deadline > 0 && result.Total > kind.Deadline
	switch result.Outcome {
	case load.Completed:
		if late {
			r.run.DeadlineMisses++
			return
		}
		r.countCompleted(result, kind)
	case load.Expired:
		r.run.DeadlineMisses++
	case load.Refused:
		r.countRefused(result)
	default:
		r.run.Cut++
	}
}

func (r *recorder) countCompleted(result load.Result, kind scenario.Kind) {
	r.run.Completed++
	r.run.Goodput += kind.Worth
	tenant := r.tenant(result.Tenant)
	tenant.Completed++
	tenant.Goodput += kind.Worth
	if sample := r.sampleAt(result.Due + result.Total); sample != nil {
		sample.Goodput += kind.Worth
	}
	r.firstToken = append(r.firstToken, result.FirstByte)
	r.total = append(r.total, result.Total)
	if result.Tokens > 1 {
		r.betweenTokens = append(r.betweenTokens, (result.Total-result.FirstByte)/time.Duration(result.Tokens-1))
	}
}

// countRefused counts a refusal according to its verdict. A refusal after the request had begun is a
// deadline miss if it came at the deadline; otherwise the request was cut.
func (r *recorder) countRefused(result load.Result) {
	switch {
	case result.Verdict == verdict.NotRun.String():
		r.run.Refused++
		r.tenant(result.Tenant).Refused++
		r.addRefusal(fmt.Sprintf("tenant-%d", result.Tenant+1), result.Code)
	case result.Code == codeDeadline:
		r.run.DeadlineMisses++
	default:
		r.run.Cut++
	}
}

func (r *recorder) addRefusal(tenant, reason string) {
	index := slices.IndexFunc(r.run.Refusals, func(entry experiment.Refusal) bool {
		return entry.Tenant == tenant && entry.Reason == reason
	})
	if index < 0 {
		index = len(r.run.Refusals)
		r.run.Refusals = append(r.run.Refusals, experiment.Refusal{Tenant: tenant, Verdict: verdict.NotRun.String(), Reason: reason})
	}
	r.run.Refusals[index].Count++
}

func (r *recorder) finish() {
	slices.SortFunc(r.run.Tenants, func(one, other experiment.Tenant) int { return cmp.Compare(one.Tenant, other.Tenant) })
	slices.SortFunc(r.run.Refusals, func(one, other experiment.Refusal) int {
		return cmp.Or(cmp.Compare(one.Tenant, other.Tenant), cmp.Compare(one.Reason, other.Reason))
	})
	r.run.Latencies = experiment.Latencies{
		FirstToken:    experiment.PercentilesOf(r.firstToken),
		BetweenTokens: experiment.PercentilesOf(r.betweenTokens),
		Whole:         experiment.PercentilesOf(r.total),
	}
}
