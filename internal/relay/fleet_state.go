package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/leaderwatch"
	"github.com/hazelpitch/hazelpitch/internal/listing"
	"github.com/hazelpitch/hazelpitch/internal/packed"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// listingTimeout bounds one call to the platform for its list of back ends.
const listingTimeout = time.Second

// fleetState applies the leader's updates about the fleet: the configuration, the back ends, and the relays that own them.
// While there is no leader, it reads the list of back ends from the platform itself.
type fleetState struct {
	relay          *Relay
	platformClient *http.Client
	readListing    func(ctx context.Context, client *http.Client, pages int) (serving.Listing, error)
	incarnation    uint64
	// records holds the back ends by identity; their state is kept when a new list arrives.
	records map[string]*backEnd
	// signals holds what back ends have asked of this relay; it is kept longer than the records.
	signals *backpressure.Registry
	// closedBackEnds are the records of back ends that accept no more work since the last list.
	closedBackEnds []*backEnd
	// isLeaderLost reports whether there was no leader at the last check.
	isLeaderLost bool
	// heldDocument is the applied document as the leader sent it; patches apply to it. Its number is 0 when the complete
	// document must be requested.
	heldDocument *v1.Document
	// relayListHash is the hash of the applied list of relays, 0 for none; relayListSize is its length.
	relayListHash uint64
	relayListSize int
	// listedByFormerLeader reports whether the last list came from a leader of the first format, which does not distinguish
	// incarnations.
	listedByFormerLeader bool
	// listing is the last list of back ends as the leader sent it.
	listing listing.ReceivedList
	// wantedBackEnds is how many back ends of each service the last leader wanted; isListingPartial reports whether its list
	// contained only a part of the back ends.
	wantedBackEnds   []*v1.WantedBackEnds
	isListingPartial bool
	localReading     listing.DirectRead
	faults           listing.Faults
	// listingCalls is how many calls a read of the platform's list takes; 0 while unknown.
	listingCalls int
}

func newFleetState(relay *Relay, options Options) *fleetState {
	return &fleetState{
		relay:          relay,
		platformClient: &http.Client{Transport: &http.Transport{DialContext: options.Dial}, Timeout: listingTimeout},
		readListing:    options.ReadListing,
		incarnation:    rand.Uint64(),
		records:        map[string]*backEnd{},
		signals:        backpressure.NewRegistry(),
	}
}

// BeforeWatch implements leaderwatch.Node: it writes a log line when the leader is lost or found again.
func (k *fleetState) BeforeWatch(controllers []string) {
	isLost := k.relay.clock.now()-k.relay.lastContact() > k.relay.maxContactAge()
	if isLost == k.isLeaderLost {
		return
	}
	k.isLeaderLost = isLost
	event := events.LeaderFound
	if isLost {
		event = events.LeaderLost
	}
	k.relay.event(event).Strs("controllers", controllers).Send()
}

// WatchRequest implements leaderwatch.Node.
func (k *fleetState) WatchRequest(wait time.Duration) *v1.WatchRequest {
	view := k.relay.view.Load()
	request := &v1.WatchRequest{
		Node: &v1.NodeIdentity{
			Name: k.relay.settings.Name, Zone: k.relay.settings.Zone, Address: k.relay.settings.Listen, Incarnation: k.incarnation,
		},
		ListingVersion: view.listingVersion,
		WaitMs:         uint32(wait.Milliseconds()),
		Leaving:        k.relay.stopping.Load(),
		NoticeAddress:  k.relay.datagrams.Address,
		RelayList:      k.relayListHash,
		HeldVersion:    k.relay.guard.QuarantineVersion(),
		Demands:        k.relay.work.Report(k.relay.clock.now()),
	}
	request.Limits = fleetlimit.LimitsToWire(k.relay.permits.Limits())
	request.Formats = formats.Supported().ToWire()
	request.DocumentNumber = k.heldDocument.GetNumber()
	request.Wanted = k.wantedBackEnds
	return request
}

