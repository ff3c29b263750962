package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

const (
	// prefillWaitSlack is how much longer than expected a request waits for a reading to end and
	// its memory to be taken, beside readingSlackShare times the expectation.
	prefillWaitSlack       = 200 * time.Millisecond
	prefillWaitSlackFactor = 1.5
)

// prefillWait is the wait of one request for parts of its prompt that an engine reads for others.
type prefillWait struct {
	chosen       *selection
	prefixBlocks []placement.PrefixBlock
	rank         placement.Rank
	limit        time.Duration
	// stop ends the wait when it is closed.
	stop <-chan struct{}
}

// prefillWaitLimit is how long a request waits for a reading at the engine.
func (r *Relay) prefillWaitLimit(chosen *selection) time.Duration {
	return r.prefillWaitSlack + time.Duration(prefillWaitSlackFactor*float64(chosen.QueueDelay))
}

// awaitPrefill waits until the engine can use for this request what it reads for others.
func (r *Relay) awaitPrefill(stream *streamReply, chosen *selection) bool {
	r.metrics.prefillWaits.Inc()
	return r.awaitCached(&prefillWait{
		chosen: chosen, prefixBlocks: stream.prefixBlocks, rank: stream.rank(),
		limit: min(r.prefillWaitLimit(chosen), stream.request.deadline-r.clock.now()), stop: stream.request.canceller.done(),
	})
}

// awaitCached waits until the engine can use what it reads for others. A request that is sent
// there before would have the same parts read again. Meanwhile its work counts at the engine, so
// that decisions see it. It reports false when the time for it is over or it was stopped.
func (r *Relay) awaitCached(wait *prefillWait) bool {
	expected := &message{backEnd: wait.chosen.backEnd, work: prefillWork(r.policy, wait.rank, &wait.chosen.Candidate)}
	expected.backEnd.addWork(expected.work)
	r.exchanger.announceWork(expected)
	defer func() {
		expected.backEnd.removeWork(expected.work)
		r.exchanger.announceWork(expected)
	}()
	timer := time.NewTimer(wait.limit)
	defer timer.Stop()
	cache := wait.chosen.backEnd.cache
	for {
		changed := cache.changes()
		if cache.lookup(wait.prefixBlocks, r.clock.now()).Pending < r.policy.MinPendingTokens {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-wait.stop:
			return false
		}
	}
}
