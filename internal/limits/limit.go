package limits

// Limit is a tenant's limit over the whole fleet.
type Limit struct {
	// TokensPerSecond counts prompt and output tokens; 0 is no limit.
	TokensPerSecond uint64
	// Concurrency counts requests in flight; 0 is no limit.
	Concurrency uint32
}

// isUnlimited reports whether there is nothing to hold.
func (l Limit) isUnlimited() bool { return l.TokensPerSecond == 0 && l.Concurrency == 0 }
