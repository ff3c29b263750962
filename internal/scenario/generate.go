package scenario

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"
)

// rateStep is the step in which a changing rate is integrated. Within a step the
// rate counts as constant.
const rateStep = 10 * time.Millisecond

// Arrivals returns all requests of a run in order of time, those of the trace among
// them. It depends on the scenario and the seed alone; what one kind draws does not
// depend on the other kinds.
func (s Scenario) Arrivals(seed uint64) []Arrival {
	arrivals := append([]Arrival(nil), s.traced...)
	for index, kind := range s.Kinds {
		arrivals = append(arrivals, s.newGenerator(index, kind, seed).run()...)
	}
	sort.SliceStable(arrivals, func(one, other int) bool { return arrivals[one].At < arrivals[other].At })
	for number := range arrivals {
		arrivals[number].Number = number
	}
	return arrivals
}

// generator draws the arrivals of one kind.
type generator struct {
	index    int
	kind     Kind
	duration time.Duration
	gap      func() float64
	size     func() int
	tenant   func() int
	zone     func() int
	subject  func() int
	prompt   sampler
	output   sampler
}

func (s Scenario) newGenerator(index int, kind Kind, seed uint64) *generator {
	source := rand.NewPCG(seed, xxhash.Sum64String(kind.Name))
	weights := make([]float64, len(s.Zones))
	for zone := range s.Zones {
		weights[zone] = s.Zones[zone].CallerWeight
	}
	made := &generator{
		index:    index,
		kind:     kind,
		duration: s.Duration,
		size:     func() int { return 1 },
		tenant:   byWeight(zipfWeights(s.Tenants.Count, s.Tenants.Skew), source),
		zone:     byWeight(weights, source),
		subject:  byWeight(zipfWeights(kind.Prefix.Subjects, kind.Prefix.Skew), source),
		prompt:   kind.PromptTokens.sampler(source),
		output:   kind.OutputTokens.sampler(source),
	}
	made.chooseProcess(source)
	return made
}

// chooseProcess sets the gap to the next arrival, in arrivals at the mean rate, and
// the number of requests that then arrive.
func (g *generator) chooseProcess(source rand.Source) {
	exponential := distuv.Exponential{Rate: 1, Src: source}
	switch g.kind.Arrivals.Process {
	case ProcessConstant:
		g.gap = func() float64 { return 1 }
	case ProcessBursts:
		mean := g.kind.Arrivals.BurstSize
		g.gap = func() float64 { return mean * exponential.Rand() }
		if mean > 1 {
			beyondFirst := distuv.Poisson{Lambda: mean - 1, Src: source}
			g.size = func() int { return 1 + int(beyondFirst.Rand()) }
		}
	default:
		g.gap = exponential.Rand
	}
}

// run integrates the rate and lets requests arrive each time a gap is used up.
func (g *generator) run() []Arrival {
	if g.kind.Arrivals.Rate <= 0 {
		return nil
	}
	var arrivals []Arrival
	left := g.gap()
	for start := time.Duration(0); start < g.duration; start += rateStep {
		step := min(rateStep, g.duration-start)
		rate := g.kind.RateAt(start)
		expected := rate * step.Seconds()
		for used := 0.0; ; {
			if used+left > expected {
				left -= expected - used
				break
			}
			used += left
			left = g.gap()
			at := start + time.Duration(used/rate*float64(time.Second))
			for range g.size() {
				arrivals = append(arrivals, g.arrival(min(at, g.duration-1)))
			}
		}
	}
	return arrivals
}

func (g *generator) arrival(at time.Duration) Arrival {
	made := Arrival{
		At: at, Kind: g.index, Zone: g.zone(), Tenant: g.tenant(),
		PromptTokens: g.prompt(), OutputTokens: g.output(),
	}
	if g.kind.Prefix.Subjects > 0 {
		made.Subject = g.subject()
		made.SharedTokens = int(math.Round(float64(made.PromptTokens) * g.kind.Prefix.Share))
	}
	return made
}
