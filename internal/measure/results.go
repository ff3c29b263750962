package measure

import (
	"math"
	"slices"
	"time"
)

// results are what one run came to, by tenant where it says so.
type results struct {
	tenants      map[string]*tenantResult
	kinds        map[string]*tenantResult
	promptTokens int64
	cachedTokens int64
	firstTokens  []time.Duration
	// imbalance holds samples of the standard deviation of the engines' requests
	// over their mean.
	imbalance []float64
}

// tenantResult counts the requests of one tenant or kind.
type tenantResult struct {
	refused   int
	completed int
	late      int
	worth     float64 // of what completed in time
	offered   float64 // worth of all requests
}

func newResults() results {
	return results{tenants: map[string]*tenantResult{}, kinds: map[string]*tenantResult{}}
}

func (r *results) tenant(name string) *tenantResult { return resultOf(r.tenants, name) }

func (r *results) kind(name string) *tenantResult { return resultOf(r.kinds, name) }

func resultOf(of map[string]*tenantResult, name string) *tenantResult {
	if of[name] == nil {
		of[name] = &tenantResult{}
	}
	return of[name]
}

func (r *results) addRefused(asked *request) {
	for _, of := range []*tenantResult{r.tenant(asked.tenant), r.kind(asked.kind)} {
		of.refused++
		of.offered += asked.worth
	}
}

func (r *results) addCached(asked *request, tokens int) {
	r.promptTokens += int64(asked.prompt)
	r.cachedTokens += int64(tokens)
}

func (r *results) addCompleted(current *exchange, at time.Duration) {
	r.firstTokens = append(r.firstTokens, current.first-current.at)
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

// hitShare is the part of all prompt tokens that was found in prefix caches.
func (r *results) hitShare() float64 { return float64(r.cachedTokens) / float64(r.promptTokens) }

// firstToken is a quantile of the time to the first token.
func (r *results) firstToken(quantile float64) time.Duration {
	if len(r.firstTokens) == 0 {
		return 0
	}
	slices.Sort(r.firstTokens)
	return r.firstTokens[int(quantile*float64(len(r.firstTokens)-1))]
}

// meanImbalance is the mean over the run.
func (r *results) meanImbalance() float64 {
	var sum float64
	for _, sample := range r.imbalance {
		sum += sample
	}
	return sum / float64(max(len(r.imbalance), 1))
}

func (w *world) sampleBalance() {
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
