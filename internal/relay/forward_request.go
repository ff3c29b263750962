package relay

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/relay/forwarding"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// maxForwardPeers is how many other relays a request is offered to. Some of them may have lost their path as well, as when a
// zone is cut off.
const maxForwardPeers = 4

// forwarder forwards requests to other relays while this one has no path to back ends.
type forwarder struct {
	relay *Relay
	peers *forwarding.Peers

	mutex sync.Mutex
	// records hold the connections to the peers, by address.
	records map[string]*backEnd
	// versionRelays are the addresses of the relays that bind streams to software versions.
	versionRelays map[string]bool
}

func newForwarder(relay *Relay) *forwarder {
	return &forwarder{relay: relay, peers: forwarding.NewPeers(), records: map[string]*backEnd{}}
}

// setPeers replaces the addresses of the other relays.
func (f *forwarder) setPeers(addresses []string) {
	f.peers.Set(addresses)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.records
	f.records = make(map[string]*backEnd, len(addresses))
	for _, address := range addresses {
		if f.records[address] = known[address]; f.records[address] == nil {
			f.records[address] = newBackEnd(serving.BackEnd{ID: address, Address: address}, 0)
			f.records[address].isRelay = true
		}
		delete(known, address)
	}
	for _, removed := range known {
		removed.pool.Close()
	}
}

// setVersionRelays replaces the addresses of the relays that bind streams to software versions.
func (f *forwarder) setVersionRelays(addresses []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.versionRelays = make(map[string]bool, len(addresses))
	for _, address := range addresses {
		f.versionRelays[address] = true
	}
}

// peersWithoutVersions returns the peers that would send a bound stream to back ends of any software version.
func (f *forwarder) peersWithoutVersions() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var peers []string
	for address := range f.records {
		if !f.versionRelays[address] {
			peers = append(peers, address)
		}
	}
	return peers
}

// record returns the record of a peer; nil when it is not listed any more.
func (f *forwarder) record(address string) *backEnd {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.records[address]
}

// allRecords returns the records of the peers.
func (f *forwarder) allRecords() []*backEnd {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Collect(maps.Values(f.records))
}

// couldNotConnect reports whether the last attempt failed because its back end could not be connected to.
func (a *attemptTracker) couldNotConnect() bool {
	return a.lastFailure != nil && errors.Is(a.lastFailure, errDial)
}

// isOutOfReach reports whether this relay must not try the request's back ends itself: attempts to connect time out, and no other
// relay remains to be asked, or the relay that forwarded the request can ask others.
func (r *Relay) isOutOfReach(attempts *attemptTracker) bool {
	return (attempts.hasTriedPeers || attempts.request.forwarded != nil) && r.path.pathTo(attempts.request.service.Name).IsSilent
}

// forwardToPeers offers a request to other relays, unless that was done before or another relay has forwarded it to this one.
// lastEventID is the last event of a stream that the client has, empty for none. It reports whether the client has its final
// answer.
func (r *Relay) forwardToPeers(attempts *attemptTracker, reply *replier, lastEventID string) bool {
	request := attempts.request
	if attempts.hasTriedPeers || request.forwarded != nil || request.isTrial || attempts.isQuarantined {
		return false
	}
	attempts.hasTriedPeers = true
	var excluded []string
	if attempts.isBound() {
		excluded = r.forwarder.peersWithoutVersions()
	}
	for range maxForwardPeers {
		if !attempts.mayForward() {
			break
		}
		address, isFound := r.forwarder.peers.Pick(r.clock.now(), request.service.Name, excluded, r.draw)
		if !isFound {
			break
		}
		excluded = append(excluded, address)
		outcome, isAnswered := r.forwardTo(address, attempts, reply, lastEventID)
		r.forwarder.peers.Done(r.clock.now(), address, request.service.Name, outcome)
		r.metrics.forwards.WithLabelValues(outcome.String()).Inc()
		if isAnswered {
			return true
		}
	}
	return false
}

// mayForward reports whether the request may be offered to another relay, which takes a further attempt from its retry budget.
func (a *attemptTracker) mayForward() bool {
	return !a.isOver() && a.sentCount < a.request.route.MaxAttempts && (!a.mayHaveRun || a.request.route.Repeatable())
}

// recordForwardedRun records that a peer, which has returned no usable answer, may have sent the request to a back end.
func (a *attemptTracker) recordForwardedRun() {
	a.sentCount++
	a.mayHaveRun = true
	a.relay.recordForwardedPlain(a.request)
}

// recordForwardedPlain counts a forwarded request that a peer's back end may have run. A stream counts with its first event.
func (r *Relay) recordForwardedPlain(request *request) {
	if request.route.Kind != serving.KindStream {
		r.recordRun(request, request.trace.sentAt)
	}
}

// applyPeerAttempts counts the attempts that a peer states in its refusal.
func (a *attemptTracker) applyPeerAttempts(answer *answer) {
	stated, err := strconv.Atoi(string(answer.head.Peek(forwarding.HeaderAttempts)))
	if err != nil {
		stated = a.sentCount + 1
	}
	a.sentCount = max(a.sentCount, stated)
}

