package scenario

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"
)

// rateStep is the step with which a changing rate is integrated. The rate is constant within
// a step.
const rateStep = 10 * time.Millisecond

// Arrivals returns all requests of a run, including those of the trace, in order of time. The
// result depends on the scenario and the seed alone; the arrivals of one kind do not depend
// on the other kinds.
func (s Scenario) Arrivals(seed uint64) []Arrival {
	arrivals := append([]Arrival(nil), s.traceArrivals...)
	for index, kind := range s.Kinds {
		arrivals = append(arrivals, s.newGenerator(index, kind, seed).generate()...)
	}
	sort.SliceStable(arrivals, func(one, other int) bool { return arrivals[one].At < arrivals[other].At })
	for number := range arrivals {
		arrivals[number].Number = number
	}
	return arrivals
}

// arrivalGenerator draws the arrivals of one kind.
type arrivalGenerator struct {
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

func (s Scenario) newGenerator(index int, kind Kind, seed uint64) *arrivalGenerator {
	source := rand.NewPCG(seed, xxhash.Sum64String(kind.Name))
	weights := make([]float64, len(s.Zones))
	for zone := range s.Zones {
		weights[zone] = s.Zones[zone].CallerWeight
	}
	generator := &arrivalGenerator{
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
	generator.setProcess(source)
	return generator
}

// setProcess sets gap, which draws the distance to the next arrival in units of the mean interarrival time,
// and size, which draws the number of requests that arrive at once.
func (g *arrivalGenerator) setProcess(source rand.Source) {
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

// generate integrates the rate over time and emits arrivals each time the integral has grown by a drawn gap.
func (g *arrivalGenerator) generate() []Arrival {
	if g.kind.Arrivals.Rate <= 0 {
		return nil
	}
	var arrivals []Arrival
	remainingGap := g.gap()
	for start := time.Duration(0); start < g.duration; start += rateStep {
		step := min(rateStep, g.duration-start)
		rate := g.kind.RateAt(start)
		expected := rate * step.Seconds()
		for used := 0.0; ; {
			if used+remainingGap > expected {
				remainingGap -= expected - used
				break
			}
			used += remainingGap
			remainingGap = g.gap()
			at := start + time.Duration(used/rate*float64(time.Second))
			for range g.size() {
				arrivals = append(arrivals, g.drawArrival(min(at, g.duration-1)))
			}
		}
	}
	return arrivals
}

func (g *arrivalGenerator) drawArrival(at time.Duration) Arrival {
	arrival := Arrival{
		At: at, Kind: g.index, Zone: g.zone(), Tenant: g.tenant(),
		PromptTokens: g.prompt(), OutputTokens: g.output(),
	}
	if g.kind.Prefix.Subjects > 0 {
		arrival.Subject = g.subject()
		arrival.SharedTokens = int(math.Round(float64(arrival.PromptTokens) * g.kind.Prefix.Share))
	}
	return arrival
}
