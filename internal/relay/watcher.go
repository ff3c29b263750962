package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/listing"
	"github.com/hazelpitch/hazelpitch/internal/packed"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// watchWait is how long a controller lets a watch wait for something new at least, longestWatchWait
	// at most: the leader answers about watchesPerSecond watches a second, however many relays there
	// are.
	watchWait        = 400 * time.Millisecond
	longestWatchWait = time.Second
	watchesPerSecond = 300
	// watchSlack is what a watch may take beyond its wait before another controller is asked.
	watchSlack = 300 * time.Millisecond
	// searchPause is the wait before another controller is asked.
	searchPause    = 40 * time.Millisecond
	listingTimeout = time.Second
)

// watcher follows the leader among the controllers: configuration, back ends, relays.
// While none leads, it reads the list of back ends itself.
type watcher struct {
	relay       *Relay
	http        *http.Client
	platform    *http.Client
	readListing func(ctx context.Context, client *http.Client, pages int) (serving.Listing, error)
	incarnation uint64
	// seeds are the controllers that the settings name.
	seeds atomic.Pointer[[]string]
	// controllers are the addresses known: the seeds at first, then what controllers tell.
	controllers []string
	// leader is the controller that is asked now or was asked last; others read it.
	leader atomic.Pointer[string]
	// target is asked next.
	target int
	// known are the back ends by identity, so that their state outlives a reading.
	known map[string]*backEnd
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
	// listing is the list of back ends as the leader told it last.
	listing listing.Held
	// wanted is how many back ends of each service the leader wanted last, and partial whether it told of a
	// part of them.
	wanted  []*v1.WantedBackEnds
	partial bool
	own     listing.OwnReading
	// listingCalls is how many calls a reading of the outside list takes, 0 while it is not known.
	listingCalls int
}

func newWatcher(relay *Relay, options Options) *watcher {
	transport := &http.Transport{DialContext: dialing.Within(options.Dial, dialing.PeerTimeout), Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	watcher := &watcher{
		relay:       relay,
		http:        &http.Client{Transport: transport},
		platform:    &http.Client{Transport: &http.Transport{DialContext: options.Dial}, Timeout: listingTimeout},
		readListing: options.ReadListing,
		incarnation: rand.Uint64(),
		controllers: relay.settings.ControllerAddresses(),
		known:       map[string]*backEnd{},
	}
	watcher.seeds.Store(&watcher.controllers)
	watcher.leader.Store(new(string))
	return watcher
}

// noteContact writes a line when a leader is lost or found again.
func (w *watcher) noteContact() {
	lost := w.relay.clock.now()-w.relay.lastContact() > w.relay.contactLimit()
	if lost == w.lost {
		return
	}
	w.lost = lost
	event := events.LeaderFound
	if lost {
		event = events.LeaderLost
	}
	w.relay.event(event).Strs("controllers", w.controllers).Send()
}

// run watches until the context ends.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.noteContact()
		if w.watchOnce(ctx) {
			continue
		}
		w.readWhileNoneLeads(ctx)
		pause.For(ctx, searchPause)
	}
}

// watchOnce asks the controller that most likely leads; it reports whether that one led.
func (w *watcher) watchOnce(ctx context.Context) bool {
	address := w.controllers[w.target%len(w.controllers)]
	w.leader.Store(&address)
	limited, cancel := context.WithTimeout(ctx, w.wait()+watchSlack)
	defer cancel()
	client := hazelpitchv1connect.NewNodeServiceClient(w.http, "http://"+address)
	asked := w.relay.clock.now()
	response, err := client.Watch(limited, connect.NewRequest(w.request()))
	if err != nil {
		w.setControllers(w.controllers)
		w.target++
		return false
	}
	w.learnControllers(response.Msg, address)
	if response.Msg.GetBehind() {
		return false
	}
	if w.lateAnswer(asked) {
		return true // it is asked again at once
	}
	w.take(response.Msg)
	return true
}

// setControllers takes the controllers that one told, and keeps the seeds beside them.
func (w *watcher) setControllers(told []string) {
	w.controllers = append(slices.Clone(told), *w.seeds.Load()...)
	slices.Sort(w.controllers)
	w.controllers = slices.Compact(w.controllers)
}

func (w *watcher) request() *v1.WatchRequest {
	view := w.relay.view.Load()
	request := &v1.WatchRequest{
		Node: &v1.NodeIdentity{
			Name: w.relay.settings.Name, Zone: w.relay.settings.Zone, Address: w.relay.settings.Listen, Incarnation: w.incarnation,
		},
		ListingVersion: view.listingVersion,
		WaitMs:         uint32(w.wait().Milliseconds()),
		Leaving:        w.relay.stopping.Load(),
		NoticeAddress:  w.relay.datagrams.address,
		RelayList:      w.relayList,
		HeldVersion:    w.relay.guard.Version(),
		Demands:        w.relay.work.report(w.relay.clock.now()),
	}
	request.DocumentNumber = w.held.GetNumber()
	request.Wanted = w.wanted
	return request
}

// learnControllers takes the addresses that a controller tells, and asks the leader next,
// or another controller when that one knows none.
func (w *watcher) learnControllers(response *v1.WatchResponse, asked string) {
	if told := response.GetControllerAddresses(); len(told) > 0 {
		w.setControllers(told)
	}
	leader := response.GetLeaderAddress()
	if !response.GetBehind() {
		leader = asked
	}
	next := slices.Index(w.controllers, leader)
	if next < 0 || response.GetBehind() && leader == asked {
		w.target = max(slices.Index(w.controllers, asked), 0) + 1
		return
	}
	w.target = next
}

