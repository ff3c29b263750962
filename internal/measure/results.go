package measure

import (
	"math"
	"slices"
	"time"
)

// results holds the counts of one run, in total, by tenant and by kind.
type results struct {
	tenants      map[string]*tenantResult
	kinds        map[string]*tenantResult
	promptTokens int64
	cachedTokens int64
	firstTokens  []time.Duration
	// imbalance holds samples of the coefficient of variation of the engines' numbers of requests: the standard
	// deviation of these numbers over their mean.
	imbalance []float64
}

// tenantResult counts the requests of one tenant or kind.
type tenantResult struct {
	refused   int
	completed int
	late      int
	worth     float64 // worth of the requests that completed in time
	offered   float64 // worth of all requests
}

func newResults() results {
	return results{tenants: map[string]*tenantResult{}, kinds: map[string]*tenantResult{}}
}

func (r *results) tenant(name string) *tenantResult { return resultOf(r.tenants, name) }

func (r *results) kind(name string) *tenantResult { return resultOf(r.kinds, name) }

func resultOf(byName map[string]*tenantResult, name string) *tenantResult {
	if byName[name] == nil {
		byName[name] = &tenantResult{}
	}
	return byName[name]
}

func (r *results) addRefused(req *request) {
	for _, result := range []*tenantResult{r.tenant(req.tenant), r.kind(req.kind)} {
		result.refused++
		result.offered += req.worth
	}
}

func (r *results) addCached(req *request, tokens int) {
	r.promptTokens += int64(req.promptTokens)
	r.cachedTokens += int64(tokens)
}

func (r *results) addCompleted(current *exchange, at time.Duration) {
	r.firstTokens = append(r.firstTokens, current.firstTokenAt-current.arrivesAt)
	r.tenant(current.tenant).addCompleted(current, at)
	r.kind(current.kind).addCompleted(current, at)
}

func (t *tenantResult) addCompleted(current *exchange, at time.Duration) {
	t.offered += current.worth
	if at > current.deadline {
		t.late++
		return
	}
	t.completed++
	t.worth += current.worth
}

// cacheHitShare returns the share of all prompt tokens that prefix caches held.
func (r *results) cacheHitShare() float64 { return float64(r.cachedTokens) / float64(r.promptTokens) }

// firstTokenQuantile returns a quantile of the time to first token.
func (r *results) firstTokenQuantile(quantile float64) time.Duration {
	if len(r.firstTokens) == 0 {
		return 0
	}
	slices.Sort(r.firstTokens)
	return r.firstTokens[int(quantile*float64(len(r.firstTokens)-1))]
}

// meanImbalance returns the mean of the samples of imbalance.
func (r *results) meanImbalance() float64 {
	var sum float64
	for _, sample := range r.imbalance {
		sum += sample
	}
	return sum / float64(max(len(r.imbalance), 1))
}

func (w *world) sampleImbalance() {
	var sum, squares float64
	for _, engine := range w.engines {
		load := engine.Load()
		count := float64(load.Running + load.Waiting)
		sum += count
		squares += count * count
	}
	count := float64(len(w.engines))
	mean := sum / count
	if mean == 0 {
		return
	}
	variance := max(squares/count-mean*mean, 0)
	w.results.imbalance = append(w.results.imbalance, math.Sqrt(variance)/mean)
}
