package routing

import "time"

// distanceScorer costs the round trip to the candidate's zone and, in StageOutput,
// the way of the KV cache from the prefill engine's zone.
type distanceScorer struct{}

func (distanceScorer) Cost(decision *Decision, candidate *Candidate) time.Duration {
	router := decision.router
	cost := 2 * router.zoneLatency(candidate.Zone)
	if decision.Stage == StageDecode && candidate.Zone != decision.PrefillZone {
		cost += router.config.KVTransferCost + router.config.OtherZoneLatency
	}
	return cost
}
