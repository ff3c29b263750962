package control

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// ReadListing asks the runtime to read the outside list of back ends; ListingReceived
// follows, or the loss of it. Only the leader asks, so that the calls do not grow with the
// number of controllers.
type ReadListing struct{}

// ListingReceived is a reading of the list of back ends. BackEnds is ignored when the
// reading failed.
type ListingReceived struct {
	BackEnds []*v1.ListedBackEnd
	Failed   bool
}

func (ReadListing) isOutput()    {}
func (ListingReceived) isInput() {}

// listingTimeout is how long a reading may be under way before the next one begins.
const listingTimeout = 2 * time.Second

// listing is the leader's view of the outside list of back ends.
type listing struct {
	// version is a hash of the list, so that the same list has the same version under every leader;
	// 0 is none yet.
	version uint64
	history listingHistory
	// raw is the list as read; backEnds is what relays get, with changes of roles marked.
	raw      []*v1.ListedBackEnd
	backEnds []*v1.ListedBackEnd
	// readAt is when the reading behind the list began.
	readAt   time.Duration
	askedAt  time.Duration
	dueAt    time.Duration
	underWay bool
	read     bool
}

// tickListing asks for a reading when one is due.
func (c *Core) tickListing() {
	if c.config.ListingInterval <= 0 {
		return
	}
	if c.listing.underWay && c.now-c.listing.askedAt < listingTimeout {
		return
	}
	if !c.listing.underWay && c.now < c.listing.dueAt {
		return
	}
	c.listing.underWay = true
	c.listing.askedAt = c.now
	c.listing.dueAt = c.now + c.config.ListingInterval
	c.emit(ReadListing{})
}

// takeListing takes a reading; a new version begins when it differs from the last.
func (c *Core) takeListing(received ListingReceived) {
	c.listing.underWay = false
	if received.Failed || !c.leading {
		return
	}
	sorted := slices.Clone(received.BackEnds)
	slices.SortFunc(sorted, func(a, b *v1.ListedBackEnd) int { return strings.Compare(a.GetId(), b.GetId()) })
	c.listing.readAt = c.listing.askedAt
	c.listing.raw = sorted
	c.listing.read = true
	c.refreshListing()
}

// refreshListing begins a new version when what relays get has changed.
func (c *Core) refreshListing() {
	if !c.listing.read {
		return
	}
	current := c.marked(c.listing.raw)
	if c.listing.version != 0 && slices.EqualFunc(current, c.listing.backEnds, sameBackEnd) {
		return
	}
	c.listing.version = versionOf(current)
	c.listing.backEnds = current
	c.listing.history.add(c.listing.version, current)
}

// sameBackEnd compares two entries but for the time that a cold one needs, which runs on.
func sameBackEnd(a, b *v1.ListedBackEnd) bool {
	if (a.GetColdMs() == 0) != (b.GetColdMs() == 0) {
		return false
	}
	if a.GetColdMs() == b.GetColdMs() {
		return proto.Equal(a, b)
	}
	other := proto.CloneOf(b)
	other.ColdMs = a.GetColdMs()
	return proto.Equal(a, other)
}
