package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/platform/standin"
)

const (
	// callerTimeout is how long a caller tries, over all its attempts.
	callerTimeout = 2 * time.Second
	// waitShare is the share of the time left that a caller waits at most for its next attempt.
	waitShare = 1.0 / 3
	// maxImmediateAttempts bounds the attempts of a caller that retries at once, longestImmediatePause the pause between
	// two of them.
	maxImmediateAttempts  = 10
	longestImmediatePause = 20 * time.Millisecond
)

// retryBehaviour is how a client reacts to a refusal.
type retryBehaviour int

// Reactions of clients to refusals.
const (
	// returnsAsTold waits as long as the refusal says, retriesAtOnce retries often and does not wait, leaves never retries.
	returnsAsTold retryBehaviour = iota
	retriesAtOnce
	leaves
)

// drawRetryBehaviour draws how a client reacts to refusals: three of five clients return as told, one retries at once and
// one leaves.
func drawRetryBehaviour(random *rand.Rand) retryBehaviour {
	return []retryBehaviour{returnsAsTold, returnsAsTold, returnsAsTold, retriesAtOnce, leaves}[random.IntN(5)]
}

// caller is a client of the service with few slots with one request, which it sends again when it is refused.
type caller struct {
	traffic   *traffic
	client    *standin.Client
	attempt   standin.Attempt
	behaviour retryBehaviour
	random    *rand.Rand
	started   time.Time
}

// run sends the request until it is served or fails, or the client leaves. Each attempt goes to any relay.
func (c *caller) run(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		relay := c.traffic.loadBalancer.pickRelay(c.random)
		c.attempt.ID, c.attempt.Front, c.attempt.Address = fmt.Sprintf("%s%04x", c.attempt.Request, number), relay.Name, relay.front
		if c.attempt.Timeout = c.timeLeft(); c.attempt.Timeout <= 0 {
			return
		}
		sent := c.client.Send(context.WithoutCancel(ctx), c.attempt)
		wait, again := c.pauseAfter(sent, number+1)
		if !again {
			return
		}
		c.attempt.RefusedAt, c.attempt.DueAt = 0, 0
		if c.behaviour == returnsAsTold {
			c.attempt.RefusedAt, c.attempt.DueAt = sent.EndedAt, sent.EndedAt+wait
		}
		sleep(ctx, wait)
	}
}

func (c *caller) timeLeft() time.Duration { return callerTimeout - time.Since(c.started) }

// pauseAfter returns the pause before the next attempt, and whether there is one. Only refusals that promise that the
// request was not run are followed by one.
func (c *caller) pauseAfter(sent history.Sending, attempts int) (pause time.Duration, again bool) {
	longest := time.Duration(waitShare * float64(c.timeLeft()))
	switch {
	case !sent.PromisesNotRun():
		return 0, false
	case c.behaviour == returnsAsTold:
		return sent.RetryAfter, sent.RetryAfter > 0 && sent.RetryAfter <= longest
	case c.behaviour == retriesAtOnce:
		pause = time.Duration(c.random.Int64N(int64(longestImmediatePause)))
		return pause, pause < longest && attempts < maxImmediateAttempts
	default:
		return 0, false
	}
}
