package check

import (
	"fmt"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// historyWith returns a history with the default bounds and routes, changed by a row of the table.
func historyWith(change func(*history.History)) *history.History {
	created := &history.History{
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
	change(created)
	return created
}

// request returns an attempt with a successful response.
func request(id, route string, at time.Duration) history.Sending {
	return history.Sending{
		ID: id, Content: "c-" + id, Route: route, Method: "GET", Target: "/", Front: "front", SentAt: at, EndedAt: at + second/10,
		Deadline: second, Status: 200, Seal: "s", Body: "b", AnswerID: id, Whole: true,
	}
}

// ranAt returns a back end's run of a request, with the same response.
func ranAt(id, replica string, at time.Duration) history.Arrival {
	return history.Arrival{
		ID: id, Replica: replica, Service: "a", Machine: "front", At: at, Method: "GET", Target: "/", Ran: true, EndedAt: at + second/10,
		Status: 200, Seal: "s", Body: "b",
	}
}

// changedSending returns a changed attempt.
func changedSending(sending history.Sending, change func(*history.Sending)) history.Sending {
	change(&sending)
	return sending
}

// changedArrival returns a changed arrival.
func changedArrival(arrival history.Arrival, change func(*history.Arrival)) history.Arrival {
	change(&arrival)
	return arrival
}

func setUnframed(arrival *history.Arrival) { arrival.EndsWithConnection = true }

func setBrokenOff(arrival *history.Arrival) {
	arrival.EndsWithConnection, arrival.BrokenOff = true, true
}

func setUnread(arrival *history.Arrival) {
	setBrokenOff(arrival)
	arrival.RequestUnread, arrival.BodyHash = true, "of nothing"
}

func setCrashed(arrival *history.Arrival) { arrival.Crashed, arrival.Status = true, 0 }

// crashes adds attempts of one request under different identities, each of which crashes its back end.
func crashes(recorded *history.History, count int, from, step time.Duration) {
	for number := range count {
		id := fmt.Sprint("poison-", len(recorded.Sendings))
		at := from + time.Duration(number)*step
		recorded.Sendings = append(recorded.Sendings, changedSending(request(id, "safe", at), func(s *history.Sending) { s.Content, s.Status, s.Seal = "poison", 502, "" }))
		recorded.Arrivals = append(recorded.Arrivals, changedArrival(ranAt(id, fmt.Sprint("replica-", id), at), setCrashed))
	}
}

// mixedStreams returns streams that begin at one software version and that their clients take up at another one.
func mixedStreams(count int) func(*history.History) {
	return func(h *history.History) {
		for number := range count {
			first, second := fmt.Sprint("first-", number), fmt.Sprint("second-", number)
			h.Sendings = append(h.Sendings,
				changedSending(request(first, "stream", 0), func(s *history.Sending) { s.Body, s.Whole = "id: 1\ndata: a@v1 part\n\n", false }),
				changedSending(request(second, "stream", takenUpAt), func(s *history.Sending) {
					s.Body, s.Resumes, s.LastEvent = "id: 2\ndata: b@v2 part\n\nid: 3\ndata: b@v2 end\n\n", first, 1
				}))
			h.Arrivals = append(h.Arrivals, ranAt(first, "a", 0), ranAt(second, "b", takenUpAt))
		}
	}
}

// emptyRest returns a stream that breaks off after an event with the given text, and whose rest is empty.
func emptyRest(text string) func(*history.History) {
	return func(h *history.History) {
		h.Sendings = []history.Sending{
			changedSending(request("1", "stream", 0), func(s *history.Sending) { s.Body, s.Whole = "id: 1\ndata: a@v1 "+text+"\n\n", false }),
			changedSending(request("2", "stream", takenUpAt), func(s *history.Sending) { s.Body, s.Resumes, s.LastEvent = "", "1", 1 }),
		}
		h.Arrivals = []history.Arrival{changedArrival(ranAt("1", "a", 0), setBrokenOff), ranAt("2", "a", takenUpAt)}
	}
}

// takenUpAt is when clients take up streams.
const takenUpAt = 10 * second

// takenUpStreams returns streams that break off and that their clients take up, of which some go on. Two back ends of the version serve.
func takenUpStreams(count, goOn int) func(*history.History) {
	return func(h *history.History) {
		h.Listings = []history.Listing{{Replica: "a", State: history.Ready, Software: "v1"}, {Replica: "b", State: history.Ready, Software: "v1"}}
		for number := range count {
			first, again := fmt.Sprint("first-", number), fmt.Sprint("again-", number)
			h.Sendings = append(h.Sendings, changedSending(request(first, "stream", 0), func(s *history.Sending) { s.Body, s.Whole = "id: 1\ndata: a@v1 part\n\n", false }))
			h.Arrivals = append(h.Arrivals, changedArrival(ranAt(first, "a", 0), func(a *history.Arrival) { a.BrokenOff = true }))
			h.Sendings = append(h.Sendings, changedSending(request(again, "stream", takenUpAt), func(s *history.Sending) {
				s.Resumes, s.LastEvent = first, 1
				if s.Body = "id: 2\ndata: a@v1 end\n\n"; number >= goOn {
					s.Body, s.Status, s.Seal = "", 503, ""
				}
			}))
			if number < goOn {
				h.Arrivals = append(h.Arrivals, ranAt(again, "b", takenUpAt))
			}
		}
	}
}

func streamOf(body, route string, whole bool) func(*history.History) {
	return func(h *history.History) {
		h.Sendings = []history.Sending{changedSending(request("1", route, 0), func(s *history.Sending) { s.Body, s.Whole = body, whole })}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 0)}
	}
}

