package control

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
)

// WatchReceived is a relay's watch, a request for updates. The answer waits until there is an
// update or until the relay's wait has passed.
type WatchReceived struct {
	Call    CallID
	Request *v1.WatchRequest
}

func (WatchReceived) isInput() {}

const (
	// maximumWatchWait is the maximum time for which a watch may wait.
	maximumWatchWait = 5 * time.Second
	// leaderlessWait is the maximum time for which a watch waits where no leader is known: a controller
	// that is cut off must not hold relays for long.
	leaderlessWait = 150 * time.Millisecond
)

// handleWatch makes a watch wait. If there is an update for the relay, the watch waits until updatePace allows the answer;
// otherwise it waits until there is an update or until it is due.
func (c *Core) handleWatch(received WatchReceived) {
	request := received.Request
	state := c.siteState()
	if state.leads {
		c.recordRelay(request)
		c.recordRelayLimits(request.GetLimits())
		c.recordSoundRuns(request.GetSoundRuns())
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maximumWatchWait)
	if !state.leads {
		wait = min(wait, leaderlessWait)
	}
	waiting := &waitingWatch{call: received.Call, request: request, dueAt: c.now + wait}
	c.watches.register(waiting)
	if c.canAnswerNow(state, request) {
		c.watches.addReady(waiting) // it is answered in this step if the pace allows
		return
	}
	c.watches.addWaiting(waiting)
}

// canAnswerNow reports whether a watch need not wait for an update: the leader has one for the relay, or another
// controller leads. Where no leader is known, relays wait a short time, because they would only
// send the watch again.
func (c *Core) canAnswerNow(state siteState, request *v1.WatchRequest) bool {
	if state.leads {
		return c.hasUpdate(request)
	}
	return state.leader != ""
}

// answerWatches answers the watches that have an update and those that are due.
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

// answerAll answers watches that no longer wait.
func (c *Core) answerAll(state siteState, watches []*waitingWatch) {
	for _, waited := range watches {
		c.answer(Answer{Call: waited.call, Response: c.watchResponse(waited.request, !state.leads)})
	}
}

// hasUpdate reports whether a relay does not hold the current versions. An update that it was sent
// maximumImmediateAttempts times without applying it does not count: it is sent again when the watch is due.
func (c *Core) hasUpdate(request *v1.WatchRequest) bool {
	document, listing := c.lastSent(request)
	newestDocument, heldDocument := c.updates.documents.newest().GetNumber(), request.GetDocumentNumber()
	if newestDocument > heldDocument && document.failedAttempts(heldDocument, newestDocument) < maximumImmediateAttempts {
		return true
	}
	version, _ := c.listingFor(request)
	heldListing := request.GetListingVersion()
	if version != 0 && version != heldListing && listing.failedAttempts(heldListing, version) < maximumImmediateAttempts {
		return true
	}
	_, quarantineVersion := c.quarantinedRequests()
	return quarantineVersion != request.GetHeldVersion()
}

// watchResponse returns what a relay does not hold. A controller that does not lead only
// names the leader.
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
	quarantined, quarantineVersion := c.quarantinedRequests()
	response.TellsHeld, response.TellsParts = true, true
	if response.HeldVersion = quarantineVersion; quarantineVersion != request.GetHeldVersion() {
		response.Held, response.SuspectParts = quarantined, c.quarantine.parts
	}
	response.VersionStatement = c.listing.versions.Statement(c.now)
	response.Limits = c.limitsForRelays()
	response.TrueTimeMs, _ = c.trueTime()
	response.UsageWindowMs = milliseconds(c.config.Usage.Window)
	response.Relays = c.relayCount()
	c.refreshRelayList()
	response.RelayList = c.updates.relayListHash
	if response.RelayList != request.GetRelayList() && (response.Relays > 0 || request.GetRelayList() == 0) {
		response.FormerRelays = c.updates.relaysWithoutPermits
		response.RelayFormats = c.updates.relayFormats
		response.RelayAddresses = c.updates.relayList // a new leader knows few relays; relays keep the list that they hold
	}
	c.recordSent(request, response)
	return response
}
