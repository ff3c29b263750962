package experiment

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// window is the demand on one service in one period.
type window struct {
	from, to time.Duration
	demands  []planner.KindDemand
	// upShare is the share of the service's engines without a crash that overlaps the period.
	upShare float64
}

// demandWindows divides a run's arrivals for one service into windows of length span. cached holds, by kind, the
// share of prompt tokens found in prefix caches.
func demandWindows(declared *scenario.Scenario, arrivals []scenario.Arrival, service string, span time.Duration, cached []float64) []window {
	count := int((declared.Duration + span - 1) / span)
	windows := make([]window, count)
	sums := make([][]demandSum, count)
	for i := range windows {
		windows[i] = window{from: time.Duration(i) * span, to: min(time.Duration(i+1)*span, declared.Duration), upShare: 1}
		sums[i] = make([]demandSum, len(declared.Kinds))
	}
	for _, arrival := range arrivals {
		if at := int(arrival.At / span); at < count {
			sums[at][arrival.Kind].add(arrival)
		}
	}
	for i := range windows {
		length := (windows[i].to - windows[i].from).Seconds()
		for k, kind := range declared.Kinds {
			if kind.Service == service && sums[i][k].count > 0 {
				windows[i].demands = append(windows[i].demands, sums[i][k].demand(kind, length, cached[k]))
			}
		}
	}
	return windows
}

// demandSum accumulates the arrivals of one kind.
type demandSum struct {
	count  float64
	prompt float64
	output float64
}

func (s *demandSum) add(arrival scenario.Arrival) {
	s.count++
	s.prompt += float64(arrival.PromptTokens)
	s.output += float64(arrival.OutputTokens)
}

func (s demandSum) demand(kind scenario.Kind, seconds, cached float64) planner.KindDemand {
	prompt, output := s.prompt/s.count, s.output/s.count
	return planner.KindDemand{
		Kind: kind.Name, ArrivalsPerSecond: s.count / seconds, PromptTokens: prompt * (1 - cached), OutputTokens: output,
		ContextTokens: prompt + output/2, Worth: kind.Worth, Deadline: kind.Deadline,
	}
}

// cachedShares estimates, by kind, the share of prompt tokens found in prefix caches when
// every shared prefix is prefilled once.
func cachedShares(declared *scenario.Scenario, arrivals []scenario.Arrival) []float64 {
	type prefix struct{ kind, tenant, subject int }
	seen := map[prefix]bool{}
	cached := make([]float64, len(declared.Kinds))
	prompt := make([]float64, len(declared.Kinds))
	for _, arrival := range arrivals {
		key := prefix{arrival.Kind, arrival.Tenant, arrival.Subject}
		prompt[arrival.Kind] += float64(arrival.PromptTokens)
		if seen[key] {
			cached[arrival.Kind] += float64(arrival.SharedTokens)
		}
		seen[key] = true
	}
	for k := range cached {
		if prompt[k] > 0 {
			cached[k] = cached[k] / prompt[k] * attainableHitShare
		}
	}
	return cached
}

// attainableHitShare is the share of possible cache hits that routing attains, as measured by
// package measure for prompts about many subjects.
const attainableHitShare = 0.7
