package check

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const second = time.Second

// seen is a history with the usual bounds and routes, changed by a row of a table.
func seen(change func(*history.History)) *history.History {
	made := &history.History{
		Bounds: history.Bounds{
			Contact: 3 * second, LossSlack: second / 20, ConfigApply: 2 * second, Drain: 3 * second, Lease: 3 * second, Recovery: 12 * second,
			RetryRatio: 0.2, RetryWindow: 10 * second, RetrySlack: 5,
		},
		Routes: map[string]history.Route{
			"safe":   {Repeatable: true, MaxAttempts: 2, Timeout: second},
			"unsafe": {MaxAttempts: 2, Timeout: second},
			"stream": {Repeatable: true, Stream: true, Resumable: true, MaxAttempts: 2, Timeout: 6 * second},
			"once":   {Stream: true, MaxAttempts: 1, Timeout: 6 * second},
		},
		Controllers: map[string]bool{"core": true},
	}
	change(made)
	return made
}

// request is an attempt with the usual answer.
func request(id, route string, at time.Duration) history.Sending {
	return history.Sending{
		ID: id, Content: "c-" + id, Route: route, Method: "GET", Target: "/", Front: "front", SentAt: at, EndedAt: at + second/10,
		Deadline: second, Status: 200, Seal: "s", Body: "b", AnswerID: id, Whole: true,
	}
}

// ranAt is a back end's run of a request.
func ranAt(id, replica string, at time.Duration) history.Arrival {
	return history.Arrival{
		ID: id, Replica: replica, Service: "a", Machine: "front", At: at, Method: "GET", Target: "/", Ran: true, EndedAt: at + second/10,
		Status: 200, Seal: "s", Body: "b",
	}
}

// sentAnd changes a request.
func sentAnd(sending history.Sending, change func(*history.Sending)) history.Sending {
	change(&sending)
	return sending
}

// ranAnd changes a run.
func ranAnd(arrival history.Arrival, change func(*history.Arrival)) history.Arrival {
	change(&arrival)
	return arrival
}

func crashed(arrival *history.Arrival) { arrival.Crashed, arrival.Status = true, 0 }

// crashes are runs of one request under identities of their own, each of which ends its back end.
func crashes(made *history.History, count int, from, step time.Duration) {
	for number := range count {
		id := fmt.Sprint("poison-", len(made.Sendings))
		at := from + time.Duration(number)*step
		made.Sendings = append(made.Sendings, sentAnd(request(id, "safe", at), func(s *history.Sending) { s.Content, s.Status, s.Seal = "poison", 502, "" }))
		made.Arrivals = append(made.Arrivals, ranAnd(ranAt(id, fmt.Sprint("replica-", id), at), crashed))
	}
}

