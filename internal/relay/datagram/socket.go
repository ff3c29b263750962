// Package datagram sends messages between relays, one message per UDP packet. A message may be lost, duplicated or delayed.
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
	// Format is the version of the datagrams' format.
	Format = 1
	// MaxSize is the largest datagram in bytes, chosen so that it fits into one packet.
	MaxSize = 1200
	// receiveRetryDelay is the delay before the next read after a read of the socket failed.
	receiveRetryDelay = 3 * time.Millisecond
)

// DropReason says why a datagram was dropped. It is a label value of the metric that counts them.
type DropReason string

// Reasons for which datagrams are dropped.
const (
	Malformed         DropReason = "garbled"
	UnsupportedFormat DropReason = "other_format"
	TooLarge          DropReason = "too_large"
	Unexpected        DropReason = "not_expected"
	BacklogFull       DropReason = "too_many"
)

// Socket sends and receives the datagrams of a relay. Any datagram may be lost, duplicated or delayed. It is safe for
// concurrent use.
type Socket struct {
	connection net.PacketConn
	// Address is the local address on which this relay receives datagrams.
	Address string
	// dropped counts dropped datagrams by reason.
	dropped *prometheus.CounterVec

	mutex     sync.Mutex
	addresses map[string]net.Addr
}

// New returns a Socket on a packet connection. It counts dropped datagrams by reason.
func New(connection net.PacketConn, dropped *prometheus.CounterVec) *Socket {
	return &Socket{connection: connection, Address: connection.LocalAddr().String(), dropped: dropped, addresses: map[string]net.Addr{}}
}

// Send sends a datagram to a relay's address. It reports no errors: a lost datagram is handled by the timeouts of those
// who wait for an answer.
func (d *Socket) Send(to string, datagram *v1.RelayDatagram) {
	datagram.Format = Format
	content, err := proto.Marshal(datagram)
	if err != nil || len(content) > MaxSize {
		d.CountDrop(TooLarge)
		return
	}
	if address := d.resolve(to); address != nil {
		_, _ = d.connection.WriteTo(content, address) // a failed send is treated like a lost datagram
	}
}

// resolve returns the network address of a relay, from a cache where possible; nil when it cannot be resolved.
func (d *Socket) resolve(address string) net.Addr {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if cached, isCached := d.addresses[address]; isCached {
		return cached
	}
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil
	}
	d.addresses[address] = resolved
	return resolved
}

// RetainAddresses removes the cached addresses of all relays that are not listed.
func (d *Socket) RetainAddresses(listed map[string]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for address := range d.addresses {
		if !listed[address] {
			delete(d.addresses, address)
		}
	}
}

// Receive calls handle for each valid datagram. It blocks until the socket is closed.
func (d *Socket) Receive(handle func(datagram *v1.RelayDatagram, from string)) {
	buffer := make([]byte, 2*MaxSize)
	for {
		length, from, err := d.connection.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(receiveRetryDelay)
			continue
		}
		if datagram := d.Parse(buffer[:length]); datagram != nil {
			handle(datagram, from.String())
		}
	}
}

// Parse decodes a datagram. It returns nil for one that is malformed or of another format, and counts it as dropped.
func (d *Socket) Parse(content []byte) *v1.RelayDatagram {
	datagram := &v1.RelayDatagram{}
	if proto.Unmarshal(content, datagram) != nil {
		d.CountDrop(Malformed)
		return nil
	}
	if datagram.GetFormat() != Format {
		d.CountDrop(UnsupportedFormat)
		return nil
	}
	return datagram
}

// CountDrop counts a dropped datagram by its reason.
func (d *Socket) CountDrop(reason DropReason) { d.dropped.WithLabelValues(string(reason)).Inc() }

// Close closes the socket, which ends Receive. Later calls of Send have no effect.
func (d *Socket) Close() error { return d.connection.Close() }
