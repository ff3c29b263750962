package routing

import "time"

// Choice is where to send one request.
type Choice struct {
	// BackEnd answers the caller: a mixed engine, a decode engine or a page service.
	BackEnd BackEnd
	// Prefill reads the prompt first and hands its KV cache to BackEnd; nil when
	// BackEnd does everything.
	Prefill *BackEnd
	// Expected is the time the whole request is expected to take.
	Expected time.Duration
	// ExpectedFirstToken is the time to the first output token.
	ExpectedFirstToken time.Duration
	// CachedTokens is the part of the prompt expected in the prefix cache.
	CachedTokens int
	// CachedAtHome tells that the cache is expected only because the back end that reads the
	// prompt is the home of its prefix; pass it on with Sent.
	CachedAtHome bool
}
