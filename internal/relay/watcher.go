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
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// watchWait is how long a controller lets a watch wait for something new.
	watchWait = 400 * time.Millisecond
	// watchSlack is what a watch may take beyond its wait before another controller is asked.
	watchSlack = 300 * time.Millisecond
	// searchPause is the wait before another controller is asked.
	searchPause = 40 * time.Millisecond
	// ownListingInterval is the time between readings of the list by this relay itself,
	// while no controller leads.
	ownListingInterval = 800 * time.Millisecond
	// ownListingAfter is how long no controller has led when the relay reads the list itself.
	ownListingAfter = time.Second
	listingTimeout  = time.Second
)

// watcher follows the leader among the controllers: configuration, back ends, relays.
// While none leads, it reads the list of back ends itself.
type watcher struct {
	relay       *Relay
	http        *http.Client
	listing     *http.Client
	readListing func(ctx context.Context, client *http.Client) ([]serving.BackEnd, error)
	incarnation uint64
	// seeds are the controllers that the settings name.
	seeds atomic.Pointer[[]string]
	// controllers are the addresses known: the seeds at first, then what controllers tell.
	controllers []string
	// target is asked next.
	target int
	// known are the back ends by identity, so that their state outlives a reading.
	known map[string]*backEnd
	// closed are those of them that take no more work since the last list.
	closed []*backEnd
	// lost tells that no controller led when this was last looked at.
	lost bool
	// ownReadingDueAt is when this relay may read the list itself again.
	ownReadingDueAt time.Duration
}

func newWatcher(relay *Relay, options Options) *watcher {
	transport := &http.Transport{DialContext: dialing.Within(options.Dial, dialing.PeerTimeout), Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	watcher := &watcher{
		relay:       relay,
		http:        &http.Client{Transport: transport},
		listing:     &http.Client{Transport: &http.Transport{DialContext: options.Dial}, Timeout: listingTimeout},
		readListing: options.ReadListing,
		incarnation: rand.Uint64(),
		controllers: relay.settings.ControllerAddresses(),
		known:       map[string]*backEnd{},
	}
	watcher.seeds.Store(&watcher.controllers)
	return watcher
}

// noteContact writes a line when a leader is lost or found again.
func (w *watcher) noteContact() {
	lost := w.relay.clock.now()-w.relay.lastContact() > contactLimit
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
	limited, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	client := hazelpitchv1connect.NewNodeServiceClient(w.http, "http://"+address)
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
		WaitMs:         uint32(watchWait.Milliseconds()),
		Leaving:        w.relay.stopping.Load(),
		NoticeAddress:  w.relay.notices.address,
		Demands:        w.relay.work.report(w.relay.clock.now()),
	}
	if view.table != nil {
		request.DocumentNumber = view.table.Configuration.Number
	}
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
	if document := response.GetDocument(); document != nil {
		w.takeDocument(document, &next)
	}
	if version := response.GetListingVersion(); version != 0 && version != current.listingVersion {
		next.listingVersion = version
		w.takeBackEnds(translate(response.GetBackEnds()), &next)
	}
	w.relay.notices.setPeers(response.GetRelayAddresses())
	w.relay.budget.setRelays(int(response.GetRelays()))
	w.relay.view.Store(&next)
	w.moveRuns()
	w.relay.contactAt.Store(int64(w.relay.clock.now()))
}

