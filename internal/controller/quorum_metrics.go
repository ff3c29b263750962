package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
)

// quorumInstruments are the metrics of the voters as the leader sees them; at other controllers their values are 0.
type quorumInstruments struct {
	voters, answeringVoters, toleratedLosses, learners prometheus.Gauge
}

func newQuorumInstruments(factory metrics.Factory) quorumInstruments {
	return quorumInstruments{
		voters:          factory.Gauge("voters", "Voters of the replicated log."),
		answeringVoters: factory.Gauge("voters_answering", "Voters that have answered the leader lately."),
		toleratedLosses: factory.Gauge("voter_losses_tolerated", "Answering voters that may be lost before no quorum remains."),
		learners:        factory.Gauge("learners", "Members of the replicated log without a vote."),
	}
}

// set updates the gauges from the status of the replicated log.
func (q quorumInstruments) set(status consensus.Status) {
	counts := status.VoterCounts
	q.voters.Set(float64(counts.Voters))
	q.answeringVoters.Set(float64(counts.AnsweringVoters))
	q.learners.Set(float64(len(status.Members) - counts.Voters))
	losses := 0
	if counts.Voters > 0 {
		losses = counts.ToleratedLosses()
	}
	q.toleratedLosses.Set(float64(losses))
}