// ApplyUpdate implements leaderwatch.Node: it applies the leader's response, and reports whether the response could be used.
func (k *fleetState) ApplyUpdate(response *v1.WatchResponse) bool {
	current := k.relay.view.Load()
	next := *current
	used := true
	if document := k.decodeDocument(response); document != nil {
		used = k.applyDocument(document, &next)
	}
	if version := response.GetListingVersion(); version != 0 && version != current.listingVersion {
		next.listingVersion = 0 // requests the complete list unless this one can be decoded
		if listed, isReadable := k.listing.Apply(current.listingVersion, response); isReadable {
			next.listingVersion = version
			if wanted := response.GetWanted(); len(wanted) > 0 {
				k.wantedBackEnds = wanted // a leader of the first format sends none; the next leader needs the known value
			}
			fromFormerLeader := !formats.FromWire(response.GetFormats()).Supports(formats.ReplicaIncarnations)
			k.applyListing(k.identifyIncarnations(backEndsFromWire(listed), fromFormerLeader), &next)
		}
	}
	if response.GetTellsHeld() || response.GetHeldVersion() != 0 {
		k.relay.guard.ApplyQuarantine(response.GetHeldVersion(), response.GetHeld())
	} else {
		k.relay.guard.MarkQuarantineUnsupported()
	}
	k.applyRelayList(response)
	k.applyRelayCount(response)
	k.isListingPartial = response.GetListingPartial()
	if calls := int(response.GetListingCalls()); calls > 0 {
		k.listingCalls = calls // leaders that do not know it yet, and those of the first format, send none
	}
	k.applyUsageWindow(response)
	k.relay.setView(&next)
	k.applyLimits(response)
	k.migrateRuns()
	k.relay.lastContactAt.Store(int64(k.relay.clock.now()))
	return used
}

// applyUsageWindow applies the window over which usage is counted. A leader of the first format does not know such windows;
// counts are then kept until a leader that does takes over.
func (k *fleetState) applyUsageWindow(response *v1.WatchResponse) {
	window := time.Duration(response.GetUsageWindowMs()) * time.Millisecond
	if window == 0 && !formats.FromWire(response.GetFormats()).Supports(formats.UsageWindows) {
		return
	}
	k.relay.usage.UpdateTime(k.relay.clock.now(), response.GetTrueTimeMs(), window)
}

// applyLimits applies the limits that the leader knows, for back ends about which no relay has sent a notice yet.
func (k *fleetState) applyLimits(response *v1.WatchResponse) {
	for _, wireLimit := range response.GetLimits() {
		if named, valid := fleetlimit.FromWire(wireLimit); valid {
			k.relay.applyLeaderLimit(named)
		}
	}
}

// decodeDocument returns the document of a response; nil for none or a malformed one.
func (k *fleetState) decodeDocument(response *v1.WatchResponse) *v1.Document {
	if len(response.GetDocumentPatch()) > 0 {
		return k.patchDocument(response)
	}
	if len(response.GetPackedDocument()) == 0 {
		return nil
	}
	document := &v1.Document{}
	if err := packed.Unpack(response.GetPackedDocument(), document); err != nil {
		k.relay.event(events.ConfigurationUnreadable).Err(err).Send()
		return nil
	}
	return document
}

// patchDocument applies a response's patch to the held document. It returns nil when that fails; the complete document is
// then requested next.
func (k *fleetState) patchDocument(response *v1.WatchResponse) *v1.Document {
	content, err := packed.ApplyPatch(k.heldDocument.GetContent(), response.GetDocumentPatch())
	if err != nil {
		k.relay.event(events.ConfigurationUnreadable).Err(err).Uint64("number", response.GetPatchedNumber()).Send()
		k.heldDocument = nil
		return nil
	}
	return &v1.Document{Number: response.GetPatchedNumber(), Content: content}
}

