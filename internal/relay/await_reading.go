package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

const (
	// readingSlack is how much longer than expected a request waits for a reading to end and
	// its memory to be taken, beside readingSlackShare times the expectation.
	readingSlack      = 200 * time.Millisecond
	readingSlackShare = 1.5
)

// keptWait is the wait of one request for parts of its prompt that an engine reads for others.
type keptWait struct {
	chosen *place
	parts  []placement.PrefixBlock
	rank   placement.Rank
	limit  time.Duration
	// stop ends the wait when it is closed.
	stop <-chan struct{}
}

// waitLimit is how long a request waits for a reading at the engine.
func (r *Relay) waitLimit(chosen *place) time.Duration {
	return r.readingSlack + time.Duration(readingSlackShare*float64(chosen.QueueDelay))
}

// awaitReading waits until the engine can use for this request what it reads for others.
func (r *Relay) awaitReading(stream *streamReply, chosen *place) bool {
	r.metrics.waits.Inc()
	return r.awaitKept(&keptWait{
		chosen: chosen, parts: stream.parts, rank: stream.rank(),
		limit: min(r.waitLimit(chosen), stream.request.deadline-r.clock.now()), stop: stream.request.canceller.gone(),
	})
}

// awaitKept waits until the engine can use what it reads for others. A request that is sent
// there before would have the same parts read again. Meanwhile its work counts at the engine, so
// that decisions see it. It reports false when the time for it is over or it was stopped.
func (r *Relay) awaitKept(wait *keptWait) bool {
	asked := &message{backEnd: wait.chosen.backEnd, work: readingWork(r.policy, wait.rank, &wait.chosen.Candidate)}
	asked.backEnd.begin(asked.work)
	r.exchanger.noteWork(asked)
	defer func() {
		asked.backEnd.end(asked.work)
		r.exchanger.noteWork(asked)
	}()
	timer := time.NewTimer(wait.limit)
	defer timer.Stop()
	cache := wait.chosen.backEnd.cache
	for {
		changed := cache.changes()
		if cache.cached(wait.parts, r.clock.now()).Pending < r.policy.MinPendingTokens {
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
