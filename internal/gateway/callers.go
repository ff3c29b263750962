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

// callerCheckInterval is the time between two checks of the callers' connections.
const callerCheckInterval = 250 * time.Millisecond

// callerWatcher detects callers that disconnect while their request runs: the HTTP server
// itself notices a disconnect only when it writes.
type callerWatcher struct {
	mutex   sync.Mutex
	watched map[*callerWatch]struct{}
}

// callerWatch is the watch of one caller's connection.
type callerWatch struct {
	watcher     *callerWatcher
	connection  syscall.RawConn
	interrupter *upstream.Interrupter
	// ignoresCaller is true if the request runs to its end without its caller; the watcher's mutex guards it.
	ignoresCaller bool
}

func newCallerWatcher() *callerWatcher { return &callerWatcher{watched: map[*callerWatch]struct{}{}} }

// watch interrupts the request's exchanges once the caller has closed its connection.
func (c *callerWatcher) watch(connection net.Conn, interrupter *upstream.Interrupter) *callerWatch {
	watch := &callerWatch{watcher: c, interrupter: interrupter}
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

func (w *callerWatch) stop() {
	w.watcher.mutex.Lock()
	defer w.watcher.mutex.Unlock()
	delete(w.watcher.watched, w)
}

// ignoreCaller lets the request run to its end if the caller closes its connection. A stop of the gateway still interrupts it.
func (w *callerWatch) ignoreCaller() {
	w.watcher.mutex.Lock()
	defer w.watcher.mutex.Unlock()
	w.ignoresCaller = true
}

// interrupt interrupts the exchanges, for the first cause, unless the watch has been stopped. A caller that has gone interrupts nothing
// if the request runs without it: a check that started before ignoreCaller may find the connection closed after it.
func (w *callerWatch) interrupt(cause error) {
	w.watcher.mutex.Lock()
	defer w.watcher.mutex.Unlock()
	if _, watched := w.watcher.watched[w]; !watched || w.ignoresCaller && errors.Is(cause, errCallerGone) {
		return
	}
	w.interrupter.Interrupt(cause)
	delete(w.watcher.watched, w)
}

// run checks the connections until the context ends.
func (c *callerWatcher) run(ctx context.Context) {
	for pause.For(ctx, callerCheckInterval) {
		for _, watch := range c.list() {
			if isPeerClosed(watch.connection) {
				watch.interrupt(errCallerGone)
			}
		}
	}
}

// interruptAll interrupts every request whose caller is watched.
func (c *callerWatcher) interruptAll(cause error) {
	for _, watch := range c.list() {
		watch.interrupt(cause)
	}
}

func (c *callerWatcher) list() []*callerWatch {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	watches := make([]*callerWatch, 0, len(c.watched))
	for watch := range c.watched {
		watches = append(watches, watch)
	}
	return watches
}

// isPeerClosed reports whether the peer has closed the connection. It peeks, so that unread bytes stay in the
// receive buffer.
func isPeerClosed(connection syscall.RawConn) bool {
	isClosed := false
	err := connection.Control(func(descriptor uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isClosed = (n == 0 && err == nil) || errors.Is(err, syscall.ECONNRESET)
	})
	return isClosed || err != nil
}
