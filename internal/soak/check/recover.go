package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// recoverMinSample is the smallest number of requests after the recovery time for which the served share is checked.
const recoverMinSample = 20

// recovered finds that less than a quarter of the requests are served once the recovery time after the last fault is
// over, although at least a quarter of those sent before the end of the last fault were served.
func recovered(recorded *history.History) []Finding {
	var last time.Duration
	for _, fault := range recorded.Faults {
		last = max(last, fault.To)
	}
	after := last + recorded.Bounds.Recovery
	var sent, served, before, servedBefore int
	for _, sending := range recorded.Sendings {
		switch {
		case sending.ClosedAt > 0:
		case sending.SentAt > after:
			sent++
			if sending.Succeeded() {
				served++
			}
		case sending.SentAt < last:
			before++
			if sending.Succeeded() {
				servedBefore++
			}
		}
	}
	if sent >= recoverMinSample && 4*served < sent && 4*servedBefore >= before {
		return []Finding{newFinding(Recover, after, "%d of %d requests were served after the last fault", served, sent)}
	}
	return nil
}