// rows are histories that break a rule, or just do not.
var rows = []struct {
	name   string
	rule   Rule // empty for none
	change func(*history.History)
}{
	{"a whole answer of its own back end", "", func(h *history.History) {
		h.Sendings = []history.Sending{request("1", "safe", 0)}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0)}
	}},
	{"the answer to another request", Mixed, func(h *history.History) {
		h.Sendings = []history.Sending{sentAnd(request("1", "safe", 0), func(s *history.Sending) { s.AnswerID = "2" })}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0)}
	}},
	{"a success without a seal", Mixed, func(h *history.History) {
		h.Sendings = []history.Sending{sentAnd(request("1", "safe", 0), func(s *history.Sending) { s.Seal = "" })}
	}},
	{"a body that no back end made", Mixed, func(h *history.History) {
		h.Sendings = []history.Sending{sentAnd(request("1", "safe", 0), func(s *history.Sending) { s.Body = "other" })}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0)}
	}},
	{"a failure with another status than its back end's", Mixed, func(h *history.History) {
		h.Sendings = []history.Sending{sentAnd(request("1", "safe", 0), func(s *history.Sending) { s.Status = 500 })}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0)}
	}},
	{"an answer that breaks off", "", func(h *history.History) {
		h.Sendings = []history.Sending{sentAnd(request("1", "safe", 0), func(s *history.Sending) { s.Body, s.Whole = "ot", false })}
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
		h.Arrivals = []history.Arrival{ranAnd(ranAt("1", "x", 0), func(a *history.Arrival) { a.Ran, a.Status = false, 503 }), ranAt("1", "y", second)}
	}},
	{"refused as not run, and it ran", Refused, func(h *history.History) {
		h.Sendings = []history.Sending{sentAnd(request("1", "unsafe", 0), func(s *history.Sending) { s.Status, s.Seal = 503, "" })}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 5*second)}
	}},
	{"failed without a promise, and it ran", "", func(h *history.History) {
		h.Sendings = []history.Sending{sentAnd(request("1", "unsafe", 0), func(s *history.Sending) { s.Status, s.Seal = 502, "" })}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0)}
	}},
	{"a request that nobody sent", Unasked, func(h *history.History) { h.Arrivals = []history.Arrival{ranAt("1", "x", 0)} }},
	{"a request with another body", Unasked, func(h *history.History) {
		h.Sendings = []history.Sending{request("1", "safe", 0)}
		h.Arrivals = []history.Arrival{ranAnd(ranAt("1", "x", 0), func(a *history.Arrival) { a.BodyHash = "other" })}
	}},
	{"a whole stream", "", streamOf("id: 1\ndata: x a\n\nid: 2\ndata: x end\n\n", "stream", true)},
	{"a stream that lacks an event", Order, streamOf("id: 1\ndata: x a\n\nid: 3\ndata: x end\n\n", "stream", true)},
	{"a stream with an event twice", Order, streamOf("id: 1\ndata: x a\n\nid: 1\ndata: x a\n\nid: 2\ndata: x end\n\n", "stream", true)},
	{"a stream that ends too early as whole", Order, streamOf("id: 1\ndata: x a\n\n", "stream", true)},
	{"a stream that is cut", "", streamOf("id: 1\ndata: x a\n\nid: 2\nda", "stream", false)},
	{"two runs joined where that is allowed", "", streamOf("id: 1\ndata: x a\n\nid: 2\ndata: y end\n\n", "stream", true)},
	{"two runs joined where it is not", Order, streamOf("id: 1\ndata: x a\n\nid: 2\ndata: y end\n\n", "once", true)},
	{"three back ends end, and three retries reach others later", "", func(h *history.History) {
		crashes(h, 3, 0, second)
		crashes(h, 3, 10*second, second)
	}},
	{"a fourth retry", Budget, func(h *history.History) {
		crashes(h, 3, 0, second)
		crashes(h, 4, 10*second, second)
	}},
	{"many at once, before anybody can know", "", func(h *history.History) {
		h.Bounds.RetryWindow = 0
		crashes(h, 12, 0, second/10)
	}},
	{"a fourth retry by a relay that was killed just before", "", func(h *history.History) {
		crashes(h, 3, 0, second)
		crashes(h, 4, 10*second, second/2)
		h.Faults = []history.Fault{{Kind: history.Kill, Target: "front", From: 9 * second, To: 9 * second}}
	}},
	{"four retries while the controllers are away", "", func(h *history.History) {
		crashes(h, 3, 0, second)
		crashes(h, 4, 10*second, second/2)
		h.Faults = []history.Fault{{Kind: history.Freeze, Target: "core", From: 9 * second, To: 13 * second}}
	}},
	{"requests on more back ends than their route allows", Budget, attempted(4)},
	{"few of them", "", attempted(3)},
	{"more sendings beyond the first than the budget", Budget, func(h *history.History) { sendingsAgain(h, 8, second/10) }},
	{"as many over a longer time", "", func(h *history.History) { sendingsAgain(h, 8, 3*second) }},
	{"two holders with one token", One, ordersOf(history.Order{Holder: "a", Fence: 1}, history.Order{Holder: "b", Fence: 1, At: 9 * second})},
	{"a lower token after a higher one", One, ordersOf(history.Order{Holder: "a", Fence: 2}, history.Order{Holder: "b", Fence: 1, At: 9 * second})},
	{"holders that take turns", One, ordersOf(history.Order{Holder: "a", Fence: 1}, history.Order{Holder: "b", Fence: 2, At: second}, history.Order{Holder: "a", Fence: 3, At: 2 * second})},
	{"holders that take turns after the lease", "", ordersOf(history.Order{Holder: "a", Fence: 1}, history.Order{Holder: "b", Fence: 2, At: 4 * second}, history.Order{Holder: "a", Fence: 3, At: 8 * second})},
	{"a successor", "", ordersOf(history.Order{Holder: "a", Fence: 1}, history.Order{Holder: "b", Fence: 2, At: second}, history.Order{Holder: "b", Fence: 2, At: 2 * second})},
	{"a planned stop cuts a request", Lost, cutBy(history.Terminate, "front")},
	{"a kill cuts a request", "", cutBy(history.Kill, "front")},
	{"a planned stop of another relay", "", cutBy(history.Terminate, "other")},
	{"a configuration that is gone at the end", Lost, func(h *history.History) {
		h.Changes = []history.Change{{Number: 7, SentAt: second, AckedAt: 2 * second}}
		h.Reads = []history.Read{{SentAt: 3 * second, At: 3 * second, Status: 200, Number: 5}}
	}},
	{"new work long after a back end was listed as leaving", Drain, leaving(4 * second)},
	{"new work soon after", "", leaving(2 * second)},
	{"a request at the service of an older configuration", Config, reconfigured(5 * second)},
	{"a request before the new one must be in force", "", reconfigured(3 * second)},
	{"an old configuration is read", Config, func(h *history.History) {
		h.Changes = []history.Change{{Number: 7, SentAt: second, AckedAt: second}}
		h.Reads = []history.Read{{SentAt: 4 * second, At: 4 * second, Status: 200, Number: 5}, {SentAt: 5 * second, At: 5 * second, Status: 200, Number: 7}}
	}},
	{"an invalid configuration is taken", Config, func(h *history.History) {
		h.Changes = []history.Change{{Number: 7, SentAt: second, AckedAt: second, Invalid: true}}
		h.Reads = []history.Read{{SentAt: 2 * second, At: 2 * second, Status: 200, Number: 7}}
	}},
	{"requests that outlast their time without an answer", Config, outlastingBy(2 * second)},
	{"requests that end with their time", "", outlastingBy(second)},
	{"requests whose relay freezes just after it took them", "", func(h *history.History) {
		outlastingBy(4 * second)(h)
		h.Faults = []history.Fault{{Kind: history.Freeze, Target: "front", From: second / 10, To: 4 * second}}
	}},
	{"back ends work on for clients that have left", Gone, left(2 * second)},
	{"back ends stop soon", "", left(second / 4)},
	{"requests reach back ends after their clients have left", Gone, func(h *history.History) {
		for number := range 5 {
			id := fmt.Sprint(number)
			h.Sendings = append(h.Sendings, sentAnd(request(id, "safe", 0), func(s *history.Sending) { s.ClosedAt, s.Status = second, 0 }))
			h.Arrivals = append(h.Arrivals, ranAt(id, "x", 2*second))
		}
	}},
	{"three requests in a rest that was asked for", Budget, resting(3, 2*second/3, "front")},
	{"two of them", "", resting(2, 2*second/3, "front")},
	{"three within the first half second", "", resting(3, second/10, "front")},
	{"three after the rest", "", resting(3, 4*second, "front")},
	{"three of a relay that was not asked", "", resting(3, 2*second/3, "other")},
	{"three of a relay that was killed meanwhile", "", func(h *history.History) {
		resting(3, 2*second/3, "front")(h)
		h.Faults = []history.Fault{{Kind: history.Kill, Target: "front", From: second / 2, To: second / 2}}
	}},
	{"three by a relay that only read its settings again", Budget, func(h *history.History) {
		resting(3, 2*second/3, "front")(h)
		h.Faults = []history.Fault{{Kind: history.Reload, Target: "front", From: second / 2, To: second / 2}}
	}},
	{"new work long after a back end said that it leaves", Drain, saidToLeave(4*second, "front")},
	{"new work soon after that", "", saidToLeave(2*second, "front")},
	{"new work from a relay that was not told", "", saidToLeave(4*second, "other")},
	{"new work from a relay that was frozen since", "", func(h *history.History) {
		saidToLeave(4*second, "front")(h)
		h.Faults = []history.Fault{{Kind: history.Freeze, Target: "front", From: 2 * second, To: 3 * second}}
	}},
	{"more requests than a limit allows", Limit, limited(1, 5, 13, "front", "other")},
	{"as many as it allows", "", limited(1, 5, 8, "front", "other")},
	{"more, of relays that were not told", "", limited(1, 5, 13, "front", "front")},
	{"more, soon after it was named", "", limited(1, second.Seconds(), 13, "front", "other")},
	{"more, of a relay that was killed since", "", func(h *history.History) {
		limited(1, 5, 13, "front", "other")(h)
		for _, front := range []string{"front", "other"} {
			h.Faults = append(h.Faults, history.Fault{Kind: history.Kill, Target: front, From: 3 * second, To: 3 * second})
		}
	}},
	{"more, once none is named any more", "", func(h *history.History) {
		limited(1, 5, 13, "front", "other")(h)
		h.Limits = append(h.Limits, history.Limit{Replica: "x", At: 4 * second})
	}},
	{"more, while the limit was larger", "", func(h *history.History) {
		limited(1, 5, 13, "front", "other")(h)
		h.Limits = append(h.Limits, history.Limit{Replica: "x", At: 3 * second, Named: true, PerSecond: 6})
	}},
	{"as many as a larger limit allowed before", Limit, func(h *history.History) {
		limited(6, 9, 14, "front", "other")(h)
		h.Limits = append(h.Limits, history.Limit{Replica: "x", At: 4 * second, Named: true, PerSecond: 1})
	}},
	{"a request at a place that only another writer names", Route, func(h *history.History) {
		h.Sendings = []history.Sending{request("1", "safe", 0)}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0), ranAnd(ranAt("1", "odd", 0), func(a *history.Arrival) { a.Service, a.Ran = history.NoService, false })}
	}},
	{"nothing is served after the last fault", Recover, recovering(0)},
	{"a third is served", "", recovering(3)},
}

