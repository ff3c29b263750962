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

// awaitReading waits until the engine can use for this request what it reads for others. A
// request that is sent there before would have the same parts read again. Meanwhile its work
// counts at the engine, so that other relays know of it. It reports false when the time for
// it is over or the client has gone.
func (r *Relay) awaitReading(stream *streamReply, chosen *place) bool {
	r.metrics.waits.Inc()
	asked := &message{backEnd: chosen.backEnd, work: placement.Reading(chosen.Effort, r.policy.ReadingRank(stream.rank(), chosen.ToRead)).Plus(placement.Work{Prompts: 1})}
	asked.backEnd.begin(asked.work)
	r.exchanger.noteWork(asked)
	defer func() {
		asked.backEnd.end(asked.work)
		r.exchanger.noteWork(asked)
	}()
	limit := r.readingSlack + time.Duration(readingSlackShare*float64(chosen.Waiting))
	timer := time.NewTimer(min(limit, stream.request.deadline-r.clock.now()))
	defer timer.Stop()
	cache := chosen.backEnd.cache
	for {
		changed := cache.changes()
		if cache.cached(stream.parts, r.clock.now()).Unusable < r.policy.LeastUnusable {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-stream.request.canceller.gone():
			return false
		}
	}
}
