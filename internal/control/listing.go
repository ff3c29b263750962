package control

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/listing"
)

// ReadListing asks the runtime to read the outside list of back ends; ListingReceived
// follows, or the loss of it. Only the leader asks, so that the calls do not grow with the
// number of controllers.
type ReadListing struct {
	// Pages is how many pages to read from the start; 0 is all.
	Pages int
}

// ListingReceived is a reading of the list of back ends. BackEnds is ignored when the
// reading failed.
type ListingReceived struct {
	BackEnds []*v1.ListedBackEnd
	Failed   bool
	// Calls is how many calls the reading took.
	Calls int
	// Complete tells that the whole list was read.
	Complete bool
}

func (ReadListing) isOutput()    {}
func (ListingReceived) isInput() {}

// listingTimeout is how long a reading may be under way before the next one begins.
const listingTimeout = 2 * time.Second

// siteListing is the leader's view of the outside list of back ends.
type siteListing struct {
	// version is a hash of the list, so that the same list has the same version under every leader;
	// 0 is none yet.
	version uint64
	history listing.History
	// firstFormat is the list for relays of the first format.
	firstFormat firstFormatListing
	// plan says how much of the list is read.
	plan listingPlan
	// considered is the list as far as it counts, told the part of it that relays are told of, and backEnds the
	// same with changes of roles marked.
	considered    []*v1.ListedBackEnd
	published     []*v1.ListedBackEnd
	backEnds      []*v1.ListedBackEnd
	namedServices namedServices
	// demands say how many back ends of each service relays are to know.
	demands map[string]*backEndDemand
	// readAt is when the reading behind the list began.
	readAt       time.Duration
	requestedAt  time.Duration
	dueAt        time.Duration
	readInFlight bool
	hasBeenRead  bool
	// total is how many back ends the whole list held.
	total int
}

// partial reports whether relays are told of a part of the back ends.
func (l *siteListing) partial() bool { return len(l.published) < l.total }

// tickListing asks for a reading when one is due.
func (c *Core) tickListing() {
	if c.config.ListingInterval <= 0 {
		return
	}
	c.readNamedServices()
	if c.listing.readInFlight && c.now-c.listing.requestedAt < listingTimeout {
		return
	}
	if !c.listing.readInFlight && c.now < c.listing.dueAt {
		return
	}
	c.listing.readInFlight = true
	c.listing.requestedAt = c.now
	c.listing.dueAt = c.now + c.listing.plan.interval(c.config.ListingInterval)
	c.emit(ReadListing{Pages: c.pagesToRead()})
}

// pagesToRead is how many pages of the list are read next; 0 is all. Who orders replicas counts them all.
func (c *Core) pagesToRead() int {
	if len(c.replicas.scalings) > 0 {
		return 0
	}
	return c.listing.plan.nextPages(c.now)
}

// handleListing takes a reading; a new version begins when it differs from the last.
func (c *Core) handleListing(received ListingReceived) {
	c.listing.readInFlight = false
	if received.Failed || !c.leading {
		return
	}
	c.listing.readAt = c.listing.requestedAt
	received.BackEnds = c.filterNamedServices(received.BackEnds)
	c.listing.considered = received.BackEnds
	required := c.requiredBackEnds(received.BackEnds)
	if received.Complete {
		c.listing.total = len(received.BackEnds)
		c.listing.considered = c.listing.plan.recordFullRead(c.now, received.BackEnds, received.Calls, required)
	} else {
		c.listing.plan.recordPartialRead(received.BackEnds, required)
	}
	c.choosePublished()
	c.listing.hasBeenRead = true
	c.refreshListing()
}

// refreshListing begins a new version when what relays get has changed.
func (c *Core) refreshListing() {
	if !c.listing.hasBeenRead {
		return
	}
	current := c.markChangingRoles(c.listing.published)
	if c.listing.version != 0 && slices.EqualFunc(current, c.listing.backEnds, listing.EqualEntries) {
		return
	}
	c.listing.version = listing.VersionOf(current)
	c.listing.backEnds = current
	c.listing.history.Add(c.listing.version, current)
}
