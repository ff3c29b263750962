package slotqueue

import "time"

const (
	// slowdownValidity is how long a reported slowdown is used; slowdowns of back ends last a fraction of a second.
	slowdownValidity = 250 * time.Millisecond
	// minimumBlock and maximumBlock limit how long a back end that turned a request away gets no grant.
	minimumBlock = 50 * time.Millisecond
	maximumBlock = time.Second
)

// backEndState is a listed back end and what results tell about it.
type backEndState struct {
	BackEnd
	slowdown   float64
	slowdownAt time.Duration
	// blockedUntil is when the back end may get grants again; block is the length of its last block, 0 after a success.
	blockedUntil, block time.Duration
}

// record records the result of a request that the back end was granted to.
func (b *backEndState) record(now time.Duration, result Result) {
	if result.Slowdown > 0 {
		b.slowdown, b.slowdownAt = result.Slowdown, now
	}
	switch {
	case result.TurnedAway && now >= b.blockedUntil:
		// Requests that were in flight when the block began do not extend it.
		b.block = min(max(2*b.block, minimumBlock), maximumBlock)
		b.blockedUntil = now + b.block
	case !result.TurnedAway && result.ServiceTime > 0:
		b.block = 0
	}
}

func (b *backEndState) currentSlowdown(now time.Duration) float64 {
	if b.slowdown == 0 || now-b.slowdownAt > slowdownValidity {
		return 1
	}
	return b.slowdown
}

// isUsable reports whether the back end may get a grant while it has held slots in use.
func (b *backEndState) isUsable(now time.Duration, held int) bool {
	return !b.Closed && held < b.Slots && now >= b.blockedUntil
}

// loadWithOneMore returns the load of the back end with one more slot in use.
func (b *backEndState) loadWithOneMore(now time.Duration, held int) float64 {
	return float64(held+1) / float64(b.Slots) * b.currentSlowdown(now)
}
