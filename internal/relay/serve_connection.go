package relay

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/closing"
)

// connections are the open connections of clients.
type connections struct {
	mutex sync.Mutex
	// isServing says for each connection whether it is serving a request; requests holds the request once it was read.
	isServing map[*clientConnection]bool
	requests  map[*clientConnection]*request
	// tracked holds the same connections, so that idle ones can be closed when the relay stops.
	tracked *closing.Set
}

func (c *connections) setServing(connection *clientConnection, serving bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isServing[connection] = serving
	delete(c.requests, connection)
}

// setRequest sets the request that a connection is serving.
func (c *connections) setRequest(connection *clientConnection, request *request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requests[connection] = request
}

// activeRequests returns the requests that are being served.
func (c *connections) activeRequests() []*request {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Collect(maps.Values(c.requests))
}

func (c *connections) remove(connection *clientConnection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.isServing, connection)
	delete(c.requests, connection)
}

// servingCount returns the number of connections that are serving a request.
func (c *connections) servingCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, serving := range c.isServing {
		if serving {
			count++
		}
	}
	return count
}

// serveConnection serves the requests of one connection, one after another.
func (r *Relay) serveConnection(connection *clientConnection) {
	r.connections.setServing(connection, false)
	defer r.connections.remove(connection)
	defer connection.Close()
	for {
		idle := r.clock.at(r.clock.now() + r.limits().IdleTimeout)
		if connection.awaitRequest(idle) != nil {
			return
		}
		connection.SetState(closing.Serving)
		r.connections.setServing(connection, true)
		if !r.serveNext(connection) {
			return
		}
		r.connections.setServing(connection, false)
		connection.SetState(closing.Idle)
	}
}

// serveNext reads and serves one request; it reports whether the connection can be used further.
func (r *Relay) serveNext(connection *clientConnection) bool {
	request, err := r.readRequest(connection)
	reply := &replier{connection: connection, names: r.dialect.Headers, isStopping: r.stopping.Load, isToRelay: connection.isFromRelay}
	if err != nil {
		var fault *requestFault
		if errors.As(err, &fault) {
			reply.close = true
			_ = connection.SetWriteDeadline(r.clock.at(r.clock.now() + writeSlack))
			reply.refuse(refusal{status: fault.status, reason: fault.message, retryAfter: fault.retryAfter()})
		}
		r.metrics.unreadRequests.Inc()
		r.log.recordUnread(err, reply.status, r.viewSnapshot())
		return false
	}
	defer request.bodyReservation.Release()
	reply.requestID = request.id
	reply.close = request.header.ConnectionClose()
	_ = connection.SetWriteDeadline(r.clock.at(request.arrivedAt + maxAnswerDuration))
	if r.refusesNewRequests() {
		reply.close = true
		r.log.recordUnserved(request, reasonStopping, r.viewSnapshot())
		reply.refuse(refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonStopping, retryAfter: retryAfterStop, isRetryableAtPeer: true})
		return false
	}
	r.connections.setRequest(connection, request)
	connection.watchForClose(request.canceller.cancel)
	r.serveRequest(request, reply)
	return !reply.close && !reply.aborted && !request.canceller.isCancelled()
}

const (
	// maxAnswerDuration bounds the time from a request's arrival to the end of its answer.
	maxAnswerDuration = 2 * time.Minute
	// retryAfterStop is short because the client can reach another relay at once.
	retryAfterStop = 10 * time.Millisecond
	// reasonStopping is the reason of the refusals of a stopping relay.
	reasonStopping = "this relay stops"
)

// isTimeout reports whether a read or write failed because its deadline had passed. The timeout of fasthttp is no net.Error.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
