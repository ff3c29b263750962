package relay

import (
	"net"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/relay/peerhealth"
)

// meetOthers sets up what goes by datagrams between relays.
func (r *Relay) meetOthers(socket net.PacketConn) {
	r.datagrams = datagram.New(socket, r.metrics.datagramsDropped)
	r.notices = newNotices(r, r.datagrams, r.knowledge.incarnation)
	r.exchanger.notices = r.notices
	r.peers = peerhealth.New(func(relay string, waited time.Duration) {
		r.event(events.OwnerSuspected).Str("owner", relay).Int64("waited_ms", waited.Milliseconds()).Send()
	})
	r.asker = newAsker(r, r.datagrams, r.knowledge.incarnation, r.peers)
	r.permits = newPermits(r)
	r.owner = newPlacementOwner(r)
	r.owners = newOwnerTable(r.datagrams.Address, r.event)
}

// takeDatagram hands a datagram to those whom it concerns.
func (r *Relay) takeDatagram(told *v1.RelayDatagram, from string) {
	switch content := told.GetContent().(type) {
	case *v1.RelayDatagram_Notice:
		r.notices.take(content.Notice)
	case *v1.RelayDatagram_Request:
		r.owner.answer(content.Request, func(answer *v1.PlacementAnswer) {
			r.datagrams.Send(from, &v1.RelayDatagram{Content: &v1.RelayDatagram_Answer{Answer: answer}})
		})
	case *v1.RelayDatagram_Answer:
		r.asker.take(content.Answer)
	case *v1.RelayDatagram_Cancel:
		r.owner.cancel(content.Cancel)
	case *v1.RelayDatagram_LimitAsk:
		r.permits.HandleRequest(content.LimitAsk, from)
	case *v1.RelayDatagram_LimitAnswer:
		r.permits.HandleAnswer(content.LimitAnswer)
	case *v1.RelayDatagram_LimitNotice:
		r.permits.HandleNotice(content.LimitNotice, from)
	default:
		r.datagrams.CountDrop(datagram.Unexpected)
	}
}

// setRelays takes the addresses of all relays.
func (r *Relay) setRelays(addresses, former []string) {
	keepers := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return slices.Contains(former, address) })
	r.permits.SetRelays(keepers)
	if !r.owners.setRelays(addresses) {
		return
	}
	listed := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		listed[address] = true
	}
	r.notices.setPeers(addresses)
	r.peers.Retain(listed)
	r.datagrams.RetainAddresses(listed)
}
