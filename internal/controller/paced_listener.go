package controller

import (
	"math"
	"net"
	"sync/atomic"
	"time"
)

const (
	// acceptBurst is how many connections are accepted at once.
	acceptBurst = 16
	// newsPerAccept is by how many times a new connection takes more of the processor than an answer on one
	// that is open.
	newsPerAccept = 2
)

// pacedListener accepts connections over time. When all relays come at once, the opening of hundreds of
// connections keeps a controller from its peers' messages for longer than they wait for a leader; those
// that wait for their turn wait in the kernel.
type pacedListener struct {
	net.Listener
	// perSecond holds the bits of the pace, a float64.
	perSecond atomic.Uint64
	// next is when the next connection may be accepted; only Accept uses it, which one goroutine calls.
	next time.Time
}

func newPacedListener(listener net.Listener, perSecond float64) *pacedListener {
	paced := &pacedListener{Listener: listener}
	paced.setPace(perSecond)
	return paced
}

// setPace sets how many connections are accepted a second.
func (l *pacedListener) setPace(perSecond float64) { l.perSecond.Store(math.Float64bits(perSecond)) }

// Accept implements net.Listener.
func (l *pacedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	interval := time.Duration(float64(time.Second) / math.Float64frombits(l.perSecond.Load()))
	if earliest := now.Add(-acceptBurst * interval); l.next.Before(earliest) {
		l.next = earliest
	}
	l.next = l.next.Add(interval)
	time.Sleep(l.next.Sub(now)) // not at all while the burst lasts
	return connection, nil
}
