package relay

import (
	"math"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/relay/origins"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// firstEventWait bounds how long the first event of a stream waits until another relay keeps the stream's origin.
const firstEventWait = 40 * time.Millisecond

// replacedRecordWait bounds the same wait where the record of another version must be outvoted at the relays that keep it.
const replacedRecordWait = 200 * time.Millisecond

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
	// recorded is the version of the last record.
	recorded streamorigin.Version
	// isReplaced is true if a record of another version was made before, which this one must outvote.
	isReplaced bool
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
	needsRecord := s.relay.origins.NeedsRecords(service) || !s.relay.isServiceCertain(s.request.route)
	if !needsRecord || version == streamorigin.Unknown && s.origin.records == 0 {
		return
	}
	s.origin.isReplaced = s.origin.isReplaced || s.origin.records > 0 && version != s.origin.recorded || s.wasRecordedBefore()
	s.origin.records, s.origin.recorded = s.origin.records+1, version
	s.origin.recording = s.relay.origins.Record(s.name(), service, s.originRecord(version))
	if resumed := s.relay.resumedName(s.request); s.request.boundTo != streamorigin.None && resumed != (streamorigin.Name{}) {
		lasting := streamorigin.Record{Service: serviceHash(service), Version: version, Sequence: math.MaxUint32, HasBegun: true}
		s.relay.origins.Record(resumed, service, lasting) // the client names the same attempt again
	}
}

// wasRecordedBefore reports whether another relay, which has forwarded the request, may have recorded an attempt of its own.
func (s *streamReply) wasRecordedBefore() bool {
	return s.request.forwarded != nil && s.request.forwarded.Attempts > 0
}

// dependsOnVersion reports whether the stream goes on at the software version of a back end, or may have to while several versions
// serve.
func (s *streamReply) dependsOnVersion(selection *backEndSelection) bool {
	isBindable := s.request.route.Resumable || selection.isMigrated
	return isBindable && (s.attempts.isBound() || s.relay.origins.IsMixed(s.request.service.Name))
}

func (s *streamReply) originRecord(version streamorigin.Version) streamorigin.Record {
	return streamorigin.Record{
		Service: serviceHash(s.request.service.Name), Version: version,
		Sequence: uint32(s.attempts.sentCount)<<attemptSequenceBits | s.origin.records,
	}
}

// name returns the stream's name.
func (s *streamReply) name() streamorigin.Name {
	return streamName(s.request, s.request.id)
}

// streamName returns the name of the stream that began with the identified attempt of the request's client.
func streamName(request *request, id string) streamorigin.Name {
	return streamorigin.NameOf(request.tenantName(), request.host, id)
}

// awaitRecorded waits, before the first event is sent to the client, until another relay keeps the stream's origin. If none has
// confirmed in time, the event may be sent nevertheless: a stream whose origin is not found is not continued. It may not be sent while most
// relays may still keep the record of an attempt at another version: the stream would be continued there. awaitRecorded reports whether
// the event may be sent, and then reports that the stream has begun.
func (s *streamReply) awaitRecorded() bool {
	if s.origin.recording == nil || s.reply.started {
		return true
	}
	stop := s.request.canceller.done()
	if s.origin.isReplaced && !s.origin.recording.AwaitQuorum(replacedRecordWait, stop) {
		return false
	}
	if !s.origin.recording.Await(firstEventWait, stop) {
		s.relay.metrics.unconfirmedOrigins.Inc()
	}
	if active := s.origin.active; active != nil {
		s.relay.origins.Record(active.Name(), active.Service, active.Record)
	}
	return true
}

// refuseUnrecorded answers a stream of which no event may be sent, since another attempt of it is still on record.
func (s *streamReply) refuseUnrecorded() {
	s.pending = s.pending[:0]
	response := refusal{status: fasthttp.StatusBadGateway, reason: "the relays that keep the stream's origin did not confirm it", attempts: s.attempts.sentCount + 1}
	s.relay.log.recordRefusal(s.request, response, s.attempts)
	s.reply.refuse(response)
}

// beginOrigin registers the stream, of which the client gets the first event now.
func (s *streamReply) beginOrigin() {
	if s.origin.active != nil || !s.request.route.Resumable || s.origin.version == streamorigin.Unknown {
		return
	}
	began := s.originRecord(s.origin.version)
	began.HasBegun = true
	s.origin.active = &origins.ActiveStream{Name: s.name, Service: s.request.service.Name, Record: began}
	s.relay.origins.Track(s.origin.active)
}

// endOrigin removes the registration.
func (s *streamReply) endOrigin() {
	if s.origin.active != nil {
		s.relay.origins.Untrack(s.origin.active)
	}
}