func onThreeBackEnds(requests int) func(*history.History) {
	return func(h *history.History) {
		h.Bounds.RetryWindow = 0
		for number := range requests {
			id := fmt.Sprint(number)
			h.Sendings = append(h.Sendings, request(id, "safe", 0))
			h.Arrivals = append(h.Arrivals, ranAt(id, "x", 0), ranAt(id, "y", 0), ranAt(id, "z", 0))
		}
	}
}

func addRetriedRequests(h *history.History, count int, step time.Duration) {
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
		h.Sendings = []history.Sending{changedSending(request("1", "safe", 5*second), func(s *history.Sending) { s.Status, s.Seal, s.AnswerID, s.Whole = 0, "", "", false })}
		h.Faults = []history.Fault{{Kind: kind, Target: target, From: 5 * second, To: 6 * second}}
	}
}

// cutConnectionBy is cutBy for a client that had a connection.
func cutConnectionBy(kind history.FaultKind, target string) func(*history.History) {
	return func(h *history.History) {
		cutBy(kind, target)(h)
		h.Sendings[0].Connected = true
	}
}

// unanswered returns a history in which a request ends without a response, at a given time after a fault.
func unanswered(kind history.FaultKind, target string, after time.Duration) func(*history.History) {
	return func(h *history.History) {
		cutBy(kind, target)(h)
		h.Bounds.Grace = 4 * second
		h.Sendings[0].Connected = true
		h.Sendings[0].EndedAt = h.Faults[0].From + after
		h.Sendings[0].SentAt = h.Sendings[0].EndedAt - second/100
		h.Faults[0].To = h.Faults[0].From + 5*second
	}
}

// cutOff returns a history in which a client's connection ends without a complete response a given time after it sent the
// request, which a back end received; status 0 is for no response at all.
func cutOff(route string, status int, after time.Duration) func(*history.History) {
	return func(h *history.History) {
		h.Bounds.Grace = 4 * second
		h.Sendings = []history.Sending{changedSending(request("1", route, 5*second), func(s *history.Sending) {
			s.Connected, s.Status, s.Whole, s.EndedAt = true, status, false, s.SentAt+after
			s.Deadline = h.Routes[route].Timeout
			if status == 0 || status == 503 {
				s.Seal, s.AnswerID = "", ""
			}
		})}
		h.Arrivals = []history.Arrival{ranAt("1", "x", 5*second)}
		if h.Routes[route].Stream {
			h.Sendings[0].Body = "id: 1\ndata: x a\n\nid: 2\nda"
		}
	}
}