func streamOf(body, route string, whole bool) func(*history.History) {
	return func(h *history.History) {
		h.Sendings = []history.Sending{sentAnd(request("1", route, 0), func(s *history.Sending) { s.Body, s.Whole = body, whole })}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0)}
	}
}

func attempted(requests int) func(*history.History) {
	return func(h *history.History) {
		h.Bounds.RetryWindow = 0
		for number := range requests {
			id := fmt.Sprint(number)
			h.Sendings = append(h.Sendings, request(id, "safe", 0))
			h.Arrivals = append(h.Arrivals, ranAt(id, "x", 0), ranAt(id, "y", 0), ranAt(id, "z", 0))
		}
	}
}

func sendingsAgain(h *history.History, count int, step time.Duration) {
	for number := range count {
		id, at := fmt.Sprint(number), time.Duration(number)*step
		h.Sendings = append(h.Sendings, request(id, "safe", at))
		h.Arrivals = append(h.Arrivals, ranAt(id, "x", at), ranAt(id, "y", at))
	}
}

func ordersOf(orders ...history.Order) func(*history.History) {
	return func(h *history.History) {
		for _, order := range orders {
			order.Replica = "x"
			h.Orders = append(h.Orders, order)
		}
	}
}

func cutBy(kind history.FaultKind, target string) func(*history.History) {
	return func(h *history.History) {
		h.Sendings = []history.Sending{sentAnd(request("1", "safe", 5*second), func(s *history.Sending) { s.Status, s.Seal, s.AnswerID, s.Whole = 0, "", "", false })}
		h.Faults = []history.Fault{{Kind: kind, Target: target, From: 5 * second, To: 6 * second}}
	}
}

