package control

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
)

// UpdateNotApplied tells the runtime that a relay asks again for what it was told: it could not use the answer, or did not
// get it.
type UpdateNotApplied struct {
	Relay   string
	Formats formats.Range
	// Kind is what was told, Held the number or version that the relay still holds, and Told that which it was told.
	Kind                     UpdateKind
	HeldVersion, SentVersion uint64
}

func (UpdateNotApplied) isOutput() {}

// UpdateKind is a kind of what relays are told.
type UpdateKind string

// What relays are told.
const (
	UpdateDocument UpdateKind = "document"
	UpdateListing  UpdateKind = "listing"
)

// sentUpdate is what a relay was told last of one kind of news.
type sentUpdate struct {
	// heldVersion is what it heldVersion when it asked, sentVersion what it was sentVersion, as numbers or versions.
	heldVersion, sentVersion uint64
	// attempts is how often it was told that in a row.
	attempts int
}

// observeHeld takes what the relay observeHeld now: once that is something else, what it was told before was not in vain.
func (t *sentUpdate) observeHeld(held uint64) {
	if t.heldVersion != held {
		*t = sentUpdate{}
	}
}

// maximumImmediateAttempts is how often a relay is told the same at once: the first answer may have been lost, or told in a form
// that the relay could not use. One that asks on gets it as often as it is answered without news, so that a relay which
// cannot use an answer costs no more than others.
const maximumImmediateAttempts = 2

// recordSend notes that a relay which holds one number is told another.
func (t *sentUpdate) recordSend(held, sent uint64) {
	if t.heldVersion != held || t.sentVersion != sent {
		*t = sentUpdate{heldVersion: held, sentVersion: sent}
	}
	t.attempts++
}

// failedAttempts is how often a relay was told a number already which it still does not hold.
func (t *sentUpdate) failedAttempts(held, sent uint64) int {
	if t.heldVersion != held || t.sentVersion != sent {
		return 0
	}
	return t.attempts
}

// lastSent returns what a relay was told last.
func (c *Core) lastSent(request *v1.WatchRequest) (document, listing sentUpdate) {
	if record := c.relays[request.GetNode().GetName()]; record != nil && record.incarnation == request.GetNode().GetIncarnation() {
		return record.document, record.listing
	}
	return sentUpdate{}, sentUpdate{}
}

// recordSent remembers what a relay is told in an answer.
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

// recordAttempt counts what is told again, and says so once for each relay and news.
func (c *Core) recordAttempt(record *relayRecord, kind UpdateKind, last *sentUpdate, held, newest uint64) {
	failed := last.failedAttempts(held, newest)
	last.recordSend(held, newest)
	if failed == 0 {
		return
	}
	c.repeatedUpdates++
	if failed == 1 {
		c.emit(UpdateNotApplied{Relay: record.name, Formats: record.formats, Kind: kind, HeldVersion: held, SentVersion: newest})
	}
}
