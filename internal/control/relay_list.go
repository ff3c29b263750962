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
	// relayTimeout is how long a relay counts after it was last heard.
	relayTimeout = 15 * time.Second
	// relayCountDelay is how long a new leader listens before it tells how many relays
	// there are.
	relayCountDelay = 3 * time.Second
)

// relayRecord is what the leader remembers of a relay.
type relayRecord struct {
	name string
	// incarnation is the random identity of its incarnation.
	incarnation   uint64
	receivedAt    time.Duration
	noticeAddress string
	// formats are those that it knows.
	formats formats.Range
	// document and listing are what it was told last.
	document, listing sentUpdate
}

// recordRelay counts the relay, or forgets it when it leaves.
func (c *Core) recordRelay(request *v1.WatchRequest) {
	name := request.GetNode().GetName()
	if request.GetLeaving() {
		delete(c.relays, name)
		c.updates.relayListFresh = false
		return
	}
	record := c.relays[name]
	if record == nil || record.incarnation != request.GetNode().GetIncarnation() {
		record = &relayRecord{name: name, incarnation: request.GetNode().GetIncarnation()}
		c.relays[name] = record
		c.updates.relayListFresh = false
	}
	if record.noticeAddress != request.GetNoticeAddress() {
		c.updates.relayListFresh = false
	}
	if supported := formats.FromWire(request.GetFormats()); supported != record.formats {
		record.formats = supported
		c.updates.relayListFresh = false
	}
	record.document.observeHeld(request.GetDocumentNumber())
	record.listing.observeHeld(request.GetListingVersion())
	record.receivedAt, record.noticeAddress = c.now, request.GetNoticeAddress()
	c.recordWork(request)
	c.adoptDemand(request)
}

// refreshRelayList makes the list of relays that may own cells anew when relays or engines are others.
func (c *Core) refreshRelayList() {
	if c.updates.relayListFresh {
		return
	}
	c.updates.relayList = subsetting.OwnerCandidates(c.noticeAddresses(), len(c.listing.published))
	c.updates.formerRelays = c.firstFormatAmong(c.updates.relayList)
	c.updates.relayListHash = hashAddresses(slices.Concat(c.updates.relayList, c.updates.formerRelays))
	c.updates.relayListFresh = true
}

// firstFormatAmong returns the addresses of a list at which relays keep no counts for others.
func (c *Core) firstFormatAmong(addresses []string) []string {
	former := map[string]bool{}
	for _, record := range c.relays {
		if !record.formats.Supports(formats.RelayPermits) {
			former[record.noticeAddress] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return !former[address] })
}

// hashAddresses identifies a list of addresses; 0 for an empty one.
func hashAddresses(addresses []string) uint64 {
	if len(addresses) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(addresses, ","))
}

// relayCount returns how many relays were heard of lately; 0 while it is not known.
func (c *Core) relayCount() uint32 {
	if c.now-c.leadingSince < relayCountDelay {
		return 0
	}
	return uint32(len(c.relays))
}

// dropSilentRelays forgets relays that have not been heard of for long. Call it now and then.
func (c *Core) dropSilentRelays() {
	for name, record := range c.relays {
		if c.now-record.receivedAt > relayTimeout {
			delete(c.relays, name)
			c.updates.relayListFresh = false
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
