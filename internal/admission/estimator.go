package admission

import (
	"github.com/gravitational/trace"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	defaultBytesPerToken = 4.0
	// priorSamples is the weight of a prior, in samples. The declared tokens are the prior of a kind's means, and
	// these are the prior of the means of a tenant and kind.
	priorSamples = 8
	// maximumSamples limits the number of samples in a running mean so that the mean follows
	// changes in traffic.
	maximumSamples = 100
)

// DeclaredTokens are the token counts that operators expect of a kind. They apply until
// requests have been measured.
type DeclaredTokens struct {
	PromptTokens int
	OutputTokens int
}

// RequestShape describes a request before it runs.
type RequestShape struct {
	Tenant string
	Kind   string
	// PromptBytes is the length of the prompt text; 0 if unknown.
	PromptBytes int
	// MaximumOutputTokens is the limit set by the caller; 0 for none.
	MaximumOutputTokens int
	DeclaredTokens      DeclaredTokens
}

// Estimate is the expected number of tokens of a request.
type Estimate struct {
	PromptTokens int
	OutputTokens int
}

// Estimator estimates the token counts of requests from earlier requests of the same tenant
// and kind. It stores a bounded number of tenant-kind pairs and of kinds and evicts the least
// recently used. It is not safe for concurrent use.
type Estimator struct {
	pairs *simplelru.LRU[pairKey, *tokenMeans]
	kinds *simplelru.LRU[string, *tokenMeans]
}

type pairKey struct {
	tenant string
	kind   string
}

// NewEstimator returns an Estimator that stores up to the given number of tenant-kind pairs
// and as many kinds.
func NewEstimator(pairs int) (*Estimator, error) {
	if pairs <= 0 {
		return nil, trace.BadParameter("admission: an Estimator must store at least 1 pair, not %d", pairs)
	}
	byPair, err := simplelru.NewLRU[pairKey, *tokenMeans](pairs, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	byKind, err := simplelru.NewLRU[string, *tokenMeans](pairs, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Estimator{pairs: byPair, kinds: byKind}, nil
}

// Estimate returns the expected token counts of a request.
func (e *Estimator) Estimate(shape RequestShape) Estimate {
	means := tokenMeans{
		bytesPerToken: mean{value: defaultBytesPerToken},
		prompt:        mean{value: float64(shape.DeclaredTokens.PromptTokens)},
		output:        mean{value: float64(shape.DeclaredTokens.OutputTokens)},
	}
	if kind, found := e.kinds.Get(shape.Kind); found {
		means.blend(kind)
	}
	if pair, found := e.pairs.Get(pairKey{shape.Tenant, shape.Kind}); found {
		means.blend(pair)
	}
	prompt := means.prompt.value
	if shape.PromptBytes > 0 {
		prompt = float64(shape.PromptBytes) / means.bytesPerToken.value
	}
	output := means.output.value
	if shape.MaximumOutputTokens > 0 {
		output = min(output, float64(shape.MaximumOutputTokens))
		if means.output.value == 0 {
			output = float64(shape.MaximumOutputTokens)
		}
	}
	return Estimate{PromptTokens: int(prompt + 0.5), OutputTokens: int(output + 0.5)}
}

// RecordUsage records the token counts that a request has used, for later estimates.
func (e *Estimator) RecordUsage(shape RequestShape, used Estimate) {
	key := pairKey{shape.Tenant, shape.Kind}
	pair, found := e.pairs.Get(key)
	if !found {
		pair = &tokenMeans{}
		e.pairs.Add(key, pair)
	}
	kind, found := e.kinds.Get(shape.Kind)
	if !found {
		kind = &tokenMeans{}
		e.kinds.Add(shape.Kind, kind)
	}
	pair.record(shape, used)
	kind.record(shape, used)
}

// tokenMeans are the running means of one tenant-kind pair or of one kind.
type tokenMeans struct {
	bytesPerToken mean
	prompt        mean
	output        mean
}

func (m *tokenMeans) record(shape RequestShape, used Estimate) {
	if shape.PromptBytes > 0 && used.PromptTokens > 0 {
		m.bytesPerToken.add(float64(shape.PromptBytes) / float64(used.PromptTokens))
	}
	m.prompt.add(float64(used.PromptTokens))
	m.output.add(float64(used.OutputTokens))
}

// blend moves the means towards the preferred ones. The preferred ones weigh more the more samples they have.
func (m *tokenMeans) blend(preferred *tokenMeans) {
	m.bytesPerToken.blend(preferred.bytesPerToken)
	m.prompt.blend(preferred.prompt)
	m.output.blend(preferred.output)
}

// mean is a running mean over about the last maximumSamples samples.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(sample float64) {
	m.samples = min(m.samples+1, maximumSamples)
	m.value += (sample - m.value) / float64(m.samples)
}

func (m *mean) blend(preferred mean) {
	if preferred.samples == 0 {
		return
	}
	weight := float64(preferred.samples) / float64(preferred.samples+priorSamples)
	if m.value == 0 {
		weight = 1
	}
	m.value += weight * (preferred.value - m.value)
}
