package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/leaderwatch"
	"github.com/hazelpitch/hazelpitch/internal/listing"
	"github.com/hazelpitch/hazelpitch/internal/packed"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// listingTimeout bounds one call to the platform for its list of back ends.
const listingTimeout = time.Second

// fleetState applies the leader's updates about the fleet: the configuration, the back ends, and the relays that own engines.
// While there is no leader, it reads the list of back ends from the platform itself.
type fleetState struct {
	relay          *Relay
	platformClient *http.Client
	readListing    func(ctx context.Context, client *http.Client, pages int) (serving.Listing, error)
	incarnation    uint64
	// records holds the back ends by identity; their state is kept when a new list arrives.
	records map[string]*backEnd
	// signals holds the signals of back ends; it is kept longer than the records.
	signals *backpressure.Registry
	// closedBackEnds are the records of back ends that accept no more work since the last list.
	closedBackEnds []*backEnd
	// isLeaderLost is true if there was no leader at the last check.
	isLeaderLost bool
	// heldDocument is the applied document as the leader sent it; patches apply to it. Its number is 0 when the complete
	// document must be requested.
	heldDocument *v1.Document
	// relayListHash is the hash of the applied list of relays, 0 for none; relayListSize is its length.
	relayListHash uint64
	relayListSize int
	// listedByFirstFormatLeader is true if the last list came from a leader of the first format, which does not
	// distinguish incarnations.
	listedByFirstFormatLeader bool
	// versions completes lists that name no software versions.
	versions listedVersions
	// listing is the last list of back ends as the leader sent it.
	listing listing.ReceivedList
	// wantedBackEnds is how many back ends of each service the last leader wanted; isListingPartial is true if that leader's
	// list contained only a part of the back ends.
	wantedBackEnds   []*v1.WantedBackEnds
	isListingPartial bool
	directRead       listing.DirectRead
	faults           listing.Faults
	// listingCalls is how many calls a read of the platform's list takes; 0 while unknown.
	listingCalls int
}

func newFleetState(relay *Relay, options Options) *fleetState {
	return &fleetState{
		relay:          relay,
		platformClient: newCaller(checkedconn.NewTransport(options.Dial, nil), listingTimeout),
		readListing:    options.ReadListing,
		incarnation:    rand.Uint64(),
		records:        map[string]*backEnd{},
		signals:        backpressure.NewRegistry(),
		versions:       newListedVersions(),
	}
}

// BeforeWatch implements leaderwatch.Node: it completes the list in force, and writes a log line when the leader is lost or found
// again.
func (f *fleetState) BeforeWatch(controllers []string) {
	f.completeVersions()
	isLost := !f.relay.isLeaderInContact()
	if isLost == f.isLeaderLost {
		return
	}
	f.isLeaderLost = isLost
	event := events.LeaderFound
	if isLost {
		event = events.LeaderLost
		f.relay.origins.RecordActive(func(string) bool { return true })
	}
	f.relay.event(event).Strs("controllers", controllers).Send()
}

// WatchRequest implements leaderwatch.Node: it returns the request for the leader's next update, for which the leader may
// wait up to the given time.
func (f *fleetState) WatchRequest(wait time.Duration) *v1.WatchRequest {
	view := f.relay.view.Load()
	request := &v1.WatchRequest{
		Node: &v1.NodeIdentity{
			Name: f.relay.settings.Name, Zone: f.relay.settings.Zone, Address: f.relay.settings.Listen, Incarnation: f.incarnation,
		},
		ListingVersion: view.listingVersion,
		WaitMs:         uint32(wait.Milliseconds()),
		Leaving:        f.relay.stopping.Load(),
		NoticeAddress:  f.relay.datagrams.Address,
		RelayList:      f.relayListHash,
		HeldVersion:    f.relay.guard.QuarantineVersion(),
		Demands:        f.relay.work.Report(f.relay.clock.now()),
	}
	request.Limits = fleetlimit.LimitsToWire(f.relay.permits.Limits())
	request.Formats = formats.Supported().ToWire()
	request.DocumentNumber = f.heldDocument.GetNumber()
	request.Wanted = f.wantedBackEnds
	request.EngineSpeeds = f.relay.engineSpeeds()
	request.SoundRuns = f.relay.guard.TakeSoundRuns()
	return request
}

// applyQuarantine applies what the leader tells of quarantined requests and of suspect parts of prompts.
func (f *fleetState) applyQuarantine(response *v1.WatchResponse) {
	if !response.GetTellsHeld() && response.GetHeldVersion() == 0 {
		f.relay.guard.MarkQuarantineUnsupported()
		return
	}
	f.relay.guard.ApplyQuarantine(crashguard.Statement{
		Version: response.GetHeldVersion(), Requests: response.GetHeld(), TellsParts: response.GetTellsParts(), Parts: response.GetSuspectParts(),
	})
}

