package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
)

// callerCheckInterval is the time between two looks at the callers' connections.
const callerCheckInterval = 250 * time.Millisecond

// callers looks for callers that went away while their answer is still to come: the
// server itself notices only when it writes.
type callers struct {
	mutex   sync.Mutex
	watched map[*callerWatch]struct{}
}

// callerWatch is one watched connection.
type callerWatch struct {
	callers     *callers
	connection  syscall.RawConn
	interrupter *upstream.Interrupter
}

func newCallers() *callers { return &callers{watched: map[*callerWatch]struct{}{}} }

// watch interrupts the exchange once the caller has closed its connection.
func (c *callers) watch(connection net.Conn, interrupter *upstream.Interrupter) *callerWatch {
	watch := &callerWatch{callers: c, interrupter: interrupter}
	system, ok := connection.(syscall.Conn)
	if !ok {
		return watch
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return watch
	}
	watch.connection = raw
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watched[watch] = struct{}{}
	return watch
}

func (w *callerWatch) end() {
	w.callers.mutex.Lock()
	defer w.callers.mutex.Unlock()
	delete(w.callers.watched, w)
}

// interrupt interrupts the exchange unless the watch has ended: from then on a claimed
// request runs to its end, whatever a look that had begun before finds.
func (w *callerWatch) interrupt(cause error) {
	w.callers.mutex.Lock()
	defer w.callers.mutex.Unlock()
	if _, watched := w.callers.watched[w]; watched {
		w.interrupter.Interrupt(cause)
	}
}

// run looks at the connections until the context ends.
func (c *callers) run(ctx context.Context) {
	for pause.For(ctx, callerCheckInterval) {
		for _, watch := range c.list() {
			if gone(watch.connection) {
				watch.interrupt(errCallerGone)
				watch.end()
			}
		}
	}
}

// interruptAll interrupts every request whose caller is watched.
func (c *callers) interruptAll(cause error) {
	for _, watch := range c.list() {
		watch.interrupt(cause)
	}
}

func (c *callers) list() []*callerWatch {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	watches := make([]*callerWatch, 0, len(c.watched))
	for watch := range c.watched {
		watches = append(watches, watch)
	}
	return watches
}

// gone reports whether the peer has closed the connection. It leaves bytes that wait to
// be read where they are.
func gone(connection syscall.RawConn) bool {
	closed := false
	err := connection.Control(func(descriptor uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || errors.Is(err, syscall.ECONNRESET)
	})
	return closed || err != nil
}
