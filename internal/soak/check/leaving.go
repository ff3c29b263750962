package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// sentAfterLeavingAnswer finds requests that a relay sent to a back end though their clients sent them later than allowed after
// the relay had passed on an answer which said that the back end leaves. Relays that were killed, stopped or frozen
// since need not know.
func sentAfterLeavingAnswer(seen *history.History) []Finding {
	sent := sendingsByID(seen)
	var findings []Finding
	for at, arrivals := range arrivalsByRelayAndReplica(seen) {
		informedAt := time.Duration(0)
		for _, arrival := range arrivals {
			sending := sent[arrival.ID]
			if passedOn := arrival.Leaving && arrival.Seal != "" && sending.Seal == arrival.Seal; passedOn && (informedAt == 0 || sending.EndedAt < informedAt) {
				informedAt = sending.EndedAt
			}
		}
		for _, arrival := range arrivals {
			sending := sent[arrival.ID]
			if informedAt == 0 || sending.SentAt <= informedAt+seen.Bounds.Drain || arrival.Status == 421 || seen.WasDisturbed(informedAt, arrival.At, at.machine) {
				continue
			}
			findings = append(findings, newFinding(Drain, arrival.At, "request %s reached %s from %s, which had passed on %s before that it leaves", arrival.ID, at.replica, at.machine, sending.SentAt-informedAt))
		}
	}
	return findings
}
