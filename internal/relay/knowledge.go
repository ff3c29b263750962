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

// knowledge is what the relay knows of the fleet: configuration, back ends, relays that own them. It takes
// what the leader tells, and reads the list of back ends itself while none leads.
type knowledge struct {
	relay       *Relay
	platform    *http.Client
	readListing func(ctx context.Context, client *http.Client, pages int) (serving.Listing, error)
	incarnation uint64
	// known are the back ends by identity, so that their state outlives a reading.
	known map[string]*backEnd
	// signals are what back ends have asked of this relay; they outlive known.
	signals *backpressure.Registry
	// closed are those of them that take no more work since the last list.
	closed []*backEnd
	// lost tells that no controller led when this was last looked at.
	lost bool
	// held is the document in force as the leader told it; patches are made against it. Its number is 0
	// where the whole document is wanted.
	held *v1.Document
	// relayList is the hash of the list of relays that is held, 0 for none, and relaysListed their number.
	relayList    uint64
	relaysListed int
	// formerListed: a leader of the first format, which does not tell starts apart, has told the last list.
	formerListed bool
	// listing is the list of back ends as the leader told it last.
	listing listing.ReceivedList
	// wanted is how many back ends of each service the leader wanted last, and partial whether it told of a
	// part of them.
	wanted  []*v1.WantedBackEnds
	partial bool
	own     listing.DirectRead
	faults  listing.Faults
	// listingCalls is how many calls a reading of the outside list takes, 0 while it is not known.
	listingCalls int
}

func newKnowledge(relay *Relay, options Options) *knowledge {
	return &knowledge{
		relay:       relay,
		platform:    &http.Client{Transport: &http.Transport{DialContext: options.Dial}, Timeout: listingTimeout},
		readListing: options.ReadListing,
		incarnation: rand.Uint64(),
		known:       map[string]*backEnd{},
		signals:     backpressure.NewRegistry(),
	}
}

// BeforeWatch implements leaderwatch.Node: it writes a line when a leader is lost or found again.
func (k *knowledge) BeforeWatch(controllers []string) {
	lost := k.relay.clock.now()-k.relay.lastContact() > k.relay.contactLimit()
	if lost == k.lost {
		return
	}
	k.lost = lost
	event := events.LeaderFound
	if lost {
		event = events.LeaderLost
	}
	k.relay.event(event).Strs("controllers", controllers).Send()
}

// WatchRequest implements leaderwatch.Node.
func (k *knowledge) WatchRequest(wait time.Duration) *v1.WatchRequest {
	view := k.relay.view.Load()
	request := &v1.WatchRequest{
		Node: &v1.NodeIdentity{
			Name: k.relay.settings.Name, Zone: k.relay.settings.Zone, Address: k.relay.settings.Listen, Incarnation: k.incarnation,
		},
		ListingVersion: view.listingVersion,
		WaitMs:         uint32(wait.Milliseconds()),
		Leaving:        k.relay.stopping.Load(),
		NoticeAddress:  k.relay.datagrams.Address,
		RelayList:      k.relayList,
		HeldVersion:    k.relay.guard.QuarantineVersion(),
		Demands:        k.relay.work.Report(k.relay.clock.now()),
	}
	request.Limits = fleetlimit.LimitsToWire(k.relay.permits.Limits())
	request.Formats = formats.Supported().ToWire()
	request.DocumentNumber = k.held.GetNumber()
	request.Wanted = k.wanted
	return request
}

// ApplyUpdate implements leaderwatch.Node: it puts in force what the leader told.
func (k *knowledge) ApplyUpdate(response *v1.WatchResponse) bool {
	current := k.relay.view.Load()
	next := *current
	used := true
	if document := k.document(response); document != nil {
		used = k.takeDocument(document, &next)
	}
	if version := response.GetListingVersion(); version != 0 && version != current.listingVersion {
		next.listingVersion = 0 // the whole list is asked for unless this one can be read
		if listed, read := k.listing.Apply(current.listingVersion, response); read {
			next.listingVersion = version
			if wanted := response.GetWanted(); len(wanted) > 0 {
				k.wanted = wanted // a leader of the first format tells none: the next one is told what is known
			}
			former := !formats.FromWire(response.GetFormats()).Supports(formats.ReplicaIncarnations)
			k.takeBackEnds(k.identified(translate(listed), former), &next)
		}
	}
	if response.GetTellsHeld() || response.GetHeldVersion() != 0 {
		k.relay.guard.ApplyQuarantine(response.GetHeldVersion(), response.GetHeld())
	} else {
		k.relay.guard.MarkQuarantineUnsupported()
	}
	k.takeRelays(response)
	k.takeRelayCount(response)
	k.partial = response.GetListingPartial()
	if calls := int(response.GetListingCalls()); calls > 0 {
		k.listingCalls = calls // a leader that does not know yet, or of the first format, tells none
	}
	k.takeUsageWindow(response)
	k.relay.setView(&next)
	k.takeLimits(response)
	k.moveRuns()
	k.relay.contactAt.Store(int64(k.relay.clock.now()))
	return used
}