// cutOffAtKill returns a history in which the stream of a client at the relay "front" ends without its last event just after the relay
// "other" was killed and the back end lost the connection of the request.
func cutOffAtKill(change func(*history.History)) func(*history.History) {
	return func(h *history.History) {
		cutOff("stream", 200, second)(h)
		ended := h.Sendings[0].EndedAt
		h.Arrivals[0].Cancelled, h.Arrivals[0].EndedAt = true, ended-second/1000
		h.Faults = append(h.Faults, history.Fault{Kind: history.Kill, Target: "other", From: ended - second/500, To: ended + second})
		change(h)
	}
}

// withFaults returns a history with further faults.
func withFaults(change func(*history.History), faults ...history.Fault) func(*history.History) {
	return func(h *history.History) {
		change(h)
		h.Faults = append(h.Faults, faults...)
	}
}

// cutOffRelay returns a history in which the relay "front" is cut off from all back ends from 10 to 20 s. A given time after
// the cut began, it gets tries of which the first ones are served, and another relay as many, which are all served.
func cutOffRelay(served, count int, after time.Duration) func(*history.History) {
	return func(h *history.History) {
		h.Bounds.RetryWindow = 0
		h.Faults = append(h.Faults, history.Fault{Kind: history.CutFromBackEnds, Target: "front", From: 10 * second, To: 20 * second})
		for number := range 2 * count {
			at := 10*second + after + time.Duration(number)*time.Millisecond
			sending := changedSending(request(fmt.Sprint(len(h.Sendings)), "safe", at), func(s *history.Sending) { s.Connected = true })
			if number%2 == 1 {
				sending.Front = "other"
			}
			if number%2 == 0 && number/2 >= served {
				sending.Status, sending.Seal = 503, ""
			} else {
				h.Arrivals = append(h.Arrivals, changedArrival(ranAt(sending.ID, "x", at), func(a *history.Arrival) { a.Machine = sending.Front }))
			}
			h.Sendings = append(h.Sendings, sending)
		}
	}
}

func listedAsLeaving(after time.Duration) func(*history.History) {
	return func(h *history.History) {
		h.Listings = []history.Listing{{At: second, Replica: "x", State: history.Draining}}
		h.Sendings = []history.Sending{request("1", "safe", second+after)}
		h.Arrivals = []history.Arrival{ranAt("1", "x", second+after)}
	}
}

// inBackoff returns a history in which a back end asks the relay "front" for three seconds of backoff and then receives
// further requests from the given relay, starting at the given time.
func inBackoff(count int, after time.Duration, front string) func(*history.History) {
	return func(h *history.History) {
		h.Bounds.RetryWindow = 0
		shed := func(id, machine string, at time.Duration, rest time.Duration) {
			h.Sendings = append(h.Sendings, changedSending(request(id, "safe", at), func(s *history.Sending) { s.Front, s.Status, s.Seal = machine, 503, "" }))
			h.Arrivals = append(h.Arrivals, changedArrival(ranAt(id, "x", at), func(a *history.Arrival) {
				a.Machine, a.Ran, a.Status, a.Seal, a.Rest, a.EndedAt = machine, false, 503, "", rest, at
			}))
		}
		shed("0", "front", 0, 3*second)
		for number := range count {
			shed(fmt.Sprint(number+1), front, after+time.Duration(number)*second/10, 0)
		}
	}
}

