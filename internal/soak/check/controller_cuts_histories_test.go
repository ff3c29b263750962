package check

import (
	"fmt"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// cutControllers returns a history in which controllers are cut from each other from second 5 to second 10. A change that is
// sent during the cut is acknowledged, and a read returns the newest configuration, at the given times.
func cutControllers(ackedAt, readAt time.Duration) func(*history.History) {
	return func(h *history.History) {
		h.Controllers["core-2"] = true
		for _, controller := range []string{"core", "core-2"} {
			h.Faults = append(h.Faults, history.Fault{Kind: history.CutController, Target: controller, From: 5 * second, To: 10 * second})
		}
		h.Changes = []history.Change{
			{Number: 1, SentAt: 0, AckedAt: second, EndedAt: second, Services: map[string]string{"safe": "a"}},
			{Number: 2, SentAt: 7 * second, AckedAt: ackedAt, EndedAt: ackedAt, Services: map[string]string{"safe": "a"}},
		}
		h.Reads = []history.Read{{SentAt: 10*second + second/10, At: 11 * second, Status: 503}}
		h.Reads = append(h.Reads, history.Read{SentAt: readAt - second/10, At: readAt, Status: 200, Number: 2})
	}
}

// triesAt returns first tries at a time, of which some are served; the others fail.
func triesAt(at time.Duration, count, served int) (sendings []history.Sending, arrivals []history.Arrival) {
	for number := range count {
		id := fmt.Sprint(number)
		sending := changedSending(request(id, "safe", at), func(s *history.Sending) { s.Connected = true })
		if number < served {
			arrivals = append(arrivals, ranAt(id, "x", at))
		} else {
			sending = changedSending(sending, func(s *history.Sending) { s.Status, s.Seal, s.Body = 503, "", "" })
		}
		sendings = append(sendings, sending)
	}
	return sendings, arrivals
}
