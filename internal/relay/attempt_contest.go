package relay

import (
	"sync"

	"github.com/hazelpitch/hazelpitch/internal/relay/replacement"
)

// attemptContest decides between the current attempt of a request and its replacement. It is safe for concurrent use; the zero
// value has no replacement.
type attemptContest struct {
	mutex   sync.Mutex
	contest replacement.Contest[*replacementAttempt]
}

// start makes an attempt the replacement of the current one; false if there is a replacement already.
func (c *attemptContest) start(attempt *replacementAttempt) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.contest.Start(attempt)
}

// keep reports whether an attempt, nil for one that is no replacement, answers the request, of which it has brought bytes. Its own
// replacement is cancelled then.
func (c *attemptContest) keep(attempt *replacementAttempt) bool {
	c.mutex.Lock()
	isKept, cancelled := c.contest.Keep(attempt)
	c.mutex.Unlock()
	if cancelled != nil {
		cancelled.cancel()
	}
	return isKept
}

// replace reports whether the current attempt must be ended, since its replacement has answered.
func (c *attemptContest) replace(attempt *replacementAttempt) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.contest.Replace(attempt)
}

// fail reports whether the current attempt goes on after its replacement has failed.
func (c *attemptContest) fail(attempt *replacementAttempt) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.contest.Fail(attempt)
}

// take makes the replacement the current attempt; it returns nil if there is none.
func (c *attemptContest) take() *replacementAttempt {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.contest.Take()
}

// isReplaced reports whether an attempt must be ended, since its replacement answers the request.
func (c *attemptContest) isReplaced(attempt *replacementAttempt) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.contest.IsReplaced(attempt)
}

// isPending reports whether an attempt is a replacement that is not decided on.
func (c *attemptContest) isPending(attempt *replacementAttempt) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.contest.IsPending(attempt)
}

// hasReplacement reports whether a replacement is under way.
func (c *attemptContest) hasReplacement() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.contest.HasReplacement()
}

// sentReplacements returns the replacements that were sent to a back end, and have failed or were cancelled.
func (c *attemptContest) sentReplacements() []*replacementAttempt {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return sentOf(c.contest.Ended())
}

// takeSentReplacements returns what sentReplacements returns, and forgets it.
func (c *attemptContest) takeSentReplacements() []*replacementAttempt {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return sentOf(c.contest.TakeEnded())
}

// sentOf returns those of the attempts that were sent.
func sentOf(attempts []*replacementAttempt) []*replacementAttempt {
	var sent []*replacementAttempt
	for _, attempt := range attempts {
		if attempt.isSent.Load() {
			sent = append(sent, attempt)
		}
	}
	return sent
}
