package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

const (
	// prefillWaitSlack and prefillWaitSlackFactor bound the wait for another request's prefill and the transfer of its
	// result: prefillWaitSlackFactor times the expected duration plus prefillWaitSlack.
	prefillWaitSlack       = 200 * time.Millisecond
	prefillWaitSlackFactor = 1.5
)

// prefillWait is the wait of one request for blocks of its prompt that an engine prefills for other requests.
type prefillWait struct {
	selection    *backEndSelection
	prefixBlocks []placement.PrefixBlock
	rank         placement.Rank
	limit        time.Duration
	// stop is closed to end the wait.
	stop <-chan struct{}
}

// prefillWaitLimit returns how long a request waits at most for another request's prefill at the selected engine.
func (r *Relay) prefillWaitLimit(selection *backEndSelection) time.Duration {
	return r.prefillWaitSlack + time.Duration(prefillWaitSlackFactor*float64(selection.QueueDelay))
}

// awaitPrefill waits until the engine has cached, for use by this request, what it prefills for others. It returns false
// when the time limit has passed or the client has disconnected.
func (r *Relay) awaitPrefill(stream *streamReply, selection *backEndSelection) bool {
	r.metrics.prefillWaits.Inc()
	return r.awaitCached(&prefillWait{
		selection: selection, prefixBlocks: stream.prefixBlocks, rank: stream.rank(),
		limit: min(r.prefillWaitLimit(selection), stream.request.deadline-r.clock.now()), stop: stream.request.canceller.done(),
	})
}

// awaitCached waits until the engine has cached what it prefills for other requests. A request sent to the engine earlier
// would have the same blocks prefilled again. Meanwhile the waiting request's work counts at the engine, so that placement
// decisions consider it. It returns false when the time limit has passed or the wait was stopped.
func (r *Relay) awaitCached(wait *prefillWait) bool {
	expected := &message{backEnd: wait.selection.backEnd, work: prefillWork(r.policy, wait.rank, &wait.selection.Candidate)}
	expected.backEnd.addWork(expected.work)
	r.exchanger.announceWork(expected)
	defer func() {
		expected.backEnd.removeWork(expected.work)
		r.exchanger.announceWork(expected)
	}()
	timer := time.NewTimer(wait.limit)
	defer timer.Stop()
	cache := wait.selection.backEnd.cache
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
