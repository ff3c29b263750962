package relay

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const (
	// datagramFormat is the version of what relays send each other.
	datagramFormat = 1
	// maximumDatagram bounds a datagram, so that it fits into one packet.
	maximumDatagram = 1200
	// receivePause is the wait after a failed reading of the socket.
	receivePause = 3 * time.Millisecond
)

// dropReason is why a datagram was not taken.
type dropReason string

// Reasons to drop datagrams.
const (
	dropGarbled  dropReason = "garbled"
	dropFormat   dropReason = "other_format"
	dropTooLarge dropReason = "too_large"
	dropUnknown  dropReason = "not_expected"
	dropTooMany  dropReason = "too_many"
)

// datagrams sends and receives what relays tell and ask each other. Any datagram may be lost,
// doubled or late.
type datagrams struct {
	socket net.PacketConn
	// address is where this relay takes datagrams.
	address string
	// dropped counts datagrams that were not taken, by reason.
	dropped *prometheus.CounterVec

	mutex     sync.Mutex
	addresses map[string]net.Addr
}

func newDatagrams(socket net.PacketConn, dropped *prometheus.CounterVec) *datagrams {
	return &datagrams{socket: socket, address: socket.LocalAddr().String(), dropped: dropped, addresses: map[string]net.Addr{}}
}

// send sends a datagram to a relay's address. One that is lost is made good for by those who
// wait for it.
func (d *datagrams) send(to string, datagram *v1.RelayDatagram) {
	datagram.Format = datagramFormat
	content, err := proto.Marshal(datagram)
	if err != nil || len(content) > maximumDatagram {
		d.drop(dropTooLarge)
		return
	}
	if address := d.resolve(to); address != nil {
		_, _ = d.socket.WriteTo(content, address) // like one that is lost on its way
	}
}

// resolve returns the address of a relay; nil for none.
func (d *datagrams) resolve(address string) net.Addr {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known, is := d.addresses[address]; is {
		return known
	}
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil
	}
	d.addresses[address] = resolved
	return resolved
}

// keep forgets the addresses of relays that are not listed.
func (d *datagrams) keep(listed map[string]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for address := range d.addresses {
		if !listed[address] {
			delete(d.addresses, address)
		}
	}
}

// receive hands datagrams over until the socket is closed.
func (d *datagrams) receive(take func(datagram *v1.RelayDatagram, from string)) {
	buffer := make([]byte, 2*maximumDatagram)
	for {
		length, from, err := d.socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(receivePause)
			continue
		}
		if datagram := d.parse(buffer[:length]); datagram != nil {
			take(datagram, from.String())
		}
	}
}

// parse reads a datagram; nil for one that is not taken.
func (d *datagrams) parse(content []byte) *v1.RelayDatagram {
	datagram := &v1.RelayDatagram{}
	if proto.Unmarshal(content, datagram) != nil {
		d.drop(dropGarbled)
		return nil
	}
	if datagram.GetFormat() != datagramFormat {
		d.drop(dropFormat)
		return nil
	}
	return datagram
}

// drop counts a datagram that was not taken.
func (d *datagrams) drop(reason dropReason) { d.dropped.WithLabelValues(string(reason)).Inc() }
