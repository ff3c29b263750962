package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/subsetting"
)

const (
	// relayTimeout is the time since its last message after which a relay is no longer counted or listed.
	relayTimeout = 15 * time.Second
	// relayCountDelay is how long a new leader collects watches before it announces the
	// number of relays.
	relayCountDelay = 3 * time.Second
)

// relayRecord is what the leader records of a relay.
type relayRecord struct {
	name string
	// incarnation is the random identity of the relay's process.
	incarnation   uint64
	receivedAt    time.Duration
	noticeAddress string
	// formats are the formats that the relay supports.
	formats formats.Range
	// document and listing are the last updates sent to the relay.
	document, listing sentUpdate
}

// recordRelay records the relay of a watch, or removes it when it leaves.
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
	c.stages.speeds.record(c.now, request.GetEngineSpeeds(), c.listing.published)
	c.adoptDemand(request)
}

// refreshRelayList rebuilds the list of relays that may own cells when the relays or the engines have changed.
func (c *Core) refreshRelayList() {
	if c.updates.relayListFresh {
		return
	}
	c.updates.relayList = subsetting.OwnerCandidates(c.noticeAddresses(), len(c.listing.published))
	c.updates.relaysWithoutPermits = c.withoutPermits(c.updates.relayList)
	c.updates.relayFormats = c.highestFormats(c.updates.relayList)
	c.updates.relayListHash = hashRelayList(slices.Concat(c.updates.relayList, c.updates.relaysWithoutPermits), c.updates.relayFormats)
	c.updates.relayListFresh = true
}

// withoutPermits returns those addresses whose relays do not grant permits to other relays.
func (c *Core) withoutPermits(addresses []string) []string {
	isWithoutPermits := map[string]bool{}
	for _, record := range c.relays {
		if !record.formats.Supports(formats.RelayPermits) {
			isWithoutPermits[record.noticeAddress] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return !isWithoutPermits[address] })
}

// highestFormats returns the highest formats of the relays at the addresses, in the same order. Where two relays report
// one address, as the former and the new process of a relay do, it is the lower of their formats.
func (c *Core) highestFormats(addresses []string) []uint32 {
	byAddress := make(map[string]uint32, len(c.relays))
	for _, record := range c.relays {
		highest := uint32(record.formats.Highest)
		if known, isKnown := byAddress[record.noticeAddress]; !isKnown || highest < known {
			byAddress[record.noticeAddress] = highest
		}
	}
	highest := make([]uint32, len(addresses))
	for index, address := range addresses {
		highest[index] = byAddress[address]
	}
	return highest
}

// hashRelayList returns a hash of a list of addresses and of the relays' formats; 0 for an empty list. The formats are
// part of it, so that relays are sent the list again when only a format has changed.
func hashRelayList(addresses []string, highestFormats []uint32) uint64 {
	if len(addresses) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(addresses, ",") + fmt.Sprint(highestFormats))
}

// relayCount returns the number of relays with a message within relayTimeout; 0 during this leader's first relayCountDelay.
func (c *Core) relayCount() uint32 {
	if c.now-c.leadingSince < relayCountDelay {
		return 0
	}
	return uint32(len(c.relays))
}

// dropSilentRelays drops relays without a message for longer than relayTimeout. It must be called regularly.
func (c *Core) dropSilentRelays() {
	for name, record := range c.relays {
		if c.now-record.receivedAt > relayTimeout {
			delete(c.relays, name)
			c.updates.relayListFresh = false
		}
	}
}

// noticeAddresses returns the sorted addresses at which relays receive load notices.
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
