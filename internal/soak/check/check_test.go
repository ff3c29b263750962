package check

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const second = time.Second

// rows are histories that break one rule, or that come close to it and break none.
var rows = []struct {
	name   string
	rule   Rule // the rule that is broken; empty for none
	change func(*history.History)
}{
	{"a complete response of the request's back end", "", func(h *history.History) {
		h.Sendings = []history.Sending{request("1", "safe", 0)}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0)}
	}},
	{"a change is acknowledged and read soon after controllers were cut from each other", "", cutControllers(12*second, 12*second)},
	{"no change is acknowledged soon after controllers were cut from each other", Config, cutControllers(14*second, 12*second)},
	{"no newest configuration is read soon after controllers were cut from each other", Config, cutControllers(12*second, 14*second)},
	{"no change is acknowledged soon after a cut that another fault follows", "", func(h *history.History) {
		cutControllers(14*second, 14*second)(h)
		h.Faults = append(h.Faults, history.Fault{Kind: history.Kill, Target: "core", From: 11 * second, To: 12 * second})
	}},
	{"few requests are served after controllers were cut from each other", Recover, func(h *history.History) {
		cutControllers(12*second, 12*second)(h)
		h.Sendings, h.Arrivals = triesAt(14*second, 20, 9)
	}},
	{"half of the requests are served after controllers were cut from each other", "", func(h *history.History) {
		cutControllers(12*second, 12*second)(h)
		h.Sendings, h.Arrivals = triesAt(14*second, 20, 10)
	}},
	{"everything serves again soon after the final fault", "", afterFinalFault(15*second, 21*second, 21*second, 21*second)},
	{"no controller knows a leader soon after the final fault", Recover, afterFinalFault(17*second, 17*second, 17*second, 17*second)},
	{"a relay is ready late after the final fault", Recover, afterFinalFault(11*second, 23*second, 12*second, 12*second)},
	{"a relay is never ready after the final fault", Recover, afterFinalFault(11*second, 0, 12*second, 12*second)},
	{"the configuration is read late after the final fault", Config, afterFinalFault(11*second, 11*second, 23*second, 12*second)},
	{"requests are served late after the final fault", Recover, afterFinalFault(11*second, 11*second, 12*second, 23*second)},
	{"the response to another request", Mixed, func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", "safe", 0), func(s *history.Sending) { s.AnswerID = "2" })}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0)}
	}},
	{"a success without a seal", Mixed, func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", "safe", 0), func(s *history.Sending) { s.Seal = "" })}
	}},
	{"a body that no back end returned", Mixed, func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", "safe", 0), func(s *history.Sending) { s.Body = "other" })}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0)}
	}},
	{"a failure whose status differs from the back end's", Mixed, func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", "safe", 0), func(s *history.Sending) { s.Status = 500 })}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0)}
	}},
	{"two streams with events of two software versions", "", mixedStreams(2)},
	{"three streams with events of two software versions", Order, mixedStreams(3)},
	{"a partial event of a version whose name is cut", "", func(h *history.History) {
		mixedStreams(3)(h)
		for index := range h.Sendings {
			h.Sendings[index].Body = strings.ReplaceAll(h.Sendings[index].Body, "@v2", "@v1")
			if h.Sendings[index].Resumes != "" {
				h.Sendings[index].Body, h.Sendings[index].Whole = h.Sendings[index].Body+"id: 4\ndata: b@v", false
			}
		}
	}},
	{"an empty rest of a stream of which the client has the last event", "", emptyRest("end")},
	{"an empty rest of a stream of which the client lacks the last event", Order, emptyRest("part")},
	{"streams that clients take up go on as often as new ones begin", "", takenUpStreams(14, 8)},
	{"streams that clients take up seldom go on", Lost, takenUpStreams(14, 6)},
	{"few streams that clients take up", "", takenUpStreams(11, 0)},
	{"streams that clients take up while one back end of the version serves", "", func(h *history.History) {
		takenUpStreams(14, 0)(h)
		h.Listings = h.Listings[1:]
	}},
	{"a response that ends with its connection", "", func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", "safe", 0), func(s *history.Sending) { s.EndsWithConnection = true })}
		h.Arrivals = []history.Arrival{changedArrival(ranAt("1", "x", 0), setUnframed)}
	}},
	{"the first half of a response that ends with its connection", "", func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", "safe", 0), func(s *history.Sending) { s.EndsWithConnection, s.Body = true, "" })}
		h.Arrivals = []history.Arrival{changedArrival(ranAt("1", "x", 0), setBrokenOff)}
	}},
	{"the first half of a response to a request that was not received", Mixed, func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", "safe", 0), func(s *history.Sending) { s.EndsWithConnection, s.Body = true, "" })}
		h.Arrivals = []history.Arrival{changedArrival(ranAt("1", "x", 0), setUnread)}
	}},
	{"a response to a request that was not received, visibly incomplete", "", func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", "safe", 0), func(s *history.Sending) { s.EndsWithConnection, s.Body, s.Whole = true, "", false })}
		h.Arrivals = []history.Arrival{changedArrival(ranAt("1", "x", 0), setUnread)}
	}},
	{"half of a response whose back end broke nothing off", Mixed, func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", "safe", 0), func(s *history.Sending) { s.EndsWithConnection, s.Body = true, "" })}
		h.Arrivals = []history.Arrival{changedArrival(ranAt("1", "x", 0), setUnframed)}
	}},
	{"a response that is framed as complete, which its back end has not said", Order, func(h *history.History) {
		h.Sendings = []history.Sending{request("1", "safe", 0)}
		h.Arrivals = []history.Arrival{changedArrival(ranAt("1", "x", 0), setUnframed)}
	}},
	{"a second response of the same back end is framed as complete", "", func(h *history.History) {
		h.Sendings = []history.Sending{request("1", "safe", 0)}
		h.Arrivals = []history.Arrival{changedArrival(ranAt("1", "x", 0), setBrokenOff), ranAt("1", "x", second/10)}
	}},
	{"a stream that ends with its connection before its last event, as its back end broke it off", "", func(h *history.History) {
		streamOf("id: 1\ndata: a part\n\n", "once", true)(h)
		h.Sendings[0].EndsWithConnection = true
		h.Arrivals[0] = changedArrival(h.Arrivals[0], setBrokenOff)
	}},
	{"a stream that ends with its connection before its last event, to a request that was not received", Order, func(h *history.History) {
		streamOf("id: 1\ndata: a part\n\n", "once", true)(h)
		h.Sendings[0].EndsWithConnection = true
		h.Arrivals[0] = changedArrival(h.Arrivals[0], setUnread)
	}},
	{"a stream that ends with its connection before its last event, which its back end sent", Order, func(h *history.History) {
		streamOf("id: 1\ndata: a part\n\n", "once", true)(h)
		h.Sendings[0].EndsWithConnection = true
		h.Arrivals[0] = changedArrival(h.Arrivals[0], setUnframed)
	}},
	{"a response that breaks off", "", func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", "safe", 0), func(s *history.Sending) { s.Body, s.Whole = "ot", false })}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0)}
	}},
	{"a request that may not be repeated runs twice", Twice, func(h *history.History) {
		h.Sendings = []history.Sending{request("1", "unsafe", 0)}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0), ranAt("1", "y", second)}
	}},
	{"a request that may be repeated runs twice", "", func(h *history.History) {
		h.Sendings = []history.Sending{request("1", "safe", 0)}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0), ranAt("1", "y", second)}
	}},
	{"the second back end has not run it", "", func(h *history.History) {
		h.Sendings = []history.Sending{request("1", "unsafe", 0)}
		h.Arrivals = []history.Arrival{changedArrival(ranAt("1", "x", 0), func(a *history.Arrival) { a.Ran, a.Status = false, 503 }), ranAt("1", "y", second)}
	}},
	{"a refusal that promises not run, and it ran", Refused, func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", "unsafe", 0), func(s *history.Sending) { s.Status, s.Seal = 503, "" })}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 5*second)}
	}},
	{"a failure without that promise, and it ran", "", func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", "unsafe", 0), func(s *history.Sending) { s.Status, s.Seal = 502, "" })}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0)}
	}},
	{"a request that no client sent", Unasked, func(h *history.History) { h.Arrivals = []history.Arrival{ranAt("1", "x", 0)} }},
	{"a request with another body", Unasked, func(h *history.History) {
		h.Sendings = []history.Sending{request("1", "safe", 0)}
		h.Arrivals = []history.Arrival{changedArrival(ranAt("1", "x", 0), func(a *history.Arrival) { a.BodyHash = "other" })}
	}},
	{"a complete stream", "", streamOf("id: 1\ndata: x a\n\nid: 2\ndata: x end\n\n", "stream", true)},
	{"a stream with a missing event", Order, streamOf("id: 1\ndata: x a\n\nid: 3\ndata: x end\n\n", "stream", true)},
	{"a stream with an event twice", Order, streamOf("id: 1\ndata: x a\n\nid: 1\ndata: x a\n\nid: 2\ndata: x end\n\n", "stream", true)},
	{"a stream that ends as complete too early", Order, streamOf("id: 1\ndata: x a\n\n", "stream", true)},
	{"a stream that is cut off", "", streamOf("id: 1\ndata: x a\n\nid: 2\nda", "stream", false)},
	{"a stream of two runs on a resumable route", "", joinedRuns("y", 1)},
	{"a stream of two runs on a resumable route, the second of which was asked to go on after another event", Order, joinedRuns("y", 0)},
	{"a stream of two runs on a resumable route, another one of which was asked to go on", Order, joinedRuns("z", 1)},
	{"a single stream with events of two software versions in a run with releases", Order, func(h *history.History) {
		mixedStreams(1)(h)
		h.Bounds.NoMixedStreams = true
	}},
	{"a stream that its client takes up at the same version in a run with releases", "", func(h *history.History) {
		mixedStreams(1)(h)
		h.Sendings[1].Body = strings.ReplaceAll(h.Sendings[1].Body, "@v2", "@v1")
		h.Bounds.NoMixedStreams = true
	}},
	{"a request that is cut off since its client's connection was reset", "", func(h *history.History) {
		cutOff("stream", 200, second)(h)
		h.Sendings[0].ResetAt = h.Sendings[0].EndedAt
	}},
	{"a stream of two runs on another route", Order, streamOf("id: 1\ndata: x a\n\nid: 2\ndata: y end\n\n", "once", true)},
	{"three crashes, then three retries", "", func(h *history.History) {
		crashes(h, 3, 0, second)
		crashes(h, 3, 10*second, second)
	}},
	{"three crashes, then four retries", Budget, func(h *history.History) {
		crashes(h, 3, 0, second)
		crashes(h, 4, 10*second, second)
	}},
	{"many crashes at once, before relays can know", "", func(h *history.History) {
		h.Bounds.RetryWindow = 0
		crashes(h, 12, 0, second/10)
	}},
	{"four retries by a relay that was just killed", "", func(h *history.History) {
		crashes(h, 3, 0, second)
		crashes(h, 4, 10*second, second/2)
		h.Faults = []history.Fault{{Kind: history.Kill, Target: "front", From: 9 * second, To: 9 * second}}
	}},
	{"four retries while the controllers are frozen", "", func(h *history.History) {
		crashes(h, 3, 0, second)
		crashes(h, 4, 10*second, second/2)
		h.Faults = []history.Fault{{Kind: history.Freeze, Target: "core", From: 9 * second, To: 13 * second}}
	}},
	{"requests on more back ends than their route allows", Budget, onThreeBackEnds(4)},
	{"tolerated requests on more back ends", "", onThreeBackEnds(3)},
	{"more retries than the budget allows", Budget, func(h *history.History) { addRetriedRequests(h, 8, second/10) }},
	{"as many retries over a longer time", "", func(h *history.History) { addRetriedRequests(h, 8, 3*second) }},
	{"two holders with the same token", One, ordersOf(history.Order{Holder: "a", Fence: 1}, history.Order{Holder: "b", Fence: 1, At: 9 * second})},
	{"a lower token after a higher one", One, ordersOf(history.Order{Holder: "a", Fence: 2}, history.Order{Holder: "b", Fence: 1, At: 9 * second})},
	{"holders that alternate within the lease", One, ordersOf(history.Order{Holder: "a", Fence: 1}, history.Order{Holder: "b", Fence: 2, At: second}, history.Order{Holder: "a", Fence: 3, At: 2 * second})},
	{"holders that alternate after the lease", "", ordersOf(history.Order{Holder: "a", Fence: 1}, history.Order{Holder: "b", Fence: 2, At: 4 * second}, history.Order{Holder: "a", Fence: 3, At: 8 * second})},
	{"a successor", "", ordersOf(history.Order{Holder: "a", Fence: 1}, history.Order{Holder: "b", Fence: 2, At: second}, history.Order{Holder: "b", Fence: 2, At: 2 * second})},
	{"a planned stop cuts off a request", Lost, cutConnectionBy(history.Terminate, "front")},
	{"a client that gets no connection to a stopping relay", "", func(h *history.History) {
		cutBy(history.Terminate, "front")(h)
		h.Arrivals, h.Sendings[0].Connected = nil, false
	}},
	{"a kill cuts off a request", "", cutBy(history.Kill, "front")},
	{"a request cut off during a planned stop of another relay", "", cutBy(history.Terminate, "other")},
	{"a stopping relay that closes a connection without a response", Lost, unanswered(history.Terminate, "front", second/100)},
	{"no response without a connection to a stopping relay", "", func(h *history.History) {
		unanswered(history.Terminate, "front", second/100)(h)
		h.Sendings[0].Connected = false
	}},
	{"no response from a relay that is killed", "", unanswered(history.Kill, "front", second/100)},
	{"no response while another relay stops", "", unanswered(history.Terminate, "other", second/100)},
	{"no response from a stopping relay that also reloads its settings", Lost, func(h *history.History) {
		unanswered(history.Terminate, "front", second/100)(h)
		h.Faults = append(h.Faults, history.Fault{Kind: history.Reload, Target: "front", From: 5 * second, To: 5 * second})
	}},
	{"no response from a stopping relay that freezes", "", func(h *history.History) {
		unanswered(history.Terminate, "front", second/100)(h)
		h.Faults = append(h.Faults, history.Fault{Kind: history.Freeze, Target: "front", From: 5 * second, To: 6 * second})
	}},
	{"no response from a stopping relay of another build", "", func(h *history.History) {
		unanswered(history.Terminate, "front", second/100)(h)
		h.Faults[0].OtherBuild = true
	}},
	{"a request that a stopping relay aborts at the end of its grace", "", unanswered(history.Terminate, "front", 4*second)},
	{"a request that a back end received and that is cut off without a response", Lost, cutOff("safe", 0, second/100)},
	{"a request that is cut off without a response long after it was sent", Lost, func(h *history.History) {
		cutOff("safe", 0, second/2)(h)
		h.Arrivals = nil
	}},
	{"a request that is cut off before a relay must have read it", "", func(h *history.History) {
		cutOff("safe", 0, second/100)(h)
		h.Arrivals = nil
	}},
	{"a request without a response whose client has left", "", func(h *history.History) {
		cutOff("safe", 0, second/2)(h)
		h.Sendings[0].ClosedAt = h.Sendings[0].EndedAt
	}},
	{"a request that is cut off at its deadline", "", cutOff("safe", 0, second)},
	{"a request that is cut off and sent again", Lost, func(h *history.History) {
		cutOff("safe", 200, second/2)(h)
		h.Sendings[0].ResentAt, h.Sendings[0].Whole = h.Sendings[0].SentAt+second/4, true
	}},
	{"a request that is sent again before a relay must have read it", "", func(h *history.History) {
		cutOff("safe", 200, second/2)(h)
		h.Sendings[0].ResentAt, h.Sendings[0].Whole = h.Sendings[0].SentAt+second/100, true
		h.Arrivals[0].At = h.Sendings[0].ResentAt
	}},
	{"a stream that is cut off while its back end stands still", Lost, withFaults(cutOff("stream", 200, second), history.Fault{Kind: history.StandStill, Target: "x", From: 5 * second, To: 7 * second})},
	{"a stream that is cut off while its relay stops and its back end stands still", Lost, withFaults(cutOff("stream", 200, second),
		history.Fault{Kind: history.StandStill, Target: "x", From: 5 * second, To: 7 * second}, history.Fault{Kind: history.Terminate, Target: "front", From: 5 * second, To: 7 * second})},
	{"a stream that is cut off while its relay reloads", Lost, withFaults(cutOff("stream", 200, second), history.Fault{Kind: history.Reload, Target: "front", From: 5 * second, To: 5 * second})},
	{"a stream that is cut off while another back end crashes", Lost, withFaults(cutOff("stream", 200, second), history.Fault{Kind: history.Crash, Target: "y", From: 5 * second, To: 7 * second})},
	{"a forwarded stream that ends when another relay is killed", "", cutOffAtKill(func(*history.History) {})},
	{"a stream that is cut off when a controller is killed", Lost, cutOffAtKill(func(h *history.History) { h.Faults[0].Target = "core" })},
	{"a stream that is cut off when another relay is asked to stop", Lost, cutOffAtKill(func(h *history.History) { h.Faults[0].Kind = history.Terminate })},
	{"a stream that is cut off after another relay is killed, at a back end that has lost no connection", Lost, cutOffAtKill(func(h *history.History) { h.Arrivals[0].Cancelled = false })},
	{"a stream that is cut off long after another relay is killed", Lost, cutOffAtKill(func(h *history.History) { h.Faults[0].From -= second / 10 })},
	{"a stream that is cut off before another relay is killed", Lost, cutOffAtKill(func(h *history.History) { h.Faults[0].From += second / 50 })},
	{"a stream that is sent to its back end after another relay is killed", Lost, cutOffAtKill(func(h *history.History) { h.Arrivals[0].At = h.Faults[0].From + 1 })},
	{"a plain request that is cut off without a response when another relay is killed", Lost, cutOffAtKill(func(h *history.History) {
		h.Sendings[0].Status, h.Sendings[0].Seal, h.Sendings[0].AnswerID, h.Sendings[0].Body = 0, "", "", ""
	})},
	{"a stream whose client leaves meanwhile", "", func(h *history.History) {
		cutOff("stream", 200, second)(h)
		h.Sendings[0].LeftAt = h.Sendings[0].EndedAt
	}},
	{"a stream that is cut off at its deadline", "", cutOff("stream", 200, 6*second)},
	{"a stream whose back end crashes", "", withFaults(cutOff("stream", 200, second), history.Fault{Kind: history.Crash, Target: "x", From: 5 * second, To: 7 * second})},
	{"a stream whose back end is crashed by another request", "", func(h *history.History) {
		cutOff("stream", 200, second)(h)
		h.Sendings = append(h.Sendings, changedSending(request("2", "safe", 5*second), func(s *history.Sending) { s.Status, s.Seal = 502, "" }))
		h.Arrivals = append(h.Arrivals, changedArrival(ranAt("2", "x", 5*second), setCrashed))
	}},
	{"a stream whose connections to the back end are reset", "", withFaults(cutOff("stream", 200, second), history.Fault{Kind: history.Reset, Target: "x", From: 5 * second, To: 5 * second})},
	{"a stream that is cut off while its relay freezes", "", withFaults(cutOff("stream", 200, second), history.Fault{Kind: history.Freeze, Target: "front", From: 5 * second, To: 7 * second})},
	{"a stream that is cut off soon after a freeze of its relay", "", withFaults(cutOff("stream", 200, second), history.Fault{Kind: history.Freeze, Target: "front", From: second, To: 3 * second})},
	{"a stream that is cut off long after a freeze of its relay", Lost, withFaults(cutOff("stream", 200, second), history.Fault{Kind: history.Freeze, Target: "front", From: second, To: 3 * second / 2})},
	{"a stream that is cut off at the end of its relay's grace", "", withFaults(cutOff("stream", 200, 4*second), history.Fault{Kind: history.Terminate, Target: "front", From: 5 * second, To: 9 * second})},
	{"a stream that is cut off while a relay of another build stops", "", withFaults(cutOff("stream", 200, second), history.Fault{Kind: history.Terminate, Target: "front", OtherBuild: true, From: 5 * second, To: 7 * second})},
	{"a request without an answer long after its deadline", Lost, cutOff("safe", 0, 2*second)},
	{"a request without an answer long after its deadline from a relay that was killed", "", withFaults(cutOff("safe", 0, 2*second), history.Fault{Kind: history.Kill, Target: "front", From: 5 * second, To: 6 * second})},
	{"a request refused long after its deadline", "", func(h *history.History) {
		cutOff("safe", 503, 2*second)(h)
		h.Sendings[0].Whole, h.Sendings[0].AnsweredAt = true, h.Sendings[0].EndedAt
		h.Arrivals = nil
	}},
	{"a stop cuts off a request while another back end stands still", Lost, func(h *history.History) {
		cutConnectionBy(history.Terminate, "front")(h)
		h.Faults = append(h.Faults, history.Fault{Kind: history.StandStill, Target: "x", From: 4 * second, To: 6 * second})
	}},
	{"a request that a back end which stood still received late", "", withFaults(listedAsLeaving(4*second), history.Fault{Kind: history.StandStill, Target: "x", From: 2 * second, To: 4 * second})},
	{"a request that a back end received late, long after it stood still", Drain, withFaults(listedAsLeaving(5*second), history.Fault{Kind: history.StandStill, Target: "x", From: second / 2, To: second})},
	{"back ends that stand still keep working for clients that have left", "", withFaults(abandoned(2*second), history.Fault{Kind: history.StandStill, Target: "x", From: second / 2, To: 2 * second})},
	{"a configuration that is gone at the end", Lost, func(h *history.History) {
		h.Changes = []history.Change{{Number: 7, SentAt: second, AckedAt: 2 * second}}
		h.Reads = []history.Read{{SentAt: 3 * second, At: 3 * second, Status: 200, Number: 5}}
	}},
	{"a request long after a back end was listed as leaving", Drain, listedAsLeaving(4 * second)},
	{"a request soon after a back end was listed as leaving", "", listedAsLeaving(2 * second)},
	{"a request to the service of an older configuration", Config, reconfigured(5 * second)},
	{"a request before the new configuration must be applied", "", reconfigured(3 * second)},
	{"an old configuration is read", Config, func(h *history.History) {
		h.Changes = []history.Change{{Number: 7, SentAt: second, AckedAt: second}}
		h.Reads = []history.Read{{SentAt: 4 * second, At: 4 * second, Status: 200, Number: 5}, {SentAt: 5 * second, At: 5 * second, Status: 200, Number: 7}}
	}},
	{"an invalid configuration is acknowledged", Config, func(h *history.History) {
		h.Changes = []history.Change{{Number: 7, SentAt: second, AckedAt: second, Invalid: true}}
		h.Reads = []history.Read{{SentAt: 2 * second, At: 2 * second, Status: 200, Number: 7}}
	}},
	{"requests without a response long after their timeout", Config, outlastingBy(2 * second)},
	{"requests that end at their timeout", "", outlastingBy(second)},
	{"requests whose relay freezes just after it received them", "", func(h *history.History) {
		outlastingBy(4 * second)(h)
		h.Faults = []history.Fault{{Kind: history.Freeze, Target: "front", From: second / 10, To: 4 * second}}
	}},
	{"back ends keep working for clients that have left", Gone, abandoned(2 * second)},
	{"back ends stop soon after clients have left", "", abandoned(second / 4)},
	{"requests reach back ends after their clients have left", Gone, func(h *history.History) {
		for number := range 5 {
			id := fmt.Sprint(number)
			h.Sendings = append(h.Sendings, changedSending(request(id, "safe", 0), func(s *history.Sending) { s.ClosedAt, s.Status = second, 0 }))
			h.Arrivals = append(h.Arrivals, ranAt(id, "x", 2*second))
		}
	}},
	{"three requests to a back end in backoff", Budget, inBackoff(3, 2*second/3, "front")},
	{"two requests to a back end in backoff", "", inBackoff(2, 2*second/3, "front")},
	{"three requests just after backoff was asked for", "", inBackoff(3, second/10, "front")},
	{"three requests after the backoff", "", inBackoff(3, 4*second, "front")},
	{"three requests from a relay that was not asked for backoff", "", inBackoff(3, 2*second/3, "other")},
	{"three requests during backoff from a relay that was killed", "", func(h *history.History) {
		inBackoff(3, 2*second/3, "front")(h)
		h.Faults = []history.Fault{{Kind: history.Kill, Target: "front", From: second / 2, To: second / 2}}
	}},
	{"three requests during backoff from a relay that only reloaded", Budget, func(h *history.History) {
		inBackoff(3, 2*second/3, "front")(h)
		h.Faults = []history.Fault{{Kind: history.Reload, Target: "front", From: second / 2, To: second / 2}}
	}},
	{"a request long after a back end announced that it leaves", Drain, announcedToLeave(4*second, "front")},
	{"a request soon after a back end announced that it leaves", "", announcedToLeave(2*second, "front")},
	{"a request from a relay that did not receive the announcement", "", announcedToLeave(4*second, "other")},
	{"a request from a relay that was frozen since", "", func(h *history.History) {
		announcedToLeave(4*second, "front")(h)
		h.Faults = []history.Fault{{Kind: history.Freeze, Target: "front", From: 2 * second, To: 3 * second}}
	}},
	{"more requests than a limit allows", Limit, limited(1, 5, 13, "front", "other")},
	{"as many requests as a limit allows", "", limited(1, 5, 8, "front", "other")},
	{"more requests from relays that did not receive the limit", "", limited(1, 5, 13, "front", "front")},
	{"more requests soon after the limit was announced", "", limited(1, second.Seconds(), 13, "front", "other")},
	{"more requests from a relay that was killed since", "", func(h *history.History) {
		limited(1, 5, 13, "front", "other")(h)
		for _, front := range []string{"front", "other"} {
			h.Faults = append(h.Faults, history.Fault{Kind: history.Kill, Target: front, From: 3 * second, To: 3 * second})
		}
	}},
	{"more requests after the limit was withdrawn", "", func(h *history.History) {
		limited(1, 5, 13, "front", "other")(h)
		h.Limits = append(h.Limits, history.Limit{Replica: "x", At: 4 * second})
	}},
	{"more requests while the limit was larger", "", func(h *history.History) {
		limited(1, 5, 13, "front", "other")(h)
		h.Limits = append(h.Limits, history.Limit{Replica: "x", At: 3 * second, Named: true, PerSecond: 6})
	}},
	{"as many requests as a larger limit allowed before", Limit, func(h *history.History) {
		limited(6, 9, 14, "front", "other")(h)
		h.Limits = append(h.Limits, history.Limit{Replica: "x", At: 4 * second, Named: true, PerSecond: 1})
	}},
	{"a request to an address that only another writer lists", Route, func(h *history.History) {
		h.Sendings = []history.Sending{request("1", "safe", 0)}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0), changedArrival(ranAt("1", "odd", 0), func(a *history.Arrival) { a.Service, a.Ran = history.NoService, false })}
	}},
	{"a refusal of the service with few slots that promises not run, and it ran", Refused, func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", "unsafe", 0), func(s *history.Sending) {
			s.Status, s.Seal, s.Tenant, s.RetryAfter = 429, "", "small", second
		})}
		h.Arrivals = []history.Arrival{ranAt("1", "x", second/10)}
	}},
	{"a small tenant of which nothing is served", Starved, competing(0, 12)},
	{"a small tenant of which something is served", "", competing(1, 12)},
	{"a small tenant of which less is served than must be", Starved, func(h *history.History) {
		competing(10, 12)(h)
		h.Bounds.TenantShare = 0.9
	}},
	{"a small tenant of which as much is served as must be", "", func(h *history.History) {
		competing(11, 12)(h)
		h.Bounds.TenantShare = 0.9
	}},
	{"a tenant that asks for more than its share", "", competing(0, 31)},
	{"a small tenant whose relay is frozen", "", func(h *history.History) {
		competing(0, 12)(h)
		h.Faults = []history.Fault{{Kind: history.Freeze, Target: "front", From: 0, To: 4 * second}}
	}},
	{"returns as told that are not served", Return, returning(20, 17, 0.9)},
	{"returns as told that are served", "", returning(20, 18, 0.9)},
	{"returns as told that are not served and only counted", "", returning(20, 0, 0)},
	{"too few returns as told", Return, returning(19, 19, 0.9)},
	{"unserved returns after a fault of the owner of the slots", Return, func(h *history.History) {
		returning(20, 0, 0.9)(h) // none of them counts, so that too few do
		h.Faults = []history.Fault{{Kind: history.Kill, Target: "owner", From: second / 2, To: second}}
	}},
	{"unserved returns that are late, beside served ones in time", "", func(h *history.History) {
		returning(25, 20, 0.9)(h)
		for index := 20; index < 25; index++ {
			h.Sendings[index].SentAt = h.Sendings[index].DueAt + second/2
		}
	}},
	{"unserved returns during a fault of their relay, beside served ones at others", "", func(h *history.History) {
		returning(25, 20, 0.9)(h)
		for index := 20; index < 25; index++ {
			h.Sendings[index].Front = "other"
		}
		h.Faults = []history.Fault{{Kind: history.Cut, Target: "other", From: second / 2, To: second}}
	}},
	{"relays that are cut off from back ends serve nothing", Recover, cutOffRelay(0, 100, 4*second)},
	{"relays that are cut off from back ends serve less than two thirds as often", Recover, cutOffRelay(65, 100, 4*second)},
	{"relays that are cut off from back ends serve two thirds as often", "", cutOffRelay(67, 100, 4*second)},
	{"relays that are cut off from back ends fail as seldom as is tolerated", "", cutOffRelay(1, 11, 4*second)},
	{"relays that are cut off from back ends fail more often than is tolerated", Recover, cutOffRelay(1, 12, 4*second)},
	{"relays that have just been cut off serve nothing", "", cutOffRelay(0, 100, 2*second)},
	{"relays that were cut off before serve nothing", "", cutOffRelay(0, 100, 11*second)},
	{"relays that are cut off and refuse connections", Recover, func(h *history.History) {
		cutOffRelay(0, 100, 4*second)(h)
		for index := range h.Sendings {
			if h.Sendings[index].Front == "front" {
				h.Sendings[index].Status, h.Sendings[index].Connected = 0, false
			}
		}
	}},
	{"relays that are cut off serve nothing to clients that left", "", func(h *history.History) {
		cutOffRelay(0, 100, 4*second)(h)
		for index := range h.Sendings {
			if h.Sendings[index].Front == "front" {
				h.Sendings[index].ClosedAt = h.Sendings[index].EndedAt
			}
		}
	}},
	{"relays that are cut off and were just killed serve nothing", "", withFaults(cutOffRelay(0, 100, 4*second), history.Fault{Kind: history.Kill, Target: "front", From: 11 * second, To: 12 * second})},
	{"relays that are cut off serve nothing while the controllers restart", "", withFaults(cutOffRelay(0, 100, 4*second), history.Fault{Kind: history.Kill, Target: "core", From: 11 * second, To: 12 * second})},
	{"all relays are cut off and serve nothing", "", withFaults(cutOffRelay(0, 100, 4*second), history.Fault{Kind: history.CutFromBackEnds, Target: "other", From: 10 * second, To: 20 * second})},
	{"relays that are cut off from controllers serve nothing", "", func(h *history.History) {
		cutOffRelay(0, 100, 4*second)(h)
		h.Faults[0].Kind = history.Cut
	}},
	{"two cuts together in which too few tries are served", Recover, func(h *history.History) {
		cutOffRelay(0, 9, 4*second)(h)
		cutOffRelay(0, 9, 34*second)(h)
		h.Faults[1].From, h.Faults[1].To = 40*second, 50*second
	}},
	{"relays that are cut off serve nothing of what tenants send again", "", func(h *history.History) {
		cutOffRelay(0, 100, 4*second)(h)
		for index := range h.Sendings {
			if h.Sendings[index].Front == "front" {
				h.Sendings[index].Request = "same"
			}
		}
	}},
	{"a relay that is cut off from back ends gives no answer", Lost, withFaults(cutOff("safe", 0, second/10), history.Fault{Kind: history.CutFromBackEnds, Target: "front", From: 4 * second, To: 9 * second})},
	{"a relay that is cut off from back ends gives no answer until long after the deadline", Lost, withFaults(cutOff("safe", 0, 2*second), history.Fault{Kind: history.CutFromBackEnds, Target: "front", From: 4 * second, To: 9 * second})},
	{"a stopping relay that is cut off from back ends gives no answer", Lost, withFaults(unanswered(history.Terminate, "front", second/100), history.Fault{Kind: history.CutFromBackEnds, Target: "front", From: 4 * second, To: 9 * second})},
	{"a stream that is cut off while its relay is cut off from back ends", "", withFaults(cutOff("stream", 200, second), history.Fault{Kind: history.CutFromBackEnds, Target: "front", From: 4 * second, To: 9 * second})},
	{"three prompts with a deadly part after the fifth crash", "", deadlyPrompts(3, 20)},
	{"four prompts with a deadly part after the fifth crash", Budget, deadlyPrompts(4, 20)},
	{"sound prompts beside deadly ones are served half as often", "", deadlyPrompts(0, 15)},
	{"sound prompts beside deadly ones are served seldom", Lost, deadlyPrompts(0, 14)},
	{"three quarters are served while most new connections go to one relay", "", hotRelay(30)},
	{"few are served while most new connections go to one relay", Recover, hotRelay(29)},
	{"few are served while most new connections go to one relay for a short time", "", func(h *history.History) {
		hotRelay(0)(h)
		h.Faults[0].To = h.Faults[0].From + 3*second
	}},
	{"no configuration is returned at the end", Config, func(h *history.History) {
		h.Changes = []history.Change{{Number: 1, SentAt: 0, AckedAt: second}}
		h.Reads = []history.Read{{Number: 1, Status: 200, SentAt: 2 * second, At: 2 * second}, {Status: 503, SentAt: 9 * second, At: 9 * second}}
	}},
	{"nothing is served after the last fault", Recover, recovering(0)},
	{"three of ten requests are served after the last fault", "", recovering(3)},
}

func TestEachRowBreaksOnlyItsRule(t *testing.T) {
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			findings := All(historyWith(row.change))
			if row.rule == "" {
				require.Empty(t, findings)
				return
			}
			require.NotEmpty(t, findings)
			for _, finding := range findings {
				require.Equal(t, row.rule, finding.Rule, finding)
			}
		})
	}
}

func TestEveryRuleHasARowThatBreaksIt(t *testing.T) {
	broken := map[Rule]bool{}
	for _, row := range rows {
		broken[row.rule] = true
	}
	for _, rule := range []Rule{Mixed, Twice, Refused, Unasked, Order, Lost, Drain, Config, Budget, One, Gone, Recover, Route, Limit, Starved, Return} {
		require.True(t, broken[rule], rule)
	}
}
