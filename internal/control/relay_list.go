package control

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/subsetting"
)

const (
	// relayMemory is how long a relay counts after it was last heard.
	relayMemory = 15 * time.Second
	// relayCountAfter is how long a new leader listens before it tells how many relays
	// there are.
	relayCountAfter = 3 * time.Second
)

// relayRecord is what the leader remembers of a relay.
type relayRecord struct {
	name string
	// start is the random identity of its start.
	start         uint64
	heardAt       time.Duration
	noticeAddress string
	// formats are those that it knows.
	formats formats.Range
	// document and listing are what it was told last.
	document, listing telling
}

// noteRelay counts the relay, or forgets it when it leaves.
func (c *Core) noteRelay(request *v1.WatchRequest) {
	name := request.GetNode().GetName()
	if request.GetLeaving() {
		delete(c.relays, name)
		c.news.fresh = false
		return
	}
	record := c.relays[name]
	if record == nil || record.start != request.GetNode().GetIncarnation() {
		record = &relayRecord{name: name, start: request.GetNode().GetIncarnation()}
		c.relays[name] = record
		c.news.fresh = false
	}
	if record.noticeAddress != request.GetNoticeAddress() {
		c.news.fresh = false
	}
	if told := formats.FromWire(request.GetFormats()); told != record.formats {
		record.formats = told
		c.news.fresh = false
	}
	record.document.holds(request.GetDocumentNumber())
	record.listing.holds(request.GetListingVersion())
	record.heardAt, record.noticeAddress = c.now, request.GetNoticeAddress()
	c.noteWork(request)
	c.adoptDemand(request)
}

// refreshRelayList makes the list of relays that may own cells anew when relays or engines are others.
func (c *Core) refreshRelayList() {
	if c.news.fresh {
		return
	}
	c.news.relayList = subsetting.Candidates(c.noticeAddresses(), len(c.listing.told))
	c.news.formerRelays = c.formerAmong(c.news.relayList)
	c.news.relayHash = hashOfList(slices.Concat(c.news.relayList, c.news.formerRelays))
	c.news.fresh = true
}

// formerAmong returns the addresses of a list at which relays keep no counts for others.
func (c *Core) formerAmong(addresses []string) []string {
	former := map[string]bool{}
	for _, record := range c.relays {
		if !record.formats.Supports(formats.RelayPermits) {
			former[record.noticeAddress] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return !former[address] })
}

// hashOfList identifies a list of addresses; 0 for an empty one.
func hashOfList(addresses []string) uint64 {
	if len(addresses) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(addresses, ","))
}

// relayCount returns how many relays were heard of lately; 0 while it is not known.
func (c *Core) relayCount() uint32 {
	if c.now-c.leadingSince < relayCountAfter {
		return 0
	}
	return uint32(len(c.relays))
}

// forgetRelays forgets relays that have not been heard of for long. Call it now and then.
func (c *Core) forgetRelays() {
	for name, record := range c.relays {
		if c.now-record.heardAt > relayMemory {
			delete(c.relays, name)
			c.news.fresh = false
		}
	}
}

// noticeAddresses returns where relays take load notices, sorted.
func (c *Core) noticeAddresses() []string {
	var addresses []string
	for _, record := range c.relays {
		if record.noticeAddress != "" {
			addresses = append(addresses, record.noticeAddress)
		}
	}
	slices.Sort(addresses)
	return addresses
}
