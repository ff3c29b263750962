// Package datagram carries what relays tell and ask each other: one message a packet, which may be lost, doubled or late.
package datagram

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
	// Format is the version of what relays send each other.
	Format = 1
	// MaximumSize bounds a datagram, so that it fits into one packet.
	MaximumSize = 1200
	// receivePause is the wait after a failed reading of the socket.
	receivePause = 3 * time.Millisecond
)

// DropReason is why a datagram was not taken.
type DropReason string

// Reasons to drop datagrams.
const (
	Garbled     DropReason = "garbled"
	OtherFormat DropReason = "other_format"
	TooLarge    DropReason = "too_large"
	NotExpected DropReason = "not_expected"
	TooMany     DropReason = "too_many"
)

// Socket sends and receives what relays tell and ask each other. Any datagram may be lost,
// doubled or late.
type Socket struct {
	connection net.PacketConn
	// Address is where this relay takes datagrams.
	Address string
	// dropped counts datagrams that were not taken, by reason.
	dropped *prometheus.CounterVec

	mutex     sync.Mutex
	addresses map[string]net.Addr
}

// New returns a Socket that takes and sends on a packet connection. What is not taken is counted by its reason.
func New(connection net.PacketConn, dropped *prometheus.CounterVec) *Socket {
	return &Socket{connection: connection, Address: connection.LocalAddr().String(), dropped: dropped, addresses: map[string]net.Addr{}}
}

// Send sends a datagram to a relay's address. One that is lost is made good for by those who
// wait for it.
func (d *Socket) Send(to string, datagram *v1.RelayDatagram) {
	datagram.Format = Format
	content, err := proto.Marshal(datagram)
	if err != nil || len(content) > MaximumSize {
		d.Drop(TooLarge)
		return
	}
	if address := d.resolve(to); address != nil {
		_, _ = d.connection.WriteTo(content, address) // like one that is lost on its way
	}
}

// resolve returns the address of a relay; nil for none.
func (d *Socket) resolve(address string) net.Addr {
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

// Keep forgets the addresses of relays that are not listed.
func (d *Socket) Keep(listed map[string]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for address := range d.addresses {
		if !listed[address] {
			delete(d.addresses, address)
		}
	}
}

// Receive hands datagrams over until the socket is closed.
func (d *Socket) Receive(take func(datagram *v1.RelayDatagram, from string)) {
	buffer := make([]byte, 2*MaximumSize)
	for {
		length, from, err := d.connection.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(receivePause)
			continue
		}
		if datagram := d.Parse(buffer[:length]); datagram != nil {
			take(datagram, from.String())
		}
	}
}

// Parse reads a datagram; nil for one that is not taken.
func (d *Socket) Parse(content []byte) *v1.RelayDatagram {
	datagram := &v1.RelayDatagram{}
	if proto.Unmarshal(content, datagram) != nil {
		d.Drop(Garbled)
		return nil
	}
	if datagram.GetFormat() != Format {
		d.Drop(OtherFormat)
		return nil
	}
	return datagram
}

// Drop counts a datagram that was not taken.
func (d *Socket) Drop(reason DropReason) { d.dropped.WithLabelValues(string(reason)).Inc() }

// Close ends Receive; nothing is sent any more.
func (d *Socket) Close() error { return d.connection.Close() }
