package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// recoverMinSample is from how many requests on the share that is served counts.
const recoverMinSample = 20

// recovered finds that less than a quarter of the requests is served once the last fault is over for the
// recovery time, though a quarter was before.
func recovered(seen *history.History) []Finding {
	var last time.Duration
	for _, fault := range seen.Faults {
		last = max(last, fault.To)
	}
	after := last + seen.Bounds.Recovery
	var sent, served, before, servedBefore int
	for _, sending := range seen.Sendings {
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
