package limits

// Limit is a tenant's limit for the whole fleet.
type Limit struct {
	// TokensPerSecond limits prompt and output tokens; 0 is no limit.
	TokensPerSecond uint64
	// Concurrency limits requests in flight; 0 is no limit.
	Concurrency uint32
}

// isUnlimited reports whether no limit applies.
func (l Limit) isUnlimited() bool { return l.TokensPerSecond == 0 && l.Concurrency == 0 }