// limited returns a history in which a back end announces a limit to some relays and, from a time in seconds on,
// receives requests from two relays, spread evenly over one second.
func limited(perSecond, after float64, count int, informed ...string) func(*history.History) {
	return func(h *history.History) {
		h.Bounds.RetryWindow = 0
		h.Limits = []history.Limit{{Replica: "x", At: second, Named: true, PerSecond: perSecond}}
		arrive := func(id, front string, at time.Duration) {
			h.Sendings = append(h.Sendings, changedSending(request(id, "safe", at), func(s *history.Sending) { s.Front, s.Seal = front, "s"+id }))
			h.Arrivals = append(h.Arrivals, changedArrival(ranAt(id, "x", at), func(a *history.Arrival) {
				a.Machine, a.Seal, a.Limited = front, "s"+id, at >= second
			}))
		}
		for number, front := range informed {
			arrive(fmt.Sprint("told", number), front, second+second/10)
		}
		for number := range count {
			front := []string{"front", "other"}[number%2]
			arrive(fmt.Sprint(number), front, time.Duration(after*float64(second))+time.Duration(number)*second/time.Duration(count))
		}
	}
}

// announcedToLeave returns a history in which a back end announces that it leaves and receives a request some time later.
func announcedToLeave(after time.Duration, front string) func(*history.History) {
	return func(h *history.History) {
		h.Sendings = []history.Sending{request("1", "safe", second), changedSending(request("2", "safe", second+after), func(s *history.Sending) { s.Front = front })}
		h.Arrivals = []history.Arrival{
			changedArrival(ranAt("1", "x", second), func(a *history.Arrival) { a.Leaving = true }),
			changedArrival(ranAt("2", "x", second+after), func(a *history.Arrival) { a.Machine = front }),
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
			h.Sendings = append(h.Sendings, changedSending(request(fmt.Sprint(number), "safe", 0), func(s *history.Sending) {
				s.Status, s.Seal, s.EndedAt = 504, "", took
			}))
		}
	}
}

func abandoned(working time.Duration) func(*history.History) {
	return func(h *history.History) {
		for number := range 10 {
			id := fmt.Sprint(number)
			h.Sendings = append(h.Sendings, changedSending(request(id, "safe", 0), func(s *history.Sending) { s.ClosedAt, s.Status = second, 0 }))
			h.Arrivals = append(h.Arrivals, changedArrival(ranAt(id, "x", 0), func(a *history.Arrival) { a.EndedAt = second + working }))
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

// competing returns a history in which a large tenant has 30 requests served within two seconds, beside a small tenant
// with some attempts, of which the first ones are served.
func competing(served, attempts int) func(*history.History) {
	return func(h *history.History) {
		send := func(tenant string, number int, isServed bool) {
			id, at := fmt.Sprint(tenant, number), time.Duration(number)*second/20
			sending := changedSending(request(id, "safe", at), func(s *history.Sending) { s.Tenant, s.Request = tenant, id })
			if isServed {
				h.Arrivals = append(h.Arrivals, ranAt(id, "x", at))
			} else {
				sending.Status, sending.Seal = 503, ""
			}
			h.Sendings = append(h.Sendings, sending)
		}
		for number := range 30 {
			send("large", number, true)
		}
		for number := range attempts {
			send("small", number, number < served)
		}
	}
}

// returning returns a history in which clients come back a second after they were refused, at the time they were told,
// of which the first ones are served.
func returning(count, served int, share float64) func(*history.History) {
	return func(h *history.History) {
		h.Bounds.ReturnShare, h.SlotOwner = share, "owner"
		for number := range count {
			id := fmt.Sprint(number)
			sending := changedSending(request(id, "safe", second), func(s *history.Sending) { s.RefusedAt, s.DueAt = second/4, second })
			if number < served {
				h.Arrivals = append(h.Arrivals, ranAt(id, "x", second))
			} else {
				sending.Status, sending.Seal = 503, ""
			}
			h.Sendings = append(h.Sendings, sending)
		}
	}
}
