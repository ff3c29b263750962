package fleetlimit

import "time"

// bucket is a token bucket: it fills at a constant rate up to its capacity, and each permit consumes one token.
type bucket struct {
	// tokens is the level at updatedAt; rate is in tokens per second.
	tokens, rate, capacity float64
	updatedAt              time.Duration
}

// set changes rate and capacity from now on. Tokens beyond the capacity are discarded.
func (b *bucket) set(now time.Duration, rate, capacity float64) {
	b.advance(now)
	b.rate, b.capacity = rate, capacity
	b.tokens = min(b.tokens, capacity)
}

// advance fills the bucket up to now.
func (b *bucket) advance(now time.Duration) {
	if now > b.updatedAt {
		b.tokens = min(b.tokens+b.rate*(now-b.updatedAt).Seconds(), b.capacity)
		b.updatedAt = now
	}
}

// waitFor returns how long it takes until the bucket holds this many tokens; 0 if it does now. The bucket must have been
// advanced to now.
func (b *bucket) waitFor(tokens float64) time.Duration {
	if b.tokens >= tokens {
		return 0
	}
	return time.Duration((tokens - b.tokens) / b.rate * float64(time.Second))
}
