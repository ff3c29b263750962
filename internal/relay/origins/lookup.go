package origins

import (
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// Found is where a stream began, by what evidence this is known, and how old that evidence is.
type Found struct {
	Record  streamorigin.Record
	Outcome Outcome
	Age     time.Duration
}

// IsKnown reports whether the version that began the stream is known.
func (f Found) IsKnown() bool { return f.Outcome != NotFound && f.Outcome != NoStatement }

// TakenUp is a stream that a client takes up.
type TakenUp struct {
	Name streamorigin.Name
	// Service is the service at which the stream would go on without a record. It is empty if this relay knows that the stream may have
	// begun at several services, so that only a record tells.
	Service string
	// Routes are those that must not have changed, so that the stream has begun at the service.
	Routes []streamorigin.RouteID
}

// Find returns where a stream began. Where one version alone, of one service alone, can have begun a stream of the route, it is that
// version, and the record's service is 0.
// Only a statement that the leader makes after the search has begun is evidence of that: this relay's list may be old, and other
// relays may know no more than it. A relay that does not answer is no evidence. Find blocks until the origin is known or cannot be found
// out, or until stop is closed.
func (o *Origins) Find(stream TakenUp, stop <-chan struct{}) Found {
	found := o.find(stream, stop)
	if found.Record.Version == streamorigin.Unknown { // it began at a back end that had just started
		found.Outcome = NotFound
	}
	o.config.Metrics.Lookups.WithLabelValues(string(found.Outcome)).Inc()
	return found
}

func (o *Origins) find(stream TakenUp, stop <-chan struct{}) Found {
	if record, age, isFound := o.held(stream.Name); isFound {
		return Found{Record: record, Outcome: OwnRecord, Age: age}
	}
	search := &search{origins: o, stream: stream, stop: stop, beganAt: o.config.Now(), outcome: NoStatement}
	if found, isFound := search.askLeaderAndOwners(); isFound {
		return found
	}
	if search.outcome == NoStatement && !search.hasAskedForStatements {
		if found, isFound := search.await(search.askOwners(true), nil); isFound {
			return found
		}
	}
	return Found{Outcome: search.outcome}
}

// search is one search for the origin of a stream of which this relay has no record.
type search struct {
	origins *Origins
	stream  TakenUp
	stop    <-chan struct{}
	beganAt time.Duration
	// hasAskedForStatements is true once other relays were asked for a statement of the leader.
	hasAskedForStatements bool
	// outcome is that of a search that finds nothing.
	outcome Outcome
}

// askLeaderAndOwners asks the relays that keep the stream's record, and the leader for a statement, all at once. If the leader has not
// answered lately, the relays are asked for its statement as well.
func (s *search) askLeaderAndOwners() (Found, bool) {
	if s.stream.Service == "" {
		s.outcome = NotFound
		return s.await(s.askOwners(false), nil)
	}
	statements := make(chan *v1.VersionStatement, 1)
	go func() { statements <- s.origins.statements.read(s.stop) }()
	return s.await(s.askOwners(!s.origins.config.IsLeaderInContact()), statements)
}

// await returns the first evidence of the origin among the answers of relays and the leader's statement, which is nil if it is not
// asked for. It returns false once none is left.
func (s *search) await(answers <-chan *v1.StreamOriginAnswer, statements <-chan *v1.VersionStatement) (Found, bool) {
	for answers != nil || statements != nil {
		select {
		case statement := <-statements:
			statements = nil
			if found, isFound := s.foundIn(statement, OnlyVersion); isFound {
				return found, true
			}
		case answer, isOpen := <-answers:
			if !isOpen {
				answers = nil
				continue
			}
			if _, record, _, isValid := originFromWire(answer.GetOrigin()); isValid {
				return Found{Record: record, Outcome: OtherRecord, Age: time.Duration(answer.GetOriginAgeMs()) * time.Millisecond}, true
			}
			if found, isFound := s.foundIn(answer.GetStatement(), RelayedOnlyVersion); isFound {
				return found, true
			}
		}
	}
	return Found{}, false
}

// foundIn returns the version that a statement of the leader names as the only one.
func (s *search) foundIn(statement *v1.VersionStatement, outcome Outcome) (Found, bool) {
	if statement == nil {
		return Found{}, false
	}
	s.outcome = NotFound
	only, isSingle := statementFromWire(statement).SingleOf(s.stream.Routes, s.stream.Service)
	return Found{Record: streamorigin.Record{Version: only}, Outcome: outcome, Age: s.origins.config.Now() - s.beganAt}, isSingle
}

// askOwners asks the relays that keep the stream's record, all at once. The channel is closed after the last answer.
func (s *search) askOwners(wantsStatement bool) <-chan *v1.StreamOriginAnswer {
	s.hasAskedForStatements = s.hasAskedForStatements || wantsStatement
	owners := s.origins.ownersOf(s.stream.Name)
	answers := make(chan *v1.StreamOriginAnswer, len(owners))
	var asked sync.WaitGroup
	for _, owner := range owners {
		asked.Go(func() {
			if answer := s.ask(owner, wantsStatement); answer != nil {
				answers <- answer
			}
		})
	}
	go func() {
		asked.Wait()
		close(answers)
	}()
	return answers
}

// ask asks one relay; it returns nil if no answer arrives in time, or if stop is closed.
func (s *search) ask(owner string, wantsStatement bool) *v1.StreamOriginAnswer {
	o := s.origins
	number, answers := o.queries.Open()
	defer o.queries.Close(number)
	wait := o.config.Timeout()
	if wantsStatement {
		wait = max(wait, statementTimeout/queriesPerOwner)
	}
	for range queriesPerOwner {
		o.config.Socket.Send(owner, &v1.RelayDatagram{Content: &v1.RelayDatagram_StreamOriginQuery{StreamOriginQuery: &v1.StreamOriginQuery{
			Relay: o.config.Incarnation, Number: number, NameHigh: s.stream.Name.High, NameLow: s.stream.Name.Low,
			Service: s.stream.Service, Routes: streamorigin.HashesOf(s.stream.Routes), WantsStatement: wantsStatement,
		}}})
		timer := time.NewTimer(wait)
		select {
		case answer := <-answers:
			timer.Stop()
			return answer
		case <-timer.C:
		case <-s.stop:
			timer.Stop()
			return nil
		}
	}
	return nil
}

// HandleQuery answers another relay's query. Relays of former builds take an answer without a record and without several versions for
// the absence of other versions, which this relay cannot know: they are told of several versions.
func (o *Origins) HandleQuery(query *v1.StreamOriginQuery, from string) {
	answer := &v1.StreamOriginAnswer{Relay: query.GetRelay(), Number: query.GetNumber()}
	name := streamorigin.Name{High: query.GetNameHigh(), Low: query.GetNameLow()}
	record, age, isFound := o.held(name)
	switch {
	case isFound:
		answer.Origin, answer.OriginAgeMs = originToWire(name, record, 0), uint32(age.Milliseconds())
	case query.GetWantsStatement():
		go func() {
			answer.Mixed, answer.Statement = true, statementFor(query, o.statements.read(nil))
			o.sendAnswer(answer, from)
		}()
		return
	default:
		answer.Mixed = true
	}
	o.sendAnswer(answer, from)
}

func (o *Origins) sendAnswer(answer *v1.StreamOriginAnswer, to string) {
	o.config.Socket.Send(to, &v1.RelayDatagram{Content: &v1.RelayDatagram_StreamOriginAnswer{StreamOriginAnswer: answer}})
}

// HandleAnswer passes an answer to the query that waits for it.
func (o *Origins) HandleAnswer(answer *v1.StreamOriginAnswer) {
	o.queries.Deliver(answer.GetNumber(), answer.GetRelay() == o.config.Incarnation, answer)
}