// takeDocument puts a configuration in force if its number is above the one held.
func (w *watcher) takeDocument(document *v1.Document, next *view) {
	if next.table != nil && document.GetNumber() <= next.table.Configuration.Number {
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
	w.relay.event(events.ConfigurationInForce).Uint64("number", configuration.Number).Send()
}

// resizeCaches takes the engines' memory from the configuration in force: engines may be
// listed before it is known.
func (w *watcher) resizeCaches(next *view) {
	for service, backEnds := range next.byService {
		for _, engine := range backEnds {
			engine.cache.resize(placement.CacheCapacity(engine.Stage, cacheTokens(next, service)))
		}
	}
}

// takeBackEnds puts a reading of the list in force.
func (w *watcher) takeBackEnds(listed []serving.BackEnd, next *view) {
	known := make(map[string]*backEnd, len(listed))
	next.byService = map[string][]*backEnd{}
	next.byHash = map[uint64]*backEnd{}
	for _, entry := range listed {
		current := w.known[entry.ID]
		if current == nil || !sameEntry(current.BackEnd, entry) {
			current = w.replace(current, entry, next)
		}
		known[entry.ID] = current
		next.byService[entry.Service] = append(next.byService[entry.Service], current)
		next.byHash[current.hash] = current
	}
	for id, gone := range w.known {
		if known[id] == nil {
			gone.pool.close()
		}
	}
	w.closed = closedSince(w.known, known)
	w.known = known
	w.relay.event(events.ListingInForce).Uint64("version", next.listingVersion).Int("back_ends", len(listed)).Send()
	w.relay.notices.table.keep(next.byHash)
	w.relay.pace.keep(next.byHash)
	next.listed, next.listedAt = true, w.relay.clock.now()
}

// closedSince returns the former records of back ends that take no more work since then.
func closedSince(former, present map[string]*backEnd) []*backEnd {
	var closed []*backEnd
	for id, backEnd := range former {
		if next := present[id]; next != nil && (next.Leaving || next.Changing) && !backEnd.Leaving && !backEnd.Changing {
			closed = append(closed, backEnd)
		}
	}
	return closed
}

// moveRuns moves the runs at back ends that were closed, now that the view shows where to.
func (w *watcher) moveRuns() {
	for _, closed := range w.closed {
		closed.moveRuns()
	}
	w.closed = nil
}

// replace makes the record of a back end whose entry is new or has changed.
func (w *watcher) replace(former *backEnd, entry serving.BackEnd, view *view) *backEnd {
	replaced := newBackEnd(entry, cacheTokens(view, entry.Service))
	if former == nil {
		return replaced
	}
	now := w.relay.clock.now()
	replaced.load.avoidUntil = former.look(0).avoidUntil
	replaced.cache = former.cache
	replaced.changedAt = former.changedAt
	if former.Changing != entry.Changing || former.Stage != entry.Stage && !former.Changing {
		replaced.changedAt = now
	}
	if former.Stage != entry.Stage {
		replaced.cache.resize(placement.CacheCapacity(entry.Stage, cacheTokens(view, entry.Service)))
		replaced.avoid(awayFrom(former, replaced) + roleChange(view, entry.Service))
	}
	former.pool.close()
	return replaced
}

// awayFrom is when an engine whose stage has changed went away: when it was marked, or, where it
// was not, when the list showed the new stage.
func awayFrom(former, replaced *backEnd) time.Duration {
	if former.Changing {
		return former.changedAt
	}
	return replaced.changedAt
}

// roleChange is how long an engine of the service is away when its stage changes.
func roleChange(view *view, service string) time.Duration {
	if engine := view.engine(service); engine != nil {
		return engine.RoleChange
	}
	return 0
}

// defaultCacheTokens is an engine's memory until the configuration tells it.
const defaultCacheTokens = 400_000

// cacheTokens is the memory of a service's engines.
func cacheTokens(view *view, service string) int {
	if engine := view.engine(service); engine != nil && engine.CacheTokens > 0 {
		return engine.CacheTokens
	}
	return defaultCacheTokens
}

func sameEntry(a, b serving.BackEnd) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Leaving == b.Leaving && a.Changing == b.Changing && a.Stage == b.Stage && a.Slots == b.Slots
}

// readWhileNoneLeads reads the list here once no controller has led for a while, so that
// back ends that leave are known without one.
func (w *watcher) readWhileNoneLeads(ctx context.Context) {
	now := w.relay.clock.now()
	if now-w.relay.lastContact() < ownListingAfter || now < w.ownReadingDueAt {
		return
	}
	w.ownReadingDueAt = now + ownListingInterval
	listed, err := w.readListing(ctx, w.listing)
	if err != nil {
		return
	}
	next := *w.relay.view.Load()
	next.listingVersion = 0
	w.takeBackEnds(listed, &next)
	w.relay.view.Store(&next)
	w.moveRuns()
}

// translate turns the controllers' entries into back ends.
func translate(entries []*v1.ListedBackEnd) []serving.BackEnd {
	backEnds := make([]serving.BackEnd, 0, len(entries))
	for _, entry := range entries {
		backEnds = append(backEnds, serving.BackEndFromListed(entry))
	}
	return backEnds
}
