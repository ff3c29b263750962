package control

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/listing"
	"github.com/hazelpitch/hazelpitch/internal/servedversions"
)

// ReadListing tells the runtime to read the external list of back ends; ListingReceived
// follows, also when the read fails. Only the leader reads the list, so that the calls do
// not grow with the number of controllers.
type ReadListing struct {
	// Pages is the number of pages to read from the start of the list; 0 means all.
	Pages int
}

// ListingReceived is the result of ReadListing. BackEnds is ignored when the read
// failed.
type ListingReceived struct {
	BackEnds []*v1.ListedBackEnd
	Failed   bool
	// Calls is the number of calls that the read took.
	Calls int
	// Complete means that all pages of the list were read.
	Complete bool
}

func (ReadListing) isOutput()    {}
func (ListingReceived) isInput() {}

// listingTimeout is the time after which the leader gives up a read of the list that has not finished, and starts another.
const listingTimeout = 2 * time.Second

// siteListing is the leader's view of the external list of back ends.
type siteListing struct {
	// version is a hash of the list that is sent to relays, so that the same list has the same version under every
	// leader; 0 before the first read.
	version uint64
	history listing.History
	// firstFormat is the list as sent to relays of the first format.
	firstFormat firstFormatListing
	// plan decides how much of the list is read.
	plan listingPlan
	// considered are the back ends from which the leader chooses those that relays get, published the chosen ones, and
	// backEnds the chosen ones with a mark on those whose role is being changed.
	considered    []*v1.ListedBackEnd
	published     []*v1.ListedBackEnd
	backEnds      []*v1.ListedBackEnd
	namedServices namedServices
	// demands are, by service, the numbers of back ends that relays need to know.
	demands map[string]*backEndDemand
	// readAt is the start time of the read that produced the list.
	readAt       time.Duration
	requestedAt  time.Duration
	dueAt        time.Duration
	readInFlight bool
	// isRead is true once the list was read; isPublished is true once it was published to relays as well.
	isRead, isPublished bool
	// total is the number of back ends in the last complete read.
	total int
	// versions are the software versions that can have begun streams, proposedVersions what this leader has proposed last to record of
	// them, and versionsIndex the log index of that record.
	versions         *servedversions.Ledger
	proposedVersions *v1.ServedVersions
	versionsIndex    uint64
}

// partial reports whether relays know only a part of the back ends.
func (l *siteListing) partial() bool { return len(l.published) < l.total }

// tickListing starts a read of the list when one is due.
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

// pagesToRead returns the number of pages of the next read; 0 means all. A leader that orders replicas reads
// all pages, because it counts all replicas.
func (c *Core) pagesToRead() int {
	if len(c.replicas.scalings) > 0 {
		return 0
	}
	return c.listing.plan.nextPages(c.now)
}

// handleListing processes a read of the list. The list gets a new version when the back ends sent to relays change.
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
	c.listing.isRead = true
	c.observeVersions()
	c.publishRecorded()
}

// refreshListing gives the list a new version when the back ends sent to relays have changed.
func (c *Core) refreshListing() {
	if !c.listing.isPublished {
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
