package control

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
)

// UpdateNotApplied reports to the runtime that a relay requested an update again after it was sent to the relay: the relay
// could not apply the answer, or did not receive it.
type UpdateNotApplied struct {
	Relay   string
	Formats formats.Range
	// Kind is the kind of the update, HeldVersion the document number or list version that the relay still holds, and
	// SentVersion the one that was sent to it.
	Kind                     UpdateKind
	HeldVersion, SentVersion uint64
}

func (UpdateNotApplied) isOutput() {}

// UpdateKind is a kind of update for relays.
type UpdateKind string

// Kinds of updates.
const (
	UpdateDocument UpdateKind = "document"
	UpdateListing  UpdateKind = "listing"
)

// sentUpdate records the last update of one kind that a relay was sent.
type sentUpdate struct {
	// heldVersion is the document number or list version that the relay held at that time, sentVersion the one sent.
	heldVersion, sentVersion uint64
	// attempts is how many times in a row sentVersion was sent while the relay held heldVersion.
	attempts int
}

// observeHeld records the version that the relay holds now. A change of that version means that the relay has applied an
// update, which resets the attempts.
func (t *sentUpdate) observeHeld(heldVersion uint64) {
	if t.heldVersion != heldVersion {
		*t = sentUpdate{}
	}
}

// maximumImmediateAttempts is how often a relay is sent the same update at once: the first answer may have been lost,
// or sent in a form that the relay could not use. Later attempts are sent only when the watch is due, so that a relay
// that cannot use an answer causes no more load than others.
const maximumImmediateAttempts = 2

// recordSend records that sentVersion was sent to a relay that held heldVersion.
func (t *sentUpdate) recordSend(heldVersion, sentVersion uint64) {
	if t.heldVersion != heldVersion || t.sentVersion != sentVersion {
		*t = sentUpdate{heldVersion: heldVersion, sentVersion: sentVersion}
	}
	t.attempts++
}

// failedAttempts returns how often sentVersion was already sent to a relay that still holds heldVersion.
func (t *sentUpdate) failedAttempts(heldVersion, sentVersion uint64) int {
	if t.heldVersion != heldVersion || t.sentVersion != sentVersion {
		return 0
	}
	return t.attempts
}

// lastSent returns the last updates that a relay was sent.
func (c *Core) lastSent(request *v1.WatchRequest) (document, listing sentUpdate) {
	if record := c.relays[request.GetNode().GetName()]; record != nil && record.incarnation == request.GetNode().GetIncarnation() {
		return record.document, record.listing
	}
	return sentUpdate{}, sentUpdate{}
}

// recordSent records the updates in a response to a relay.
func (c *Core) recordSent(request *v1.WatchRequest, response *v1.WatchResponse) {
	record, known := c.relays[request.GetNode().GetName()]
	if !known {
		return
	}
	if len(response.GetDocumentPatch()) > 0 || len(response.GetPackedDocument()) > 0 {
		c.recordAttempt(record, UpdateDocument, &record.document, request.GetDocumentNumber(), c.updates.documents.newest().GetNumber())
	}
	if response.GetListingChange() != nil || len(response.GetPackedListing()) > 0 {
		c.recordAttempt(record, UpdateListing, &record.listing, request.GetListingVersion(), response.GetListingVersion())
	}
}

// recordAttempt counts repeated updates, and reports the first repetition for each relay and version.
func (c *Core) recordAttempt(record *relayRecord, kind UpdateKind, last *sentUpdate, heldVersion, newest uint64) {
	failed := last.failedAttempts(heldVersion, newest)
	last.recordSend(heldVersion, newest)
	if failed == 0 {
		return
	}
	c.repeatedUpdates++
	if failed == 1 {
		c.emit(UpdateNotApplied{Relay: record.name, Formats: record.formats, Kind: kind, HeldVersion: heldVersion, SentVersion: newest})
	}
}
