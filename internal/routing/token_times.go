package routing

import "time"

const (
	defaultPromptTokensPerSecond = 20_000
	defaultTokenInterval         = 10 * time.Millisecond
	defaultIntervalPerRunning    = 150 * time.Microsecond
	defaultPageTime              = 5 * time.Millisecond
)

// TokenTimes is the speed of a back end.
type TokenTimes struct {
	// PromptTokensPerSecond is the prefill rate of one engine.
	PromptTokensPerSecond float64
	// TokenInterval is the time between output tokens of a request that runs alone.
	TokenInterval time.Duration
	// IntervalPerRunning is by how much each other running request increases TokenInterval.
	IntervalPerRunning time.Duration
	// PageTime is the time of one request at a page service.
	PageTime time.Duration
}

func (t *TokenTimes) setDefaults() {
	setDefault(&t.PromptTokensPerSecond, defaultPromptTokensPerSecond)
	setDefault(&t.TokenInterval, defaultTokenInterval)
	setDefault(&t.IntervalPerRunning, defaultIntervalPerRunning)
	setDefault(&t.PageTime, defaultPageTime)
}

// prefillTime returns the prefill time of a number of tokens.
func (t *TokenTimes) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / t.PromptTokensPerSecond * float64(time.Second))
}

// tokenInterval returns the time between output tokens beside a number of other running requests.
func (t *TokenTimes) tokenInterval(running float64) time.Duration {
	return t.TokenInterval + time.Duration(running*float64(t.IntervalPerRunning))
}
