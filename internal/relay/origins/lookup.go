package origins

import (
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

// Find returns where the stream with the given name began. service is the service that the stream would go on at if its record
// names none: where one version alone can have begun a stream of the service, it is that version, and the record's service is 0.
// Find asks other relays only if this one does not know, and blocks until they have answered, or until stop is closed.
func (o *Origins) Find(name streamorigin.Name, service string, stop <-chan struct{}) Found {
	found := o.find(name, service, stop)
	if found.Record.Version == streamorigin.Unknown { // it began at a back end that had just started
		found.Outcome = NotFound
	}
	o.config.Metrics.Lookups.WithLabelValues(string(found.Outcome)).Inc()
	return found
}

func (o *Origins) find(name streamorigin.Name, service string, stop <-chan struct{}) Found {
	if only, isKnown := o.Only(service); isKnown {
		return Found{Record: streamorigin.Record{Version: only}, Outcome: OnlyVersion, Age: o.config.ListAge()}
	}
	if record, age, isFound := o.held(name); isFound {
		return Found{Record: record, Outcome: OwnRecord, Age: age}
	}
	return o.askOwners(name, service, stop)
}

// askOwners asks the relays that keep the stream's origin, all at once. Without a record, the version is known if one version alone
// serves and no relay knows of another: this relay, and others, may have started too recently to be sure by themselves.
func (o *Origins) askOwners(name streamorigin.Name, service string, stop <-chan struct{}) Found {
	owners := o.ownersOf(name)
	answers := make(chan *v1.StreamOriginAnswer, len(owners))
	for _, owner := range owners {
		go func() { answers <- o.ask(owner, name, service, stop) }()
	}
	only, isKnown := o.single(service)
	for range owners {
		answer := <-answers
		if _, record, _, isValid := originFromWire(answer.GetOrigin()); isValid {
			return Found{Record: record, Outcome: OtherRecord, Age: time.Duration(answer.GetOriginAgeMs()) * time.Millisecond}
		}
		differs := answer.GetOnlySoftware() != 0 && streamorigin.Version(answer.GetOnlySoftware()) != only
		isKnown = isKnown && !answer.GetMixed() && !differs
	}
	if !isKnown {
		return Found{Outcome: NotFound}
	}
	return Found{Record: streamorigin.Record{Version: only}, Outcome: UnopposedVersion, Age: o.config.ListAge()}
}

// ask asks one relay; it returns nil if no answer arrives in time, or if stop is closed.
func (o *Origins) ask(owner string, name streamorigin.Name, service string, stop <-chan struct{}) *v1.StreamOriginAnswer {
	number, answers := o.queries.Open()
	defer o.queries.Close(number)
	for range queriesPerOwner {
		o.config.Socket.Send(owner, &v1.RelayDatagram{Content: &v1.RelayDatagram_StreamOriginQuery{StreamOriginQuery: &v1.StreamOriginQuery{
			Relay: o.config.Incarnation, Number: number, NameHigh: name.High, NameLow: name.Low, Service: service,
		}}})
		timer := time.NewTimer(o.config.Timeout())
		select {
		case answer := <-answers:
			timer.Stop()
			return answer
		case <-timer.C:
		case <-stop:
			timer.Stop()
			return nil
		}
	}
	return nil
}

// HandleQuery answers another relay's query.
func (o *Origins) HandleQuery(query *v1.StreamOriginQuery, from string) {
	answer := &v1.StreamOriginAnswer{Relay: query.GetRelay(), Number: query.GetNumber()}
	name := streamorigin.Name{High: query.GetNameHigh(), Low: query.GetNameLow()}
	if record, age, isFound := o.held(name); isFound {
		answer.Origin, answer.OriginAgeMs = originToWire(name, record, 0), uint32(age.Milliseconds())
	} else if only, isKnown := o.Only(query.GetService()); isKnown {
		answer.OnlySoftware = uint64(only)
	} else {
		answer.Mixed = o.IsMixed(query.GetService())
	}
	o.config.Socket.Send(from, &v1.RelayDatagram{Content: &v1.RelayDatagram_StreamOriginAnswer{StreamOriginAnswer: answer}})
}

// HandleAnswer passes an answer to the query that waits for it.
func (o *Origins) HandleAnswer(answer *v1.StreamOriginAnswer) {
	o.queries.Deliver(answer.GetNumber(), answer.GetRelay() == o.config.Incarnation, answer)
}
