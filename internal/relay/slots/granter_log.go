package slots

import (
	"strconv"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

// grantLogInterval is how many grants of a relay's requests there are to one log line, since a busy service has thousands
// a second.
const grantLogInterval = 64

// logOwnership writes a log line about a service whose slots this relay begins or ceases to grant.
func (g *granter) logOwnership(event events.Event, owned *ownedService) {
	g.config.Event(event).Str("service", owned.name).Bool("stands_in", owned.isDeputy).
		Int("queued", owned.queue.QueuedCount()).Int("held", owned.queue.HeldCount()).Send()
}

// recordDecision writes the log line of a decision and updates the metrics.
func (g *granter) recordDecision(owned *ownedService, decision *slotqueue.Decision) {
	switch decision.Outcome {
	case slotqueue.Granted:
		g.config.Metrics.queueTime.Observe(decision.Waited.Seconds())
		if decision.ID.Number%grantLogInterval == 0 {
			g.logDecision(events.SlotGranted, owned, decision)
		}
	case slotqueue.Refused:
		g.config.Metrics.queueTime.Observe(decision.Waited.Seconds())
		g.config.Metrics.refusals.WithLabelValues(decision.Reason.String()).Inc()
		g.logDecision(events.SlotRefused, owned, decision)
	}
}

// logDecision writes a log line with a decision and its inputs.
func (g *granter) logDecision(event events.Event, owned *ownedService, decision *slotqueue.Decision) {
	line := g.config.DecisionEvent(event).Str("service", owned.name).Bool("stands_in", owned.isDeputy).
		Str("relay", strconv.FormatUint(decision.ID.Relay, 16)).Uint64("number", decision.ID.Number).
		Int("queued", decision.QueueLength).Int("held", owned.queue.HeldCount()).
		Int64("expected_wait_ms", decision.ExpectedWait.Milliseconds()).Int64("waited_ms", decision.Waited.Milliseconds())
	if event == events.SlotGranted {
		line.Str("back_end", strconv.FormatUint(decision.BackEnd, 16)).Bool("returned", decision.Returned).Send()
		return
	}
	line.Str("reason", decision.Reason.String()).Int64("retry_after_ms", decision.RetryAfter.Milliseconds()).
		Bool("promised", decision.Promised).Send()
}
