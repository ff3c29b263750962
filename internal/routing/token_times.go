package routing

import "time"

const (
	defaultPromptTokensPerSecond = 20_000
	defaultTokenInterval         = 10 * time.Millisecond
	defaultIntervalPerRunning    = 150 * time.Microsecond
	defaultPageTime              = 5 * time.Millisecond
)

// TokenTimes is how fast a back end works.
type TokenTimes struct {
	// PromptTokensPerSecond is the rate at which one engine reads prompts.
	PromptTokensPerSecond float64
	// TokenInterval is the time between output tokens of a request running alone.
	TokenInterval time.Duration
	// IntervalPerRunning is what each further running request adds to it.
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

// promptTime is the time to read tokens of prompt.
func (t *TokenTimes) promptTime(tokens float64) time.Duration {
	return time.Duration(tokens / t.PromptTokensPerSecond * float64(time.Second))
}

// interval is the time between output tokens with running other requests.
func (t *TokenTimes) interval(running float64) time.Duration {
	return t.TokenInterval + time.Duration(running*float64(t.IntervalPerRunning))
}