// take puts in force what the leader told.
func (w *watcher) take(response *v1.WatchResponse) {
	current := w.relay.view.Load()
	next := *current
	if document := w.document(response); document != nil {
		w.takeDocument(document, &next)
	}
	if version := response.GetListingVersion(); version != 0 && version != current.listingVersion {
		next.listingVersion = 0 // the whole list is asked for unless this one can be read
		if listed, read := w.listing.Take(current.listingVersion, response); read {
			next.listingVersion, w.wanted = version, response.GetWanted()
			w.takeBackEnds(translate(listed), &next)
		}
	}
	w.relay.guard.Take(response.GetHeldVersion(), response.GetHeld())
	w.takeRelays(response)
	w.takeRelayCount(response)
	w.listingCalls, w.partial = int(response.GetListingCalls()), response.GetListingPartial()
	w.relay.usage.Hear(w.relay.clock.now(), response.GetTrueTimeMs(), time.Duration(response.GetUsageWindowMs())*time.Millisecond)
	w.relay.view.Store(&next)
	w.moveRuns()
	w.relay.contactAt.Store(int64(w.relay.clock.now()))
}

// wait is how long a controller lets a watch wait.
func (w *watcher) wait() time.Duration {
	return min(max(time.Duration(w.relay.relayCount.Load())*time.Second/watchesPerSecond, watchWait), longestWatchWait)
}

// document reads the document of a response; nil for none.
func (w *watcher) document(response *v1.WatchResponse) *v1.Document {
	if len(response.GetDocumentPatch()) > 0 {
		return w.patched(response)
	}
	if len(response.GetPackedDocument()) == 0 {
		return nil
	}
	document := &v1.Document{}
	if err := packed.Unpack(response.GetPackedDocument(), document); err != nil {
		w.relay.event(events.ConfigurationUnreadable).Err(err).Send()
		return nil
	}
	return document
}

// patched makes the document in force of the one held; nil where that fails, and the whole one is
// asked for next.
func (w *watcher) patched(response *v1.WatchResponse) *v1.Document {
	content, err := packed.ApplyPatch(w.held.GetContent(), response.GetDocumentPatch())
	if err != nil {
		w.relay.event(events.ConfigurationUnreadable).Err(err).Uint64("number", response.GetPatchedNumber()).Send()
		w.held = nil
		return nil
	}
	return &v1.Document{Number: response.GetPatchedNumber(), Content: content}
}

// takeRelays puts a list of relays in force. A new leader hears of them one by one: until it
// knows how many there are, its list counts only where it tells more than is held.
func (w *watcher) takeRelays(response *v1.WatchResponse) {
	addresses := response.GetRelayAddresses()
	if len(addresses) == 0 || response.GetRelayList() == w.relayList {
		return
	}
	if response.GetRelays() == 0 && len(addresses) < w.relaysListed {
		return
	}
	w.relayList, w.relaysListed = response.GetRelayList(), len(addresses)
	w.relay.setRelays(addresses)
}

// takeRelayCount takes the number of all relays; a new leader does not know it yet.
func (w *watcher) takeRelayCount(response *v1.WatchResponse) {
	if count := response.GetRelays(); count > 0 {
		w.relay.relayCount.Store(int64(count))
		w.relay.budget.setRelays(int(count))
	}
}

// takeDocument puts a configuration in force if its number is above the one held.
func (w *watcher) takeDocument(document *v1.Document, next *view) {
	number := uint64(0)
	if next.table != nil {
		number = next.table.Configuration.Number
	}
	if document.GetNumber() < number {
		return
	}
	w.held = document
	if document.GetNumber() == number {
		return
	}
	configuration, err := w.relay.dialect.ParseConfiguration(document.GetContent())
	if err == nil {
		err = configuration.Check()
	}
	if err != nil {
		w.relay.event(events.ConfigurationUnreadable).Err(err).Uint64("number", document.GetNumber()).Send()
		return
	}
	next.table, next.configuredAt = serving.NewTable(&configuration), w.relay.clock.now()
	w.resizeCaches(next)
	w.relay.event(events.ConfigurationInForce).Uint64("number", configuration.Number).Int("tenants", len(configuration.Tenants)).Send()
}

// readWhileNoneLeads reads the list here once no controller has led for a while, so that
// back ends that leave are known without one.
func (w *watcher) readWhileNoneLeads(ctx context.Context) {
	lead := listing.OwnReadingAfter + w.wait() - watchWait
	held := w.relay.view.Load()
	if held.table == nil {
		return // a list serves nobody without a configuration, which only controllers tell
	}
	calls := int(w.relay.relayCount.Load()) * max(w.listingCalls, 1)
	if !w.own.IsDue(w.relay.clock.now(), max(w.relay.lastContact(), 0)+lead, held.listed, calls, w.relay.draw) {
		return
	}
	read, err := w.readListing(ctx, w.platform, 0)
	if err != nil {
		return
	}
	w.listingCalls = read.Calls
	next := *w.relay.view.Load()
	next.listingVersion = 0
	w.takeBackEnds(w.toldBackEnds(read.BackEnds), &next)
	w.relay.view.Store(&next)
	w.moveRuns()
}

// toldBackEnds keeps of a list that this relay has read those that the leader told it of, where these are a
// part: all relays must keep to the same part.
func (w *watcher) toldBackEnds(listed []serving.BackEnd) []serving.BackEnd {
	if !w.partial {
		return listed
	}
	return slices.DeleteFunc(listed, func(backEnd serving.BackEnd) bool { return w.known[backEnd.ID] == nil })
}

// translate turns the controllers' entries into back ends.
func translate(entries []*v1.ListedBackEnd) []serving.BackEnd {
	backEnds := make([]serving.BackEnd, 0, len(entries))
	for _, entry := range entries {
		backEnds = append(backEnds, serving.BackEndFromListed(entry))
	}
	return backEnds
}
