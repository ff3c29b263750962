package slots

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Acquire requests a slot from the owner of the service's slots, and then from its deputy. It blocks until one of them has
// decided, neither answers, stop is closed or the request's deadline has passed.
func (s *Slots) Acquire(request Request, stop <-chan struct{}) (Grant, Outcome) {
	grant, outcome := s.acquire(request, stop)
	s.config.Metrics.requests.WithLabelValues(string(outcome.Kind)).Inc()
	return grant, outcome
}

func (s *Slots) acquire(request Request, stop <-chan struct{}) (Grant, Outcome) {
	var asked []string
	for {
		owner := s.nextOwner(request.Service, asked)
		if owner == "" {
			return Grant{}, Outcome{Kind: Unavailable}
		}
		asked = append(asked, owner)
		query := s.newQuery(&request, owner, stop)
		answer, isOver := query.run()
		if grant, outcome := query.finish(answer, isOver); outcome.Kind != Unavailable {
			return grant, outcome
		}
	}
}

// nextOwner returns the address of the first owner that was not asked and is not known to be silent; empty for none. It
// chooses from the newest list of relays, which may change while a request is queued.
func (s *Slots) nextOwner(service string, asked []string) string {
	if len(asked) > ownerCount {
		return "" // the list of relays changes faster than the owners answer
	}
	now := s.config.Now()
	for _, owner := range s.owners.of(service) {
		if !slices.Contains(asked, owner) && (owner == s.address() || s.config.Peers.Trusted(now, owner)) {
			return owner
		}
	}
	return ""
}

// newQuery returns a request to one owner. Each owner is sent its own number, so that a late grant of an owner that was
// given up cannot be taken for a grant of another one.
func (s *Slots) newQuery(request *Request, owner string, stop <-chan struct{}) *query {
	opened := &query{slots: s, request: request, owner: owner, stop: stop}
	s.holdings.begin(request.Service, func() uint64 {
		opened.number, opened.answers = s.queries.Open()
		return opened.number
	})
	return opened
}

// sendRequest sends a request to an owner, which may be this relay.
func (s *Slots) sendRequest(owner string, message *v1.SlotRequest) {
	if owner == s.address() {
		s.HandleRequest(message, owner)
		return
	}
	s.config.Socket.Send(owner, &v1.RelayDatagram{Content: &v1.RelayDatagram_SlotRequest{SlotRequest: message}})
}

// recordQuery records whether an owner has answered in time.
func (s *Slots) recordQuery(owner string, answered bool, sentAt time.Duration) {
	if owner != s.address() {
		now := s.config.Now()
		s.config.Peers.RecordQuery(now, owner, answered, now-sentAt)
	}
}
