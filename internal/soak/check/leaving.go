package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// sentAfterLeavingAnswer finds requests that a relay sent to a back end although it had forwarded a response in which
// the back end announced that it leaves. Only requests that clients sent later than the drain bound after that response
// count. Relays that were killed, stopped, frozen or cut off since are left out, as they may have lost the announcement.
func sentAfterLeavingAnswer(recorded *history.History) []Finding {
	sent := sendingsByID(recorded)
	var findings []Finding
	for at, arrivals := range arrivalsByRelayAndReplica(recorded) {
		informedAt := time.Duration(0)
		for _, arrival := range arrivals {
			sending := sent[arrival.ID]
			if isForwarded := arrival.Leaving && arrival.Seal != "" && sending.Seal == arrival.Seal; isForwarded && (informedAt == 0 || sending.EndedAt < informedAt) {
				informedAt = sending.EndedAt
			}
		}
		for _, arrival := range arrivals {
			sending := sent[arrival.ID]
			if informedAt == 0 || sending.SentAt <= informedAt+recorded.Bounds.Drain || arrival.Status == 421 || recorded.WasDisturbed(informedAt, arrival.At, at.machine) {
				continue
			}
			findings = append(findings, newFinding(Drain, arrival.At, "request %s reached %s from %s, which had forwarded %s before that the back end leaves", arrival.ID, at.replica, at.machine, sending.SentAt-informedAt))
		}
	}
	return findings
}
