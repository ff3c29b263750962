package relay

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
	"github.com/hazelpitch/hazelpitch/internal/relay/forwarding"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// request is one request of a client, read completely.
type request struct {
	id     string
	method string
	// target is the path with the query string as the client sent them.
	target string
	host   string
	header *fasthttp.RequestHeader
	body   []byte
	// signature is the same for all requests that a back end would process in the same way, whatever their identities.
	signature quarantine.Signature
	// isTrial is true if the request is quarantined and may be sent to a single back end once.
	isTrial bool

	route   *serving.Route
	service *serving.Service
	prompt  serving.Prompt
	// usesKeys is true if clients are identified by keys; tenant is the client's tenant, nil for an anonymous client.
	usesKeys bool
	tenant   *serving.Tenant
	// isUsageCounted is true if the request is counted in the tenant's usage already.
	isUsageCounted bool
	// rank is the request's rank in the queues of engines.
	rank placement.Rank
	// priorityLevel is the request's priority level, 0 the most urgent.
	priorityLevel int

	arrivedAt time.Duration
	// deadline is when the final answer is due: the earlier of the client's deadline and the route's timeout.
	deadline time.Duration

	// forwarded is what another relay has already done for a request that it has forwarded; nil for a client's own request.
	forwarded *forwarding.Progress

	canceller canceller
	trace     requestTrace
}

// tenantName returns the tenant's name; empty for an anonymous client.
func (r *request) tenantName() string {
	if r.tenant == nil {
		return ""
	}
	return r.tenant.Name
}

// clientTimeout returns the timeout in milliseconds that the named header contains, or fallback when the client sent none.
func clientTimeout(header *fasthttp.RequestHeader, name string, fallback time.Duration) time.Duration {
	count, err := strconv.ParseFloat(string(header.Peek(name)), 64)
	if err != nil || count <= 0 {
		return fallback
	}
	return time.Duration(count * float64(time.Millisecond))
}

// canceller aborts the exchange in progress when the client disconnects. It is safe for concurrent use; the zero value is
// ready to use.
type canceller struct {
	mutex      sync.Mutex
	connection *connpool.Connection
	// deadline is when the exchange on the connection must end.
	deadline  time.Duration
	cancelled bool
	// doneChannel is closed by cancel; nil until done is called.
	doneChannel chan struct{}
}

// attach sets the connection that cancel aborts, and the deadline of the exchange on it. It returns false when the request
// is cancelled already.
func (c *canceller) attach(connection *connpool.Connection, deadline time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.connection, c.deadline = connection, deadline
	return !c.cancelled
}

// resetDeadline sets the deadline of the exchange in progress again, after the machine was suspended.
func (c *canceller) resetDeadline(steady clock) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connection != nil && !c.cancelled {
		_ = c.connection.SetDeadline(steady.at(c.deadline)) // a closed connection needs no deadline
	}
}

func (c *canceller) detach() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.connection = nil
}

// cancel aborts the exchange in progress and prevents later ones.
func (c *canceller) cancel() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.doneChannel != nil && !c.cancelled {
		close(c.doneChannel)
	}
	c.cancelled = true
	if c.connection != nil {
		_ = c.connection.SetDeadline(time.Unix(1, 0)) // a closed connection needs no deadline
	}
}

// done returns a channel that is closed when the client has disconnected.
func (c *canceller) done() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.doneChannel == nil {
		c.doneChannel = make(chan struct{})
		if c.cancelled {
			close(c.doneChannel)
		}
	}
	return c.doneChannel
}

func (c *canceller) isCancelled() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cancelled
}
