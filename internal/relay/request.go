package relay

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// request is one request of a client, read whole.
type request struct {
	id     string
	method string
	// target is path and query as the client sent them.
	target string
	host   string
	header *fasthttp.RequestHeader
	body   []byte
	// signature tells which other requests are the same to a back end, whatever their identity.
	signature quarantine.Signature
	// isTrial tells that the request is held, and may be sent to one back end once.
	isTrial bool

	route   *serving.Route
	service *serving.Service
	prompt  serving.Prompt
	// usesKeys tells that callers are known by keys; tenant is whose request it is, nil for nobody's.
	usesKeys bool
	tenant   *serving.Tenant
	// isUsageCounted tells that its run is isUsageCounted in the tenant's usage.
	isUsageCounted bool
	// rank is that of the request at engines.
	rank placement.Rank

	arrivedAt time.Duration
	// deadline is when the final answer is due: the client's time or the route's,
	// whichever ends first.
	deadline time.Duration

	canceller canceller
	trace     requestTrace
}

// tenantName is the name of the tenant whose request it is; empty for nobody's.
func (r *request) tenantName() string {
	if r.tenant == nil {
		return ""
	}
	return r.tenant.Name
}

// clientTimeout returns the time that the client gives, or fallback when it names none.
func clientTimeout(header *fasthttp.RequestHeader, name string, fallback time.Duration) time.Duration {
	count, err := strconv.ParseFloat(string(header.Peek(name)), 64)
	if err != nil || count <= 0 {
		return fallback
	}
	return time.Duration(count * float64(time.Millisecond))
}

// canceller breaks off the exchange under way when the client has gone. It is safe for
// concurrent use; the zero value is ready.
type canceller struct {
	mutex      sync.Mutex
	connection *connpool.Connection
	// deadline is when the exchange on the connection ends.
	deadline  time.Duration
	cancelled bool
	// doneChannel is closed by cancel; nil until somebody waits for it.
	doneChannel chan struct{}
}

// attach makes the connection the one to break off, on which an exchange ends by a deadline; it
// reports false when the request is cancelled already.
func (c *canceller) attach(connection *connpool.Connection, deadline time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.connection, c.deadline = connection, deadline
	return !c.cancelled
}

// resetDeadline sets the deadline of the exchange under way anew, after the machine was suspended.
func (c *canceller) resetDeadline(steady clock) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connection != nil && !c.cancelled {
		_ = c.connection.SetDeadline(steady.at(c.deadline)) // a closed connection fails by itself
	}
}

func (c *canceller) detach() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.connection = nil
}

// cancel breaks off the exchange under way and forbids later ones.
func (c *canceller) cancel() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.doneChannel != nil && !c.cancelled {
		close(c.doneChannel)
	}
	c.cancelled = true
	if c.connection != nil {
		_ = c.connection.SetDeadline(time.Unix(1, 0)) // a closed connection fails by itself
	}
}

// done returns a channel that is closed when the client has done.
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