func leaving(after time.Duration) func(*history.History) {
	return func(h *history.History) {
		h.Listings = []history.Listing{{At: second, Replica: "x", State: history.Draining}}
		h.Sendings = []history.Sending{request("1", "safe", second+after)}
		h.Arrivals = []history.Arrival{ranAt("1", "x", second+after)}
	}
}

// resting is a back end that asks the relay for three seconds of rest, and gets further requests from a time on.
func resting(count int, after time.Duration, front string) func(*history.History) {
	return func(h *history.History) {
		h.Bounds.RetryWindow = 0
		shed := func(id, machine string, at time.Duration, rest time.Duration) {
			h.Sendings = append(h.Sendings, sentAnd(request(id, "safe", at), func(s *history.Sending) { s.Front, s.Status, s.Seal = machine, 503, "" }))
			h.Arrivals = append(h.Arrivals, ranAnd(ranAt(id, "x", at), func(a *history.Arrival) {
				a.Machine, a.Ran, a.Status, a.Seal, a.Rest, a.EndedAt = machine, false, 503, "", rest, at
			}))
		}
		shed("0", "front", 0, 3*second)
		for number := range count {
			shed(fmt.Sprint(number+1), front, after+time.Duration(number)*second/10, 0)
		}
	}
}

// limited is a back end that names a limit, tells some relays, and gets requests of two relays from a time on, in seconds:
// three times within a second each of them, the rest spread over that second.
func limited(perSecond, after float64, count int, told ...string) func(*history.History) {
	return func(h *history.History) {
		h.Bounds.RetryWindow = 0
		h.Limits = []history.Limit{{Replica: "x", At: second, Named: true, PerSecond: perSecond}}
		arrive := func(id, front string, at time.Duration) {
			h.Sendings = append(h.Sendings, sentAnd(request(id, "safe", at), func(s *history.Sending) { s.Front, s.Seal = front, "s"+id }))
			h.Arrivals = append(h.Arrivals, ranAnd(ranAt(id, "x", at), func(a *history.Arrival) {
				a.Machine, a.Seal, a.Limited = front, "s"+id, at >= second
			}))
		}
		for number, front := range told {
			arrive(fmt.Sprint("told", number), front, second+second/10)
		}
		for number := range count {
			front := []string{"front", "other"}[number%2]
			arrive(fmt.Sprint(number), front, time.Duration(after*float64(second))+time.Duration(number)*second/time.Duration(count))
		}
	}
}

