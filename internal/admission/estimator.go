package admission

import (
	"github.com/gravitational/trace"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	defaultBytesPerToken = 4.0
	// priorSamples is the number of samples that the kind's figures, and before
	// them the declared ones, count for beside a tenant's own.
	priorSamples = 8
	// memorySamples bounds how many samples a mean remembers, so that it follows
	// changes of the traffic.
	memorySamples = 100
)

// DeclaredTokens is what operators expect of a kind before anything has been measured.
type DeclaredTokens struct {
	PromptTokens int
	OutputTokens int
}

// RequestShape is what is known of a request before it runs.
type RequestShape struct {
	Tenant string
	Kind   string
	// PromptBytes is the length of the prompt's text; 0 when unknown.
	PromptBytes int
	// MaximumOutputTokens is the caller's own bound; 0 for none.
	MaximumOutputTokens int
	DeclaredTokens      DeclaredTokens
}

// Estimate is the expected number of tokens of a request.
type Estimate struct {
	PromptTokens int
	OutputTokens int
}

// Estimator learns how many tokens requests take, per tenant and kind. It
// remembers a bounded number of tenant-kind pairs and of kinds, and forgets those
// used least lately. It is not safe for concurrent use.
type Estimator struct {
	pairs *simplelru.LRU[pairKey, *tokenMeans]
	kinds *simplelru.LRU[string, *tokenMeans]
}

type pairKey struct {
	tenant string
	kind   string
}

// NewEstimator returns an Estimator that remembers up to pairs tenant-kind pairs,
// and as many kinds.
func NewEstimator(pairs int) (*Estimator, error) {
	if pairs <= 0 {
		return nil, trace.BadParameter("admission: an Estimator must remember at least 1 pair, not %d", pairs)
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

// Estimate returns the expected tokens of a request.
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

// RecordUsage takes in what a request has used.
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
	pair.learn(shape, used)
	kind.learn(shape, used)
}

// tokenMeans are the running means of one pair or kind.
type tokenMeans struct {
	bytesPerToken mean
	prompt        mean
	output        mean
}

func (m *tokenMeans) learn(shape RequestShape, used Estimate) {
	if shape.PromptBytes > 0 && used.PromptTokens > 0 {
		m.bytesPerToken.add(float64(shape.PromptBytes) / float64(used.PromptTokens))
	}
	m.prompt.add(float64(used.PromptTokens))
	m.output.add(float64(used.OutputTokens))
}

// blend moves the means towards better ones, as far as those rest on samples.
func (m *tokenMeans) blend(better *tokenMeans) {
	m.bytesPerToken.blend(better.bytesPerToken)
	m.prompt.blend(better.prompt)
	m.output.blend(better.output)
}

// mean is a running mean that forgets samples older than about memorySamples.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(sample float64) {
	m.samples = min(m.samples+1, memorySamples)
	m.value += (sample - m.value) / float64(m.samples)
}

func (m *mean) blend(better mean) {
	if better.samples == 0 {
		return
	}
	part := float64(better.samples) / float64(better.samples+priorSamples)
	if m.value == 0 {
		part = 1
	}
	m.value += part * (better.value - m.value)
}