// applyRelayList applies a list of relays. A new leader learns of the relays one by one: until it knows how many there are,
// its list is applied only when it is at least as long as the current one.
func (k *fleetState) applyRelayList(response *v1.WatchResponse) {
	addresses := response.GetRelayAddresses()
	if len(addresses) == 0 || response.GetRelayList() == k.relayListHash {
		return
	}
	if response.GetRelays() == 0 && len(addresses) < k.relayListSize {
		return
	}
	k.relayListHash, k.relayListSize = response.GetRelayList(), len(addresses)
	k.relay.setRelays(addresses, response.GetFormerRelays())
}

// applyRelayCount applies the number of relays; a new leader does not send one until it knows it.
func (k *fleetState) applyRelayCount(response *v1.WatchResponse) {
	if count := response.GetRelays(); count > 0 {
		k.relay.relayCount.Store(int64(count))
		k.relay.budget.SetRelays(int(count))
	}
}

// applyDocument applies a configuration whose number is above the current one. It returns false when the configuration
// cannot be applied. Such a document is not held, since the number that is sent to the leader denotes the configuration by
// which requests are served.
func (k *fleetState) applyDocument(document *v1.Document, next *view) bool {
	number := uint64(0)
	if next.table != nil {
		number = next.table.Configuration.Number
	}
	if document.GetNumber() < number {
		return true
	}
	if document.GetNumber() == number {
		k.heldDocument = document
		return true
	}
	configuration, err := k.relay.dialect.ParseConfiguration(document.GetContent())
	if err == nil {
		err = configuration.Check()
	}
	if err != nil {
		k.relay.event(events.ConfigurationUnreadable).Err(err).Uint64("number", document.GetNumber()).Send()
		return false
	}
	k.heldDocument = document
	next.table, next.configuredAt = serving.NewTable(&configuration), k.relay.clock.now()
	k.resizeCaches(next)
	k.relay.event(events.ConfigurationInForce).Uint64("number", configuration.Number).Int("tenants", len(configuration.Tenants)).Send()
	return true
}

// HandleNoLeader implements leaderwatch.Node: it reads the platform's list when there has been no leader for a while, so that
// leaving back ends are known without a leader.
func (k *fleetState) HandleNoLeader(ctx context.Context) {
	relays := int(k.relay.relayCount.Load())
	if relays == 0 {
		return // the number of relays that would read the list as well is unknown
	}
	lead := listing.DirectReadAfter + leaderwatch.ExtraWait(relays)
	current := k.relay.view.Load()
	if current.table == nil {
		return // without a configuration, which only controllers send, no request could be served
	}
	calls := relays * max(k.listingCalls, 1)
	if !k.localReading.IsDue(k.relay.clock.now(), max(k.relay.lastContact(), 0)+lead, current.isListed, calls, k.relay.draw) {
		return
	}
	result, err := k.readListing(ctx, k.platformClient, 0)
	if fault, isChanged := k.faults.Update(result, err); isChanged {
		k.relay.event(events.ListingFault).Str("fault", fault).Send()
	}
	if err != nil {
		return
	}
	k.listingCalls = result.Calls
	next := *k.relay.view.Load()
	next.listingVersion = 0
	result.BackEnds = slices.DeleteFunc(result.BackEnds, func(backEnd serving.BackEnd) bool { return next.table.Service(backEnd.Service) == nil })
	k.applyListing(k.restrictToKnown(k.identifyIncarnations(result.BackEnds, false)), &next)
	k.relay.setView(&next)
	k.migrateRuns()
}

// restrictToKnown removes from a list that this relay has read all back ends that the leader had not listed, when the
// leader listed only a part: all relays must use the same part.
func (k *fleetState) restrictToKnown(listed []serving.BackEnd) []serving.BackEnd {
	if !k.isListingPartial {
		return listed
	}
	return slices.DeleteFunc(listed, func(backEnd serving.BackEnd) bool { return k.records[backEnd.ID] == nil })
}

// backEndsFromWire decodes the controllers' entries.
func backEndsFromWire(entries []*v1.ListedBackEnd) []serving.BackEnd {
	backEnds := make([]serving.BackEnd, 0, len(entries))
	for _, entry := range entries {
		backEnds = append(backEnds, serving.BackEndFromProto(entry))
	}
	return backEnds
}
