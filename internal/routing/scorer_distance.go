package routing

import "time"

// distanceScorer adds the round trip to the candidate's zone and, in StageDecode, the KV transfer if the prefill
// engine is in another zone.
type distanceScorer struct{}

func (distanceScorer) Cost(decision *Decision, candidate *Candidate) time.Duration {
	router := decision.router
	cost := 2 * router.zoneLatency(candidate.Zone)
	if decision.Stage == StageDecode && candidate.Zone != decision.PrefillZone {
		cost += router.config.KVTransferCost + router.config.OtherZoneLatency
	}
	return cost
}