// ApplyUpdate implements leaderwatch.Node: it applies the leader's response, and reports whether the response could be used.
func (f *fleetState) ApplyUpdate(response *v1.WatchResponse) bool {
	current := f.relay.view.Load()
	next := *current
	used := true
	document := f.decodeDocument(response)
	if document != nil {
		used = f.applyDocument(document, &next)
	}
	if version := response.GetListingVersion(); version != 0 && version != current.listingVersion {
		next.listingVersion = 0 // requests the complete list unless this one can be decoded
		if listed, isReadable := f.listing.Apply(current.listingVersion, response); isReadable {
			next.listingVersion = version
			if wanted := response.GetWanted(); len(wanted) > 0 {
				f.wantedBackEnds = wanted // a leader of the first format sends none; the next leader needs the known value
			}
			fromFirstFormatLeader := !formats.FromWire(response.GetFormats()).Supports(formats.ReplicaIncarnations)
			f.applyListing(f.identifyIncarnations(backEndsFromWire(listed), fromFirstFormatLeader), &next)
		}
	}
	f.relay.origins.ApplyStatement(response.GetVersionStatement())
	f.applyQuarantine(response)
	f.applyRelayList(response)
	f.applyRelayCount(response)
	f.isListingPartial = response.GetListingPartial()
	if calls := int(response.GetListingCalls()); calls > 0 {
		f.listingCalls = calls // leaders that do not know it yet, and those of the first format, send none
	}
	f.applyUsageWindow(response)
	f.relay.setView(&next)
	f.applyLimits(response)
	f.migrateRuns()
	f.relay.lastContactAt.Store(int64(f.relay.clock.now()))
	hasDocument := len(response.GetDocumentPatch()) > 0 || len(response.GetPackedDocument()) > 0
	if used && (document != nil || !hasDocument) {
		f.relay.configurationHeardAt.Store(int64(f.relay.clock.now()))
	}
	return used
}

// applyUsageWindow applies the window over which usage is counted. A leader of the first format does not know such windows;
// counts are then kept until the next leader that knows them.
func (f *fleetState) applyUsageWindow(response *v1.WatchResponse) {
	window := time.Duration(response.GetUsageWindowMs()) * time.Millisecond
	if window == 0 && !formats.FromWire(response.GetFormats()).Supports(formats.UsageWindows) {
		return
	}
	f.relay.usage.UpdateTime(f.relay.clock.now(), response.GetTrueTimeMs(), window)
}

// applyLimits applies the limits that the leader knows, as far as this relay knows no limit itself; see applyLeaderLimit.
func (f *fleetState) applyLimits(response *v1.WatchResponse) {
	for _, wireLimit := range response.GetLimits() {
		if backEndLimit, valid := fleetlimit.FromWire(wireLimit); valid {
			f.relay.applyLeaderLimit(backEndLimit)
		}
	}
}

// decodeDocument returns the document of a response; nil for none or a malformed one.
func (f *fleetState) decodeDocument(response *v1.WatchResponse) *v1.Document {
	if len(response.GetDocumentPatch()) > 0 {
		return f.patchDocument(response)
	}
	if len(response.GetPackedDocument()) == 0 {
		return nil
	}
	document := &v1.Document{}
	if err := packed.Unpack(response.GetPackedDocument(), document); err != nil {
		f.relay.event(events.ConfigurationUnreadable).Err(err).Send()
		return nil
	}
	return document
}

// patchDocument applies a response's patch to the held document. It returns nil when that fails; the complete document is
// then requested next.
func (f *fleetState) patchDocument(response *v1.WatchResponse) *v1.Document {
	content, err := packed.ApplyPatch(f.heldDocument.GetContent(), response.GetDocumentPatch())
	if err != nil {
		f.relay.event(events.ConfigurationUnreadable).Err(err).Uint64("number", response.GetPatchedNumber()).Send()
		f.heldDocument = nil
		return nil
	}
	return &v1.Document{Number: response.GetPatchedNumber(), Content: content}
}

// applyRelayList applies a list of relays. Relays contact a new leader one by one: until the leader knows how many there are,
// its list is applied only when it is at least as long as the current one.
func (f *fleetState) applyRelayList(response *v1.WatchResponse) {
	addresses := response.GetRelayAddresses()
	if len(addresses) == 0 || response.GetRelayList() == f.relayListHash {
		return
	}
	if response.GetRelays() == 0 && len(addresses) < f.relayListSize {
		return
	}
	f.relayListHash, f.relayListSize = response.GetRelayList(), len(addresses)
	f.relay.setRelays(addresses, response.GetFormerRelays())
	f.relay.setRelayFormats(addresses, response.GetRelayFormats())
}

