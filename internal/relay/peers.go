package relay

import (
	"net"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/relay/origins"
	"github.com/hazelpitch/hazelpitch/internal/relay/peerhealth"
)

// initPeers sets up everything that exchanges datagrams with other relays.
func (r *Relay) initPeers(socket net.PacketConn) {
	r.datagrams = datagram.New(socket, r.metrics.datagramsDropped)
	r.notices = newLoadNotices(r, r.datagrams, r.fleet.incarnation)
	r.exchanger.notices = r.notices
	r.peers = peerhealth.New(func(relay string, waited time.Duration) {
		r.event(events.OwnerSuspected).Str("owner", relay).Int64("waited_ms", waited.Milliseconds()).Send()
	})
	r.placements = newPlacementClient(r, r.datagrams, r.fleet.incarnation, r.peers)
	r.permits = newPermits(r)
	r.origins = origins.New(r.originsConfig())
	r.slotAnswerTimeout = r.peers.Timeout
	r.slots = newSlots(r)
	r.placementOwner = newPlacementOwner(r)
	r.owners = newOwnerTable(r.datagrams.Address, r.event)
}

// handleDatagram passes a datagram to its handler.
func (r *Relay) handleDatagram(received *v1.RelayDatagram, from string) {
	switch content := received.GetContent().(type) {
	case *v1.RelayDatagram_Notice:
		r.notices.handle(content.Notice)
	case *v1.RelayDatagram_Request:
		r.placementOwner.handleQuery(content.Request, func(answer *v1.PlacementAnswer) {
			r.datagrams.Send(from, &v1.RelayDatagram{Content: &v1.RelayDatagram_Answer{Answer: answer}})
		})
	case *v1.RelayDatagram_Answer:
		r.placements.deliver(content.Answer)
	case *v1.RelayDatagram_Cancel:
		r.placementOwner.cancel(content.Cancel)
	case *v1.RelayDatagram_LimitAsk:
		r.permits.HandleRequest(content.LimitAsk, from)
	case *v1.RelayDatagram_LimitAnswer:
		r.permits.HandleAnswer(content.LimitAnswer)
	case *v1.RelayDatagram_LimitNotice:
		r.permits.HandleNotice(content.LimitNotice, from)
	case *v1.RelayDatagram_SlotRequest:
		r.slots.HandleRequest(content.SlotRequest, from)
	case *v1.RelayDatagram_SlotAnswer:
		r.slots.HandleAnswer(content.SlotAnswer)
	case *v1.RelayDatagram_SlotReport:
		r.slots.HandleReport(content.SlotReport)
	case *v1.RelayDatagram_SlotPromises:
		r.slots.HandlePromises(content.SlotPromises, from)
	case *v1.RelayDatagram_StreamOriginReport:
		r.origins.HandleReport(content.StreamOriginReport, from)
	case *v1.RelayDatagram_StreamOriginReceipt:
		r.origins.HandleReceipt(content.StreamOriginReceipt)
	case *v1.RelayDatagram_StreamOriginQuery:
		r.origins.HandleQuery(content.StreamOriginQuery, from)
	case *v1.RelayDatagram_StreamOriginAnswer:
		r.origins.HandleAnswer(content.StreamOriginAnswer)
	default:
		r.datagrams.CountDrop(datagram.Unexpected)
	}
}

// setRelayFormats applies the highest formats of the listed relays, in the order of their addresses. A leader of an earlier build
// sends none; no other relay is then known to bind streams to software versions.
func (r *Relay) setRelayFormats(addresses []string, highestFormats []uint32) {
	r.setSlotRelays(addresses, highestFormats)
	withVersions := relaysSupporting(formats.SoftwareVersions, addresses, highestFormats)
	r.forwarder.setVersionRelays(withVersions)
	r.origins.SetRelays(withVersions)
}

// relaysSupporting returns the addresses of the relays whose highest format is at least the given one.
func relaysSupporting(number formats.Number, addresses []string, highestFormats []uint32) []string {
	if len(highestFormats) != len(addresses) {
		return nil
	}
	var supporting []string
	for index, address := range addresses {
		if formats.Number(highestFormats[index]) >= number {
			supporting = append(supporting, address)
		}
	}
	return supporting
}

// setRelays applies a new list of relays. Those in relaysWithoutPermits cannot own limits, since their format lacks permits.
func (r *Relay) setRelays(addresses, relaysWithoutPermits []string) {
	limitOwners := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return slices.Contains(relaysWithoutPermits, address) })
	r.permits.SetRelays(limitOwners)
	if !r.owners.setRelays(addresses) {
		return
	}
	listed := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		listed[address] = true
	}
	r.notices.setPeers(addresses)
	r.forwarder.setPeers(slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return address == r.datagrams.Address }))
	r.peers.Retain(listed)
	r.datagrams.RetainAddresses(listed)
}
