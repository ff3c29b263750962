package control

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
)

// WatchReceived is a relay's question for what is new; the answer waits until there is
// something or until the relay's wait has passed.
type WatchReceived struct {
	Call    CallID
	Request *v1.WatchRequest
}

func (WatchReceived) isInput() {}

const (
	// maximumWatchWait bounds how long a watch may wait.
	maximumWatchWait = 5 * time.Second
	// leaderlessWait bounds how long a watch waits where no controller is known to lead: one that
	// is cut off must not keep relays for long.
	leaderlessWait = 150 * time.Millisecond
)

// handleWatch lets a relay wait: until the pace of news allows an answer where there is something new, and for
// something new elsewhere.
func (c *Core) handleWatch(received WatchReceived) {
	request := received.Request
	state := c.siteState()
	if state.leads {
		c.recordRelay(request)
		c.recordRelayLimits(request.GetLimits())
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maximumWatchWait)
	if !state.leads {
		wait = min(wait, leaderlessWait)
	}
	waiting := &waitingWatch{call: received.Call, request: request, dueAt: c.now + wait}
	c.watches.register(waiting)
	if c.canAnswerNow(state, request) {
		c.watches.addReady(waiting) // it is answered in this step where the pace allows it
		return
	}
	c.watches.addWaiting(waiting)
}

// canAnswerNow reports whether a relay is answered at once: the leader has something new for it, or
// another controller leads. Where none is known to lead, relays wait a little: they would only
// ask again.
func (c *Core) canAnswerNow(state siteState, request *v1.WatchRequest) bool {
	if state.leads {
		return c.hasUpdate(request)
	}
	return state.leader != ""
}

// answerWatches answers the watches that have something new or have waited long enough.
func (c *Core) answerWatches() {
	if len(c.watches.byDue) == 0 && len(c.watches.ready) == 0 {
		return
	}
	state := c.siteState()
	if state != c.updates.lastState {
		c.updates.lastState = state
		c.watches.markAllReady()
	}
	hasUpdate := func(request *v1.WatchRequest) bool { return c.canAnswerNow(state, request) }
	mayAnswer := func() bool { return c.updatePace.allow(c.now) }
	c.answerAll(state, c.watches.popReady(c.now, hasUpdate, mayAnswer))
	c.answerAll(state, c.watches.popDue(c.now))
}

// answerAll answers watches that do not wait any more.
func (c *Core) answerAll(state siteState, watches []*waitingWatch) {
	for _, waited := range watches {
		c.answer(Answer{Call: waited.call, Response: c.watchResponse(waited.request, !state.leads)})
	}
}

// hasUpdate reports whether a relay does not hold what is in force. What it was told twice and still does not hold is no
// news: it is told again with the answer that is due.
func (c *Core) hasUpdate(request *v1.WatchRequest) bool {
	document, listing := c.lastSent(request)
	newest, held := c.updates.documents.newest().GetNumber(), request.GetDocumentNumber()
	if newest > held && document.failedAttempts(held, newest) < maximumImmediateAttempts {
		return true
	}
	version, _ := c.listingFor(request)
	listed := request.GetListingVersion()
	if version != 0 && version != listed && listing.failedAttempts(listed, version) < maximumImmediateAttempts {
		return true
	}
	_, suspects := c.quarantinedRequests()
	return suspects != request.GetHeldVersion()
}

// watchResponse tells a relay what it does not hold. A controller that does not lead
// tells only whom to ask.
func (c *Core) watchResponse(request *v1.WatchRequest, behind bool) *v1.WatchResponse {
	response := &v1.WatchResponse{LeaderAddress: c.consensus.LeaderAddress(), Behind: behind, Formats: formats.Supported().ToWire()}
	for _, member := range c.consensus.Membership().GetMembers() {
		response.ControllerAddresses = append(response.ControllerAddresses, member.GetAddress())
	}
	slices.Sort(response.ControllerAddresses)
	if behind {
		return response
	}
	c.addDocument(request, response)
	version, history := c.listingFor(request)
	response.ListingVersion = version
	if version != 0 && version != request.GetListingVersion() {
		history.FillResponse(response, request.GetListingVersion())
		response.Wanted = c.requiredBackEndRecords()
	}
	if version != 0 {
		response.ListingAgeMs = milliseconds(c.now - c.listing.readAt)
		response.ListingCalls = uint32(c.listing.plan.fullReadCalls)
		response.ListingPartial = c.listing.partial()
	}
	held, heldVersion := c.quarantinedRequests()
	response.TellsHeld = true
	if response.HeldVersion = heldVersion; heldVersion != request.GetHeldVersion() {
		response.Held = held
	}
	response.Limits = c.limitsForRelays()
	response.TrueTimeMs, _ = c.trueTime()
	response.UsageWindowMs = milliseconds(c.config.Usage.Window)
	response.Relays = c.relayCount()
	c.refreshRelayList()
	response.RelayList = c.updates.relayListHash
	if response.RelayList != request.GetRelayList() && (response.Relays > 0 || request.GetRelayList() == 0) {
		response.FormerRelays = c.updates.formerRelays
		response.RelayAddresses = c.updates.relayList // a new leader knows few: those who hold a list keep it
	}
	c.recordSent(request, response)
	return response
}
