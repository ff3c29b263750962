package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// afterFinalFault returns a history whose final fault is over at second 10. The controller and the relay are ready, the
// configuration is read, and a request is served, at the given times; a process with the time 0 is never ready.
func afterFinalFault(controllerReady, relayReady, readAt, servedAt time.Duration) func(*history.History) {
	return func(h *history.History) {
		h.FinalFault = &history.FinalFault{At: 9 * second, BackAt: 10 * second, ReadyAt: map[string]time.Duration{"core": controllerReady, "front": relayReady}}
		h.Changes = []history.Change{{Number: 1, AckedAt: second, EndedAt: second, Services: map[string]string{"safe": "a"}}}
		h.Reads = []history.Read{{SentAt: readAt - second/10, At: readAt, Status: 200, Number: 1}}
		h.Sendings = []history.Sending{request("1", "safe", servedAt-second/10)}
		h.Arrivals = []history.Arrival{ranAt("1", "x", servedAt-second/10)}
	}
}
