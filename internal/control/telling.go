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

// telling is what a relay was told last of one kind of news.
type telling struct {
	// held is what it held when it asked, told what it was told, as numbers or versions.
	held, told uint64
	// times is how often it was told that in a row.
	times int
}

// holds takes what the relay holds now: once that is something else, what it was told before was not in vain.
func (t *telling) holds(held uint64) {
	if t.held != held {
		*t = telling{}
	}
}

// tellingsAtOnce is how often a relay is told the same at once: the first answer may have been lost, or told in a form
// that the relay could not use. One that asks on gets it as often as it is answered without news, so that a relay which
// cannot use an answer costs no more than others.
const tellingsAtOnce = 2

// note notes that a relay which holds one number is told another.
func (t *telling) note(held, told uint64) {
	if t.held != held || t.told != told {
		*t = telling{held: held, told: told}
	}
	t.times++
}

// inVain is how often a relay was told a number already which it still does not hold.
func (t *telling) inVain(held, told uint64) int {
	if t.held != held || t.told != told {
		return 0
	}
	return t.times
}

// tellings returns what a relay was told last.
func (c *Core) tellings(request *v1.WatchRequest) (document, listing telling) {
	if record := c.relays[request.GetNode().GetName()]; record != nil && record.start == request.GetNode().GetIncarnation() {
		return record.document, record.listing
	}
	return telling{}, telling{}
}

// noteTold remembers what a relay is told in an answer.
func (c *Core) noteTold(request *v1.WatchRequest, response *v1.WatchResponse) {
	record, known := c.relays[request.GetNode().GetName()]
	if !known {
		return
	}
	if len(response.GetDocumentPatch()) > 0 || len(response.GetPackedDocument()) > 0 {
		c.noteTelling(record, UpdateDocument, &record.document, request.GetDocumentNumber(), c.news.documents.newest().GetNumber())
	}
	if response.GetListingChange() != nil || len(response.GetPackedListing()) > 0 {
		c.noteTelling(record, UpdateListing, &record.listing, request.GetListingVersion(), response.GetListingVersion())
	}
}

// noteTelling counts what is told again, and says so once for each relay and news.
func (c *Core) noteTelling(record *relayRecord, news UpdateKind, told *telling, held, newest uint64) {
	again := told.inVain(held, newest)
	told.note(held, newest)
	if again == 0 {
		return
	}
	c.toldAgain++
	if again == 1 {
		c.emit(UpdateNotApplied{Relay: record.name, Formats: record.formats, Kind: news, HeldVersion: held, SentVersion: newest})
	}
}
