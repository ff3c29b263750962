// Package peertransport is the HTTP transport of calls between the system's own processes. A call that ends by its deadline says
// nothing about its HTTP/2 connection, which later calls would share, although it may carry nothing any more: later calls
// therefore use another connection.
package peertransport

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// minimumInterval is the minimum time between two replacements of the connections, so that an overloaded peer is not
	// burdened with a new connection for each late answer.
	minimumInterval = time.Second
	// closeAfter is the time after which the former connections are closed, unless calls that began before are still under way.
	closeAfter = 10 * time.Second
)

// Transport is an http.RoundTripper. After a request that its deadline ended without an answer, new requests use new
// connections; those under way go on. It is safe for concurrent use.
type Transport struct {
	create func() *http.Transport

	mutex   sync.Mutex
	current *http.Transport
	// isFresh is true for minimumInterval after the connections were replaced.
	isFresh bool
}

// New returns a Transport; the function returns a new http.Transport without connections.
func New(create func() *http.Transport) *Transport {
	return &Transport{create: create, current: create()}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	used := t.load()
	response, err := used.RoundTrip(request)
	if err != nil && errors.Is(request.Context().Err(), context.DeadlineExceeded) {
		t.replace(used)
	}
	return response, err
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.load().CloseIdleConnections() }

func (t *Transport) load() *http.Transport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.current
}

// replace makes new requests use new connections, unless they do so already.
func (t *Transport) replace(used *http.Transport) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.current != used || t.isFresh {
		return
	}
	t.current, t.isFresh = t.create(), true
	time.AfterFunc(minimumInterval, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.isFresh = false
	})
	used.CloseIdleConnections()
	// A request that was just cancelled counts as under way for a moment.
	time.AfterFunc(closeAfter, used.CloseIdleConnections)
}
