package relay

import (
	"math"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/relay/origins"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// firstEventWait bounds how long the first event of a stream waits until another relay keeps the stream's origin.
const firstEventWait = 40 * time.Millisecond

// attemptSequenceBits is the number of low bits of a record's sequence that count the records of one relay; the others count the
// attempts before, also those of a relay that has forwarded the request.
const attemptSequenceBits = 16

// streamOrigin records where one stream begins.
type streamOrigin struct {
	// recording is the last record on its way to other relays; nil for none.
	recording *origins.Recording
	// records counts the records.
	records uint32
	// active is registered while the stream is forwarded; nil before its first event.
	active *origins.ActiveStream
}

// recordOrigin records that the stream begins at a back end, before the request is sent there, if several software versions serve.
// A record of an earlier attempt, which has brought no event, is replaced.
func (s *streamReply) recordOrigin(backEnd *backEnd) {
	service := s.request.service.Name
	if !s.request.route.Resumable || s.origin.active != nil {
		return
	}
	if _, isOnly := s.relay.origins.Only(service); isOnly || backEnd.version == streamorigin.Unknown {
		return
	}
	s.origin.records++
	s.origin.recording = s.relay.origins.Record(s.name(), service, s.originRecord(backEnd.version))
	if resumed := s.relay.resumedName(s.request); s.request.boundTo != streamorigin.None && resumed != (streamorigin.Name{}) {
		lasting := streamorigin.Record{Service: serviceHash(service), Version: backEnd.version, Sequence: math.MaxUint32}
		s.relay.origins.Record(resumed, service, lasting) // the client names the same attempt again
	}
}

func (s *streamReply) originRecord(version streamorigin.Version) streamorigin.Record {
	return streamorigin.Record{
		Service: serviceHash(s.request.service.Name), Version: version,
		Sequence: uint32(s.attempts.sentCount)<<attemptSequenceBits | s.origin.records,
	}
}

// name returns the stream's name.
func (s *streamReply) name() streamorigin.Name {
	return streamorigin.NameOf(s.request.tenantName(), s.request.host, s.request.id)
}

// awaitRecorded waits, before the first event is sent to the client, until another relay keeps the stream's origin. If none has
// confirmed in time, the event is sent nevertheless: a stream whose origin is not found is not continued.
func (s *streamReply) awaitRecorded() {
	if s.origin.recording == nil || s.reply.started {
		return
	}
	if !s.origin.recording.Await(firstEventWait, s.request.canceller.done()) {
		s.relay.metrics.unconfirmedOrigins.Inc()
	}
}

// beginOrigin registers the stream, of which the client gets the first event now.
func (s *streamReply) beginOrigin(backEnd *backEnd) {
	if s.origin.active != nil || !s.request.route.Resumable || backEnd.version == streamorigin.Unknown {
		return
	}
	s.origin.active = &origins.ActiveStream{Name: s.name(), Service: s.request.service.Name, Record: s.originRecord(backEnd.version)}
	s.relay.origins.Track(s.origin.active)
}

// endOrigin removes the registration.
func (s *streamReply) endOrigin() {
	if s.origin.active != nil {
		s.relay.origins.Untrack(s.origin.active)
	}
}