// takeUsageWindow takes the windows in which usage is counted. A leader of the first format knows of none: what is
// counted waits for one that does.
func (k *knowledge) takeUsageWindow(response *v1.WatchResponse) {
	window := time.Duration(response.GetUsageWindowMs()) * time.Millisecond
	if window == 0 && !formats.FromWire(response.GetFormats()).Supports(formats.UsageWindows) {
		return
	}
	k.relay.usage.UpdateTime(k.relay.clock.now(), response.GetTrueTimeMs(), window)
}

// takeLimits takes the limits that the leader knows of, for back ends of which other relays have not told yet.
func (k *knowledge) takeLimits(response *v1.WatchResponse) {
	for _, told := range response.GetLimits() {
		if named, valid := fleetlimit.FromWire(told); valid {
			k.relay.takeLeadersLimit(named)
		}
	}
}

// document reads the document of a response; nil for none.
func (k *knowledge) document(response *v1.WatchResponse) *v1.Document {
	if len(response.GetDocumentPatch()) > 0 {
		return k.patched(response)
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

// patched makes the document in force of the one held; nil where that fails, and the whole one is
// asked for next.
func (k *knowledge) patched(response *v1.WatchResponse) *v1.Document {
	content, err := packed.ApplyPatch(k.held.GetContent(), response.GetDocumentPatch())
	if err != nil {
		k.relay.event(events.ConfigurationUnreadable).Err(err).Uint64("number", response.GetPatchedNumber()).Send()
		k.held = nil
		return nil
	}
	return &v1.Document{Number: response.GetPatchedNumber(), Content: content}
}

// takeRelays puts a list of relays in force. A new leader hears of them one by one: until it
// knows how many there are, its list counts only where it tells more than is held.
func (k *knowledge) takeRelays(response *v1.WatchResponse) {
	addresses := response.GetRelayAddresses()
	if len(addresses) == 0 || response.GetRelayList() == k.relayList {
		return
	}
	if response.GetRelays() == 0 && len(addresses) < k.relaysListed {
		return
	}
	k.relayList, k.relaysListed = response.GetRelayList(), len(addresses)
	k.relay.setRelays(addresses, response.GetFormerRelays())
}

// takeRelayCount takes the number of all relays; a new leader does not know it yet.
func (k *knowledge) takeRelayCount(response *v1.WatchResponse) {
	if count := response.GetRelays(); count > 0 {
		k.relay.relayCount.Store(int64(count))
		k.relay.budget.SetRelays(int(count))
	}
}

// takeDocument puts a configuration in force if its number is above the one in force; false where it cannot be put in
// force. Such a document is not held: the number that the leader is told stands for what requests are served by.
func (k *knowledge) takeDocument(document *v1.Document, next *view) bool {
	number := uint64(0)
	if next.table != nil {
		number = next.table.Configuration.Number
	}
	if document.GetNumber() < number {
		return true
	}
	if document.GetNumber() == number {
		k.held = document
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
	k.held = document
	next.table, next.configuredAt = serving.NewTable(&configuration), k.relay.clock.now()
	k.resizeCaches(next)
	k.relay.event(events.ConfigurationApplied).Uint64("number", configuration.Number).Int("tenants", len(configuration.Tenants)).Send()
	return true
}

// HandleNoLeader implements leaderwatch.Node: it reads the list here once no controller has led for a while, so that
// back ends that leave are known without one.
func (k *knowledge) HandleNoLeader(ctx context.Context) {
	relays := int(k.relay.relayCount.Load())
	if relays == 0 {
		return // it cannot tell how many others would read it as well
	}
	lead := listing.DirectReadAfter + leaderwatch.ExtraWait(relays)
	held := k.relay.view.Load()
	if held.table == nil {
		return // a list serves nobody without a configuration, which only controllers tell
	}
	calls := relays * max(k.listingCalls, 1)
	if !k.own.IsDue(k.relay.clock.now(), max(k.relay.lastContact(), 0)+lead, held.listed, calls, k.relay.draw) {
		return
	}
	read, err := k.readListing(ctx, k.platform, 0)
	if fault, isNews := k.faults.Update(read, err); isNews {
		k.relay.event(events.ListingFaultChanged).Str("fault", fault).Send()
	}
	if err != nil {
		return
	}
	k.listingCalls = read.Calls
	next := *k.relay.view.Load()
	next.listingVersion = 0
	read.BackEnds = slices.DeleteFunc(read.BackEnds, func(backEnd serving.BackEnd) bool { return next.table.Service(backEnd.Service) == nil })
	k.takeBackEnds(k.toldBackEnds(k.identified(read.BackEnds, false)), &next)
	k.relay.setView(&next)
	k.moveRuns()
}

// toldBackEnds keeps of a list that this relay has read those that the leader told it of, where these are a
// part: all relays must keep to the same part.
func (k *knowledge) toldBackEnds(listed []serving.BackEnd) []serving.BackEnd {
	if !k.partial {
		return listed
	}
	return slices.DeleteFunc(listed, func(backEnd serving.BackEnd) bool { return k.known[backEnd.ID] == nil })
}

// translate turns the controllers' entries into back ends.
func translate(entries []*v1.ListedBackEnd) []serving.BackEnd {
	backEnds := make([]serving.BackEnd, 0, len(entries))
	for _, entry := range entries {
		backEnds = append(backEnds, serving.BackEndFromProto(entry))
	}
	return backEnds
}
