package relay

import (
	"math"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/relay/origins"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// firstEventWait bounds how long the first event of a stream waits until another relay keeps the stream's origin.
const firstEventWait = 40 * time.Millisecond

// streamOrigin is where one stream begins.
type streamOrigin struct {
	// version is the software version of the current run's back end.
	version streamorigin.Version
	// active is registered while the stream is forwarded; nil before its first event, and if its version is unknown.
	active *origins.ActiveStream
}

// beginOrigin registers the stream, of which the client gets the first event now.
func (s *streamReply) beginOrigin() {
	if s.origin.active != nil || !s.request.route.Resumable || s.origin.version == streamorigin.Unknown {
		return
	}
	record := streamorigin.Record{
		Service: serviceHash(s.request.service.Name), Version: s.origin.version, Sequence: uint32(s.attempts.sentCount),
	}
	s.origin.active = &origins.ActiveStream{
		Name: s.name, Service: s.request.service.Name, Record: record, MayOutlast: streamorigin.MayOutlast(s.request.route.Timeout),
	}
	s.relay.origins.Track(s.origin.active)
}

// recordOrigin records where the stream begins, before its first event is sent to the client, unless one service and one version alone
// can have begun it. Attempts that bring no event are not recorded: no relay could tell whether a later one has replaced them. The event
// waits until another relay keeps the record. If none has confirmed in time, it is sent nevertheless: a stream whose origin is not found is
// not continued.
func (s *streamReply) recordOrigin() {
	active := s.origin.active
	if active == nil || !s.relay.needsServiceRecord(s.request) && !s.relay.origins.NeedsRecords(active.Service) {
		return
	}
	recording := s.relay.origins.Record(active.Name(), active.Service, active.Record)
	if resumed := s.relay.resumedName(s.request); s.request.boundTo != streamorigin.None && resumed != (streamorigin.Name{}) {
		lasting := active.Record
		lasting.Sequence = math.MaxUint32
		s.relay.origins.Record(resumed, active.Service, lasting) // the client names the same attempt again
	}
	if !recording.Await(firstEventWait, s.request.canceller.done()) {
		s.relay.metrics.unconfirmedOrigins.Inc()
	}
}

// endOrigin removes the registration.
func (s *streamReply) endOrigin() {
	if s.origin.active != nil {
		s.relay.origins.Untrack(s.origin.active)
	}
}

// dependsOnVersion reports whether the stream goes on at the software version of a back end, or may have to while several versions
// serve.
func (s *streamReply) dependsOnVersion(selection *backEndSelection) bool {
	isBindable := s.request.route.Resumable || selection.isMigrated
	return isBindable && (s.attempts.isBound() || s.relay.origins.NeedsRecords(s.request.service.Name))
}

// name returns the stream's name.
func (s *streamReply) name() streamorigin.Name { return streamName(s.request, s.request.id) }

// streamName returns the name of the stream that began with the identified attempt of the request's client.
func streamName(request *request, id string) streamorigin.Name {
	return streamorigin.NameOf(request.tenantName(), request.host, id)
}
