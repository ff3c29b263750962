package check

import (
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// deadlyPrompts returns a history in which five back ends crash under a part of prompts, and more requests with it reach back ends
// later. Beside them 30 sound prompts with the same first part, of which soundServed are served, and 30 other streams, all served.
func deadlyPrompts(more, soundServed int) func(*history.History) {
	const events = "id: 1\ndata: a@v1 part\n\nid: 2\ndata: a@v1 end\n\n"
	return func(h *history.History) {
		h.Bounds.RetryWindow = 0
		for number := range 5 + more {
			at := second * 2
			if number >= 5 {
				at = 10 * second
			}
			id := fmt.Sprint("deadly-", number)
			h.Sendings = append(h.Sendings, changedSending(request(id, "once", at), func(s *history.Sending) {
				s.SharedParts, s.Status, s.Seal, s.Body = []string{"5a", crashPart + "01"}, 502, "", ""
			}))
			h.Arrivals = append(h.Arrivals, changedArrival(ranAt(id, "replica-"+id, at), setCrashed))
		}
		for number := range 30 {
			sound := changedSending(request(fmt.Sprint("sound-", number), "once", 10*second), func(s *history.Sending) { s.SharedParts, s.Body = []string{"5a", "5b"}, events })
			if number >= soundServed {
				sound.Status, sound.Seal, sound.Body = 503, "", ""
			} else {
				h.Arrivals = append(h.Arrivals, ranAt(sound.ID, "x", 10*second))
			}
			other := changedSending(request(fmt.Sprint("other-", number), "once", 10*second), func(s *history.Sending) { s.Body = events })
			h.Sendings = append(h.Sendings, sound, other)
			h.Arrivals = append(h.Arrivals, ranAt(other.ID, "x", 10*second))
		}
	}
}

// hotRelay returns a history in which most new connections go to one relay for 8 s; before, 40 of 40 requests are served, and from
// the contact time on the given number of 40.
func hotRelay(served int) func(*history.History) {
	return func(h *history.History) {
		h.Bounds.RetryWindow = 0
		h.Faults = []history.Fault{{Kind: history.HotRelay, Target: "connections at front", From: 10 * second, To: 18 * second}}
		for number := range 40 {
			for _, at := range []int{8, 16} {
				sending := changedSending(request(fmt.Sprint(at, "-", number), "safe", second*8), func(s *history.Sending) { s.Connected = true })
				if at == 16 {
					sending.SentAt, sending.EndedAt = 16*second, 16*second+second/10
				}
				if at == 16 && number >= served {
					sending.Status, sending.Seal = 503, ""
				} else {
					h.Arrivals = append(h.Arrivals, ranAt(sending.ID, "x", sending.SentAt))
				}
				h.Sendings = append(h.Sendings, sending)
			}
		}
	}
}
