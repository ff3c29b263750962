package report

import (
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
)

// Summary compares runs, with a group for each scenario.
type Summary struct {
	Groups []Group `json:"groups"`
}

// Group is the runs of one scenario in one deployment.
type Group struct {
	Deployment string          `json:"deployment"`
	Scenario   string          `json:"scenario"`
	Policies   []PolicySummary `json:"policies"`

	runs []experiment.Run
}

// PolicySummary is the figures of one policy over its seeds. Latencies are in milliseconds.
type PolicySummary struct {
	Policy string   `json:"policy"`
	Seeds  []uint64 `json:"seeds"`
	// ShareOfBound is goodput as a share of the clairvoyant bound; nil when a run has no
	// bound.
	ShareOfBound *Spread `json:"share_of_bound,omitempty"`
	// ShareOfOffered is goodput as a share of the offered worth.
	ShareOfOffered Spread `json:"share_of_offered"`
	Goodput        Spread `json:"goodput"`
	RoleChanges    Spread `json:"role_changes"`
	DeadlineMisses Spread `json:"deadline_misses"`
	Refused        Spread `json:"refused"`
	Cut            Spread `json:"cut"`
	FirstTokenP50  Spread `json:"first_token_p50_ms"`
	FirstTokenP99  Spread `json:"first_token_p99_ms"`
	BetweenP99     Spread `json:"between_tokens_p99_ms"`
	WholeP99       Spread `json:"whole_p99_ms"`
}

// Summarize groups runs by scenario and, within a scenario, by policy, both in order of first
// appearance.
func Summarize(runs []experiment.Run) Summary {
	var summary Summary
	for _, run := range runs {
		index := slices.IndexFunc(summary.Groups, func(group Group) bool {
			return group.Deployment == run.Deployment && group.Scenario == run.Scenario
		})
		if index < 0 {
			index = len(summary.Groups)
			summary.Groups = append(summary.Groups, Group{Deployment: run.Deployment, Scenario: run.Scenario})
		}
		summary.Groups[index].runs = append(summary.Groups[index].runs, run)
	}
	for index := range summary.Groups {
		summary.Groups[index].summarize()
	}
	return summary
}

// policyLabels returns the group's policies in order of appearance.
func (g *Group) policyLabels() []string {
	var labels []string
	for _, run := range g.runs {
		if name := runLabel(run); !slices.Contains(labels, name) {
			labels = append(labels, name)
		}
	}
	return labels
}

// firstRuns returns the first run of each policy, in order of appearance.
func (g *Group) firstRuns() []experiment.Run {
	var runs []experiment.Run
	for _, name := range g.policyLabels() {
		index := slices.IndexFunc(g.runs, func(run experiment.Run) bool { return runLabel(run) == name })
		runs = append(runs, g.runs[index])
	}
	return runs
}

// runLabel returns the name of a run's line or row.
func runLabel(run experiment.Run) string { return run.Policy }

func (g *Group) summarize() {
	for _, name := range g.policyLabels() {
		var ofPolicy []experiment.Run
		for _, run := range g.runs {
			if runLabel(run) == name {
				ofPolicy = append(ofPolicy, run)
			}
		}
		g.Policies = append(g.Policies, summarizePolicy(name, ofPolicy))
	}
}

func summarizePolicy(name string, runs []experiment.Run) PolicySummary {
	over := func(figure func(experiment.Run) float64) Spread {
		values := make([]float64, len(runs))
		for index, run := range runs {
			values[index] = figure(run)
		}
		return newSpread(values)
	}
	summary := PolicySummary{
		Policy:         name,
		ShareOfOffered: over(func(run experiment.Run) float64 { return share(run.Goodput, run.OfferedWorth) }),
		Goodput:        over(func(run experiment.Run) float64 { return run.Goodput }),
		RoleChanges:    over(func(run experiment.Run) float64 { return float64(run.RoleChanges) }),
		DeadlineMisses: over(func(run experiment.Run) float64 { return float64(run.DeadlineMisses) }),
		Refused:        over(func(run experiment.Run) float64 { return float64(run.Refused) }),
		Cut:            over(func(run experiment.Run) float64 { return float64(run.Cut) }),
		FirstTokenP50:  over(func(run experiment.Run) float64 { return run.Latencies.FirstToken.P50 }),
		FirstTokenP99:  over(func(run experiment.Run) float64 { return run.Latencies.FirstToken.P99 }),
		BetweenP99:     over(func(run experiment.Run) float64 { return run.Latencies.BetweenTokens.P99 }),
		WholeP99:       over(func(run experiment.Run) float64 { return run.Latencies.Whole.P99 }),
	}
	bounded := true
	for _, run := range runs {
		summary.Seeds = append(summary.Seeds, run.Seed)
		bounded = bounded && run.BoundGoodput != nil
	}
	if bounded {
		spread := over(func(run experiment.Run) float64 { return share(run.Goodput, *run.BoundGoodput) })
		summary.ShareOfBound = &spread
	}
	return summary
}

// share returns part divided by whole; it is 0 if whole is 0.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
