package fleetlimit

import "time"

// bucket is a token bucket: it fills at a rate up to a capacity, and each permit takes one token.
type bucket struct {
	// tokens is what was in it at a time; rate is tokens a second.
	tokens, rate, capacity float64
	at                     time.Duration
}

// set changes rate and capacity from now on. What is in the bucket beyond the capacity is lost.
func (b *bucket) set(now time.Duration, rate, capacity float64) {
	b.advance(now)
	b.rate, b.capacity = rate, capacity
	b.tokens = min(b.tokens, capacity)
}

// advance fills the bucket up to now.
func (b *bucket) advance(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.tokens+b.rate*(now-b.at).Seconds(), b.capacity)
		b.at = now
	}
}

// until is how long it takes until so many tokens are in the bucket; 0 when they are. The bucket must be advanced.
func (b *bucket) until(tokens float64) time.Duration {
	if b.tokens >= tokens {
		return 0
	}
	return time.Duration((tokens - b.tokens) / b.rate * float64(time.Second))
}