// applyRelayCount applies the number of relays; a new leader sends none until it knows how many there are.
func (f *fleetState) applyRelayCount(response *v1.WatchResponse) {
	if count := response.GetRelays(); count > 0 {
		f.relay.relayCount.Store(int64(count))
		f.relay.budget.SetRelays(int(count))
	}
}

// applyDocument applies a configuration whose number is above the current one. It returns false when the configuration
// cannot be applied. Such a document is not held, since the number that is sent to the leader denotes the configuration by
// which requests are served.
func (f *fleetState) applyDocument(document *v1.Document, next *view) bool {
	number := uint64(0)
	if next.table != nil {
		number = next.table.Configuration.Number
	}
	if document.GetNumber() < number {
		return true
	}
	if document.GetNumber() == number {
		f.heldDocument = document
		return true
	}
	configuration, err := f.relay.dialect.ParseConfiguration(document.GetContent())
	if err == nil {
		err = configuration.Check()
	}
	if err != nil {
		f.relay.event(events.ConfigurationUnreadable).Err(err).Uint64("number", document.GetNumber()).Send()
		return false
	}
	f.heldDocument = document
	next.table, next.configuredAt = serving.NewTable(&configuration), f.relay.clock.now()
	f.resizeCaches(next)
	f.relay.applyRouteServices(next.table)
	f.relay.event(events.ConfigurationApplied).Uint64("number", configuration.Number).Int("tenants", len(configuration.Tenants)).Send()
	return true
}

// HandleNoLeader implements leaderwatch.Node: it reads the platform's list when there has been no leader for a while, so that
// leaving back ends are known without a leader.
func (f *fleetState) HandleNoLeader(ctx context.Context) {
	relays := int(f.relay.relayCount.Load())
	if relays == 0 {
		return // the number of relays that would read the list as well is unknown
	}
	lead := listing.DirectReadAfter + leaderwatch.ExtraWait(relays)
	current := f.relay.view.Load()
	if current.table == nil {
		return // without a configuration, which only controllers send, no request could be served
	}
	calls := relays * max(f.listingCalls, 1)
	if !f.directRead.IsDue(f.relay.clock.now(), max(f.relay.lastContact(), 0)+lead, current.isListed, calls, f.relay.draw) {
		return
	}
	result, err := f.readListing(ctx, f.platformClient, 0)
	if fault, isChanged := f.faults.Update(result, err); isChanged {
		f.relay.event(events.ListingFaultChanged).Str("fault", fault).Send()
	}
	if err != nil {
		return
	}
	f.listingCalls = result.Calls
	next := *f.relay.view.Load()
	next.listingVersion = 0
	result.BackEnds = slices.DeleteFunc(result.BackEnds, func(backEnd serving.BackEnd) bool { return next.table.Service(backEnd.Service) == nil })
	f.applyListing(f.restrictToStated(f.restrictToKnown(f.identifyIncarnations(result.BackEnds, false)), next.table), &next)
	f.relay.setView(&next)
	f.migrateRuns()
}

// restrictToKnown removes from a list that this relay has read all back ends that the leader had not listed, when the
// leader listed only a part: all relays must use the same part.
func (f *fleetState) restrictToKnown(listed []serving.BackEnd) []serving.BackEnd {
	if !f.isListingPartial {
		return listed
	}
	return slices.DeleteFunc(listed, func(backEnd serving.BackEnd) bool { return f.records[backEnd.ID] == nil })
}

// restrictToStated removes from a list that this relay has read the back ends of versions that the leader has not stated, for services
// whose streams clients may take up: the leader would not know that such a version has begun streams.
func (f *fleetState) restrictToStated(listed []serving.BackEnd, table *serving.Table) []serving.BackEnd {
	return slices.DeleteFunc(listed, func(backEnd serving.BackEnd) bool {
		return table.HasResumableStreams(backEnd.Service) && !f.relay.origins.IsStated(backEnd.Service, streamorigin.VersionOf(backEnd.Software))
	})
}

// backEndsFromWire decodes the controllers' entries.
func backEndsFromWire(entries []*v1.ListedBackEnd) []serving.BackEnd {
	backEnds := make([]serving.BackEnd, 0, len(entries))
	for _, entry := range entries {
		backEnds = append(backEnds, serving.BackEndFromProto(entry))
	}
	return backEnds
}
