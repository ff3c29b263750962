package controller

import (
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/logring"
)

// decisionLog logs a leader's decisions on members, each of them once.
type decisionLog struct {
	log  *logring.Log
	last uint64
}

// write logs the decisions that it has not logged yet.
func (d *decisionLog) write(decisions []consensus.NumberedDecision) {
	for _, decision := range decisions {
		if decision.Number <= d.last {
			continue
		}
		d.last = decision.Number
		d.log.Warn().Str(events.FieldEvent, string(events.MemberDecided)).Str("action", string(decision.Action)).
			Str("reason", string(decision.Reason)).Str("member", decision.MemberID).Int64("silent_ms", decision.Silence.Milliseconds()).
			Int("voters", decision.Counts.Voters).Int("minimum", decision.Counts.MinimumVoters).Int("answering", decision.Counts.AnsweringVoters).
			Int("tolerated_losses", decision.Counts.ToleratedLosses()).Send()
	}
}
