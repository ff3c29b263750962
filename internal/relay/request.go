package relay

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/relay/forwarding"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// request is one request of a client, read completely.
type request struct {
	id     string
	method string
	// target is the path with the query string as the client sent them.
	target string
	host   string
	header *fasthttp.RequestHeader
	// headerMutex is locked while the header is read once the request may have two exchanges: reading modifies it.
	headerMutex sync.Mutex
	body        []byte
	// bodyReservation is the part of the relay's memory for bodies that the body uses.
	bodyReservation *bodybudget.Reservation
	// content is the same for all requests that a back end would process in the same way, whatever their identities.
	content quarantine.Content
	// isTrial is true if the request, or a part of its prompt, is quarantined and the request may be sent to a single back end once.
	isTrial bool

	route   *serving.Route
	service *serving.Service
	prompt  serving.Prompt
	// partIDs are the IDs of the prompt's parts that other requests may share.
	partIDs []string
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
	// cutoff is the earlier of the client's deadline and the route's timeout, both counted from the arrival. An answer that has
	// begun ends there. deadline is when an answer must begin: maxAnswerMargin earlier at most, so that the client still
	// receives a refusal in time.
	cutoff, deadline time.Duration

	// forwarded is what another relay has already done for a request that it has forwarded; nil for a client's own request.
	forwarded *forwarding.Progress

	// boundTo is the software version that began the stream that the client takes up; None for a new request.
	boundTo streamorigin.Version
	// boundBy is the evidence for it.
	boundBy originEvidence

	canceller canceller
	trace     requestTrace
}

const (
	// maxAnswerMargin is the time for the request's way to the relay, which the client counts and the relay does not, and for
	// the answer's way back. answerMarginDivisor makes it at most this part of a short time.
	maxAnswerMargin     = 20 * time.Millisecond
	answerMarginDivisor = 20
)

// setDeadline sets cutoff and deadline of a request that may take the given time from its arrival.
func (r *request) setDeadline(timeout time.Duration) {
	r.cutoff = r.arrivedAt + timeout
	r.deadline = r.cutoff - min(maxAnswerMargin, timeout/answerMarginDivisor)
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
