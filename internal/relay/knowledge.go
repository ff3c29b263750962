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

// listingTimeout bounds one call for the outside list.
const listingTimeout = time.Second

// fleetState is what the relay knows of the fleet: configuration, back ends, relays that own them. It takes
// what the leader tells, and reads the list of back ends itself while none leads.
type fleetState struct {
	relay          *Relay
	platformClient *http.Client
	readListing    func(ctx context.Context, client *http.Client, pages int) (serving.Listing, error)
	incarnation    uint64
	// records are the back ends by identity, so that their state outlives a reading.
	records map[string]*backEnd
	// signals are what back ends have asked of this relay; they outlive known.
	signals *backpressure.Registry
	// closedBackEnds are those of them that take no more work since the last list.
	closedBackEnds []*backEnd
	// isLeaderLost tells that no controller led when this was last looked at.
	isLeaderLost bool
	// heldDocument is the document in force as the leader told it; patches are made against it. Its number is 0
	// where the whole document is wanted.
	heldDocument *v1.Document
	// relayListHash is the hash of the list of relays that is held, 0 for none, and relaysListed their number.
	relayListHash uint64
	relayListSize int
	// listedByFormerLeader: a leader of the first format, which does not tell starts apart, has told the last list.
	listedByFormerLeader bool
	// listing is the list of back ends as the leader told it last.
	listing listing.ReceivedList
	// wantedBackEnds is how many back ends of each service the leader wantedBackEnds last, and partial whether it told of a
	// part of them.
	wantedBackEnds   []*v1.WantedBackEnds
	isListingPartial bool
	localReading     listing.DirectRead
	faults           listing.Faults
	// listingCalls is how many calls a reading of the outside list takes, 0 while it is not known.
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

// BeforeWatch implements leaderwatch.Node: it writes a line when a leader is lost or found again.
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

// ApplyUpdate implements leaderwatch.Node: it puts in force what the leader told.
func (k *fleetState) ApplyUpdate(response *v1.WatchResponse) bool {
	current := k.relay.view.Load()
	next := *current
	used := true
	if document := k.decodeDocument(response); document != nil {
		used = k.applyDocument(document, &next)
	}
	if version := response.GetListingVersion(); version != 0 && version != current.listingVersion {
		next.listingVersion = 0 // the whole list is asked for unless this one can be isReadable
		if listed, isReadable := k.listing.Apply(current.listingVersion, response); isReadable {
			next.listingVersion = version
			if wanted := response.GetWanted(); len(wanted) > 0 {
				k.wantedBackEnds = wanted // a leader of the first format tells none: the next one is told what is known
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
		k.listingCalls = calls // a leader that does not know yet, or of the first format, tells none
	}
	k.applyUsageWindow(response)
	k.relay.setView(&next)
	k.applyLimits(response)
	k.migrateRuns()
	k.relay.lastContactAt.Store(int64(k.relay.clock.now()))
	return used
}

// applyUsageWindow takes the windows in which usage is counted. A leader of the first format knows of none: what is
// counted waits for one that does.
func (k *fleetState) applyUsageWindow(response *v1.WatchResponse) {
	window := time.Duration(response.GetUsageWindowMs()) * time.Millisecond
	if window == 0 && !formats.FromWire(response.GetFormats()).Supports(formats.UsageWindows) {
		return
	}
	k.relay.usage.UpdateTime(k.relay.clock.now(), response.GetTrueTimeMs(), window)
}

// applyLimits takes the limits that the leader knows of, for back ends of which other relays have not told yet.
func (k *fleetState) applyLimits(response *v1.WatchResponse) {
	for _, wireLimit := range response.GetLimits() {
		if named, valid := fleetlimit.FromWire(wireLimit); valid {
			k.relay.applyLeaderLimit(named)
		}
	}
}

// decodeDocument reads the decodeDocument of a response; nil for none.
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

// patchDocument makes the document in force of the one held; nil where that fails, and the whole one is
// asked for next.
func (k *fleetState) patchDocument(response *v1.WatchResponse) *v1.Document {
	content, err := packed.ApplyPatch(k.heldDocument.GetContent(), response.GetDocumentPatch())
	if err != nil {
		k.relay.event(events.ConfigurationUnreadable).Err(err).Uint64("number", response.GetPatchedNumber()).Send()
		k.heldDocument = nil
		return nil
	}
	return &v1.Document{Number: response.GetPatchedNumber(), Content: content}
}

// applyRelayList puts a list of relays in force. A new leader hears of them one by one: until it
// knows how many there are, its list counts only where it tells more than is held.
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

// applyRelayCount takes the number of all relays; a new leader does not know it yet.
func (k *fleetState) applyRelayCount(response *v1.WatchResponse) {
	if count := response.GetRelays(); count > 0 {
		k.relay.relayCount.Store(int64(count))
		k.relay.budget.SetRelays(int(count))
	}
}

// applyDocument puts a configuration in force if its number is above the one in force; false where it cannot be put in
// force. Such a document is not held: the number that the leader is told stands for what requests are served by.
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

// HandleNoLeader implements leaderwatch.Node: it reads the list here once no controller has led for a while, so that
// back ends that leave are known without one.
func (k *fleetState) HandleNoLeader(ctx context.Context) {
	relays := int(k.relay.relayCount.Load())
	if relays == 0 {
		return // it cannot tell how many others would read it as well
	}
	lead := listing.DirectReadAfter + leaderwatch.ExtraWait(relays)
	current := k.relay.view.Load()
	if current.table == nil {
		return // a list serves nobody without a configuration, which only controllers tell
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

// restrictToKnown keeps of a list that this relay has read those that the leader told it of, where these are a
// part: all relays must keep to the same part.
func (k *fleetState) restrictToKnown(listed []serving.BackEnd) []serving.BackEnd {
	if !k.isListingPartial {
		return listed
	}
	return slices.DeleteFunc(listed, func(backEnd serving.BackEnd) bool { return k.records[backEnd.ID] == nil })
}

// backEndsFromWire turns the controllers' entries into back ends.
func backEndsFromWire(entries []*v1.ListedBackEnd) []serving.BackEnd {
	backEnds := make([]serving.BackEnd, 0, len(entries))
	for _, entry := range entries {
		backEnds = append(backEnds, serving.BackEndFromProto(entry))
	}
	return backEnds
}
