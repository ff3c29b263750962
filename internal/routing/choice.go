package routing

import "time"

// Choice is where to send one request.
type Choice struct {
	// BackEnd answers the caller: a mixed engine, a decode engine or a page service.
	BackEnd BackEnd
	// Prefill prefills the prompt and transfers its KV cache to BackEnd; it is nil if BackEnd does everything.
	Prefill *BackEnd
	// Expected is the expected time of the whole request.
	Expected time.Duration
	// ExpectedFirstToken is the expected time to the first output token.
	ExpectedFirstToken time.Duration
	// CachedTokens is the number of prompt tokens expected in the prefix cache.
	CachedTokens int
	// CachedAtHome is true if the tokens are expected in the cache only because the back end that prefills the
	// prompt is the home of its prefix. The caller passes it on in Dispatch.
	CachedAtHome bool
}
