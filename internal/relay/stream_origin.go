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
	// records counts the records, and version is the software version of the current run's back end.
	records uint32
	version streamorigin.Version
	// active is registered while the stream is forwarded; nil before its first event.
	active *origins.ActiveStream
}

// recordOrigin records that the stream begins at a software version, before the request is sent there, if several versions serve. A
// record of an earlier attempt, which has brought no event, is replaced.
func (s *streamReply) recordOrigin(version streamorigin.Version) {
	s.origin.version = version
	service := s.request.service.Name
	if !s.request.route.Resumable || s.origin.active != nil {
		return
	}
	if !s.relay.origins.NeedsRecords(service) || version == streamorigin.Unknown && s.origin.records == 0 {
		return
	}
	s.origin.records++
	s.origin.recording = s.relay.origins.Record(s.name(), service, s.originRecord(version))
	if resumed := s.relay.resumedName(s.request); s.request.boundTo != streamorigin.None && resumed != (streamorigin.Name{}) {
		lasting := streamorigin.Record{Service: serviceHash(service), Version: version, Sequence: math.MaxUint32}
		s.relay.origins.Record(resumed, service, lasting) // the client names the same attempt again
	}
}

// dependsOnVersion reports whether the stream must go on, or may have to, at the software version of a back end, while several versions
// serve.
func (s *streamReply) dependsOnVersion(selection *backEndSelection) bool {
	return (s.request.route.Resumable || selection.isMigrated) && s.relay.origins.IsMixed(s.request.service.Name)
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
func (s *streamReply) beginOrigin() {
	if s.origin.active != nil || !s.request.route.Resumable || s.origin.version == streamorigin.Unknown {
		return
	}
	s.origin.active = &origins.ActiveStream{Name: s.name, Service: s.request.service.Name, Record: s.originRecord(s.origin.version)}
	s.relay.origins.Track(s.origin.active)
}

// endOrigin removes the registration.
func (s *streamReply) endOrigin() {
	if s.origin.active != nil {
		s.relay.origins.Untrack(s.origin.active)
	}
}
