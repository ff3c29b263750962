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

// codeDeadline is the code of answers that ended at their deadlines.
const codeDeadline = "deadline_exceeded"

// recorder turns the ends of requests into an experiment's result.
type recorder struct {
	run     experiment.Run
	kinds   map[string]scenario.Kind
	tenants map[string]int // position in run.Tenants

	firstToken    []time.Duration
	betweenTokens []time.Duration
	whole         []time.Duration
}

// record returns the result of a run: what the watcher saw and how requests ended.
func record(of scenario.Scenario, seed uint64, seen *watcher, results []load.Result) experiment.Run {
	made := &recorder{
		run: experiment.Run{
			Scenario: of.Name, Deployment: of.Deployment, Policy: PolicyName, Seed: seed,
			LengthSeconds: of.Duration.Seconds(), RoleChanges: seen.changed, RoleChangesOrdered: seen.ordered,
			Series: seen.samples, Events: seen.events,
		},
		kinds:   map[string]scenario.Kind{},
		tenants: map[string]int{},
	}
	for _, kind := range of.Kinds {
		made.kinds[kind.Name] = kind
	}
	for _, arrival := range of.Arrivals(seed) {
		made.arrived(arrival, of.Kinds[arrival.Kind])
	}
	for _, result := range results {
		made.ended(result)
	}
	made.finish()
	return made.run
}

func (r *recorder) arrived(arrival scenario.Arrival, kind scenario.Kind) {
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

// sampleAt is the sample of the second that a time falls in; nil beyond the last.
func (r *recorder) sampleAt(at time.Duration) *experiment.Sample {
	second := int(at / time.Second)
	if second >= len(r.run.Series) {
		return nil
	}
	return &r.run.Series[second]
}

// tenant is the row of a tenant, numbered from 1 as in experiments.
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

func (r *recorder) ended(result load.Result) {
	kind := r.kinds[result.Kind]
	late := kind.Deadline > 0 && result.Total > kind.Deadline
	switch result.Outcome {
	case load.Completed:
		if late {
			r.run.DeadlineMisses++
			return
		}
		r.completed(result, kind)
	case load.Expired:
		r.run.DeadlineMisses++
	case load.Refused:
		r.refused(result)
	default:
		r.run.Cut++
	}
}

func (r *recorder) completed(result load.Result, kind scenario.Kind) {
	r.run.Completed++
	r.run.Goodput += kind.Worth
	tenant := r.tenant(result.Tenant)
	tenant.Completed++
	tenant.Goodput += kind.Worth
	if sample := r.sampleAt(result.Due + result.Total); sample != nil {
		sample.Goodput += kind.Worth
	}
	r.firstToken = append(r.firstToken, result.FirstByte)
	r.whole = append(r.whole, result.Total)
	if result.Tokens > 1 {
		r.betweenTokens = append(r.betweenTokens, (result.Total-result.FirstByte)/time.Duration(result.Tokens-1))
	}
}

// refused counts a refusal by its verdict. One that came at the deadline, after the
// request had begun, is a miss; one that began and failed is cut.
func (r *recorder) refused(result load.Result) {
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
	index := slices.IndexFunc(r.run.Refusals, func(present experiment.Refusal) bool {
		return present.Tenant == tenant && present.Reason == reason
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
		Whole:         experiment.PercentilesOf(r.whole),
	}
}