// forwardTo forwards a request to one peer and the answer to the client.
func (r *Relay) forwardTo(address string, attempts *attemptTracker, reply *replier, lastEventID string) (outcome forwarding.Outcome, isAnswered bool) {
	request, peer := attempts.request, r.forwarder.record(address)
	if peer == nil {
		return forwarding.Neutral, false
	}
	request.trace.forwardedTo, request.trace.sentAt = address, r.clock.now()
	deadline := request.deadline
	if reply.started {
		deadline = request.cutoff
	}
	answer, fault := r.exchanger.send(&message{request: request, backEnd: peer, deadline: deadline, cutoff: request.cutoff, headers: r.forwardHeaders(attempts, lastEventID)})
	if fault != nil {
		return r.recordFailedForward(peer, attempts, fault), false
	}
	defer answer.finish()
	switch forwarding.ParseRefusal(string(answer.head.Peek(forwarding.HeaderRefusal))) {
	case forwarding.NoRefusal:
		r.recordForwardedPlain(request)
		return forwarding.Served, r.forwardAnswer(answer, attempts, reply)
	case forwarding.Unable:
		attempts.applyPeerAttempts(answer)
		reason, _ := io.ReadAll(io.LimitReader(answer, maxReasonBytes)) // the reason is for the log line only
		r.recordFailedAttempt(request, peer, &failure{verdict: verdict.NotRun, cause: fmt.Errorf("%w: %s", errPeerUnable, trimmedReason(reason))})
		return forwarding.CouldNotServe, false
	case forwarding.NotRun:
		if attempts.mayHaveRun { // an earlier attempt; the peer speaks of its own
			return forwarding.Neutral, false
		}
		return forwarding.Neutral, r.forwardRefusal(answer, attempts, reply)
	default:
		attempts.applyPeerAttempts(answer)
		attempts.mayHaveRun = true
		r.recordForwardedPlain(request)
		return forwarding.Neutral, false
	}
}

// forwardHeaders returns the headers that carry the request's progress to another relay.
func (r *Relay) forwardHeaders(attempts *attemptTracker, lastEventID string) []header {
	request := attempts.request
	progress := forwarding.Progress{
		Service: request.service.Name, Configuration: r.view.Load().table.Configuration.Number, Tenant: request.tenantName(),
		Attempts: attempts.sentCount, MayHaveRun: attempts.mayHaveRun, Version: attempts.binding(),
	}
	var headers []header
	for _, each := range progress.ToHeaders() {
		headers = append(headers, header{each.Name, each.Value})
	}
	if lastEventID != "" {
		headers = append(headers, header{r.dialect.Headers.LastEventID, lastEventID})
	}
	return headers
}

// recordFailedForward records that a peer has returned no answer, and returns what that says about the peer. The peer may
// have sent the request to a back end.
func (r *Relay) recordFailedForward(peer *backEnd, attempts *attemptTracker, fault *failure) forwarding.Outcome {
	r.recordFailedAttempt(attempts.request, peer, fault)
	if fault.verdict != verdict.NotRun {
		attempts.recordForwardedRun()
	}
	if errors.Is(fault, errDial) || fault.isBroken() || errors.Is(fault, errPeerTimeout) {
		return forwarding.Unreachable
	}
	return forwarding.Neutral
}

// forwardRefusal sends a peer's refusal to the client as the relay's own.
func (r *Relay) forwardRefusal(answer *answer, attempts *attemptTracker, reply *replier) bool {
	if reply.started {
		return false
	}
	reason, err := io.ReadAll(io.LimitReader(answer, maxReasonBytes))
	if err != nil {
		return false
	}
	seconds, _ := strconv.ParseFloat(string(answer.head.Peek(fasthttp.HeaderRetryAfter)), 64) // 0 when absent
	response := refusal{status: answer.status, reason: trimmedReason(reason), retryAfter: time.Duration(seconds * float64(time.Second))}
	r.log.recordRefusal(attempts.request, response, attempts)
	reply.refuse(response)
	return true
}

// maxReasonBytes bounds the reason of a peer's refusal.
const maxReasonBytes = 1 << 10

// trimmedReason returns a refusal's body without the end of its line.
func trimmedReason(body []byte) string {
	for len(body) > 0 && body[len(body)-1] == '\n' {
		body = body[:len(body)-1]
	}
	return string(body)
}

// forwardAnswer sends the answer of a back end that a peer has forwarded to the client. It reports whether the client has its
// final answer, complete or cut off. Events of a stream are sent as they arrive; they continue the stream that the client
// has, if it has begun.
func (r *Relay) forwardAnswer(answer *answer, attempts *attemptTracker, reply *replier) bool {
	isStream := isEventStream(answer)
	switch {
	case reply.started && !isStream:
		attempts.recordForwardedRun()
		return false
	case reply.started:
		r.forwardRemainder(answer, reply)
		return true
	case isStream || answer.isLong():
		return r.forwardLong(answer, nil, reply) == nil
	}
	body, isWhole, err := answer.readBeginning(maxBufferedAnswer + 1)
	switch {
	case err != nil:
		attempts.recordForwardedRun()
		return false
	case !isWhole:
		return r.forwardLong(answer, body, reply) == nil
	}
	reply.sendWhole(answer, body)
	return true
}
