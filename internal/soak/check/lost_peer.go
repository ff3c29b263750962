package check

import (
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// endedWithPeer reports whether a response that had begun ended because another relay, to which the client's relay had forwarded the
// request, was killed: the back end lost its connection when a relay was killed, and the client at most Bounds.LossSlack later.
func endedWithPeer(recorded *history.History, arrivals []history.Arrival, sending history.Sending) bool {
	return slices.ContainsFunc(recorded.Faults, func(fault history.Fault) bool {
		isPeer := fault.Kind == history.Kill && fault.Target != sending.Front && !recorded.Controllers[fault.Target]
		if !isPeer || fault.From > sending.EndedAt || sending.EndedAt-fault.From > recorded.Bounds.LossSlack {
			return false
		}
		return slices.ContainsFunc(arrivals, func(arrival history.Arrival) bool {
			return arrival.Cancelled && arrival.At <= fault.From && fault.From <= arrival.EndedAt
		})
	})
}