// saidToLeave is a back end that says that it leaves, and gets a request some time after.
func saidToLeave(after time.Duration, front string) func(*history.History) {
	return func(h *history.History) {
		h.Sendings = []history.Sending{request("1", "safe", second), sentAnd(request("2", "safe", second+after), func(s *history.Sending) { s.Front = front })}
		h.Arrivals = []history.Arrival{
			ranAnd(ranAt("1", "x", second), func(a *history.Arrival) { a.Leaving = true }),
			ranAnd(ranAt("2", "x", second+after), func(a *history.Arrival) { a.Machine = front }),
		}
	}
}

func reconfigured(at time.Duration) func(*history.History) {
	return func(h *history.History) {
		h.Changes = []history.Change{
			{Number: 1, SentAt: 0, AckedAt: second / 10, Services: map[string]string{"safe": "a"}},
			{Number: 2, SentAt: second, AckedAt: 2 * second, Services: map[string]string{"safe": "b"}},
		}
		h.Sendings = []history.Sending{request("1", "safe", at)}
		h.Arrivals = []history.Arrival{ranAt("1", "x", at)}
	}
}

func outlastingBy(took time.Duration) func(*history.History) {
	return func(h *history.History) {
		for number := range 10 {
			h.Sendings = append(h.Sendings, sentAnd(request(fmt.Sprint(number), "safe", 0), func(s *history.Sending) {
				s.Status, s.Seal, s.EndedAt = 504, "", took
			}))
		}
	}
}

func left(working time.Duration) func(*history.History) {
	return func(h *history.History) {
		for number := range 10 {
			id := fmt.Sprint(number)
			h.Sendings = append(h.Sendings, sentAnd(request(id, "safe", 0), func(s *history.Sending) { s.ClosedAt, s.Status = second, 0 }))
			h.Arrivals = append(h.Arrivals, ranAnd(ranAt(id, "x", 0), func(a *history.Arrival) { a.EndedAt = second + working }))
		}
	}
}

func recovering(served int) func(*history.History) {
	return func(h *history.History) {
		h.Bounds.RetryWindow = 0
		h.Faults = []history.Fault{{Kind: history.Kill, Target: "core", From: 10 * second, To: 11 * second}}
		for number := range 60 {
			at := time.Duration(number) * second
			sending := request(fmt.Sprint(number), "safe", at)
			if at > 23*second && number%10 >= served {
				sending.Status, sending.Seal = 503, ""
			} else {
				h.Arrivals = append(h.Arrivals, ranAt(sending.ID, "x", at))
			}
			h.Sendings = append(h.Sendings, sending)
		}
	}
}

func TestEachRuleIsFoundAndNoOther(t *testing.T) {
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			findings := All(seen(row.change))
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
	for _, rule := range []Rule{Mixed, Twice, Refused, Unasked, Order, Lost, Drain, Config, Budget, One, Gone, Recover, Route} {
		require.True(t, broken[rule], rule)
	}
}
