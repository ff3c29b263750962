package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
)

// fleetZones is the number of zones of the fleets here.
const fleetZones = 5

// fleetOf lists engines of one service, half of which read prompts.
func fleetOf(engines int) []*v1.ListedBackEnd {
	listed := make([]*v1.ListedBackEnd, engines)
	for index := range listed {
		listed[index] = fleetEngine(index)
	}
	return listed
}

func fleetEngine(index int) *v1.ListedBackEnd {
	role := v1.Role_ROLE_DECODE
	if index%2 == 0 {
		role = v1.Role_ROLE_PREFILL
	}
	return &v1.ListedBackEnd{
		Id: fmt.Sprintf("i-%08x", index*2654435761&0xffffffff), Service: "s", Zone: fmt.Sprint("zone-", index%fleetZones), Slots: 64, Role: role,
		Address: fmt.Sprintf("10.%d.%d.%d:8080", 64+index>>16, index>>8&255, index&255), Models: []string{"m"},
	}
}

// fleetRelay is what one relay holds.
type fleetRelay struct {
	request *v1.WatchRequest
	// listed are the back ends by identity.
	listed map[string]*v1.ListedBackEnd
	// owners are the relays that may own cells.
	owners []string
	bytes  int
}

// fleetWorld is a site of controllers with relays that watch.
type fleetWorld struct {
	*world
	site   *siteEngines
	relays []*fleetRelay
}

func newFleetWorld(t *testing.T, engines, relays int) *fleetWorld {
	w := newWorld(t, 3, func(config *Config) { seeded(config); config.PriorPrefillShare = 0 })
	fleet := &fleetWorld{world: w, site: newSite(w, 4, 2)}
	fleet.site.shown = fleetOf(engines)
	for index := range relays {
		fleet.relays = append(fleet.relays, newFleetRelay(index))
	}
	w.waitLeader()
	w.run(2 * time.Second)
	return fleet
}

func newFleetRelay(index int) *fleetRelay {
	return &fleetRelay{listed: map[string]*v1.ListedBackEnd{}, request: &v1.WatchRequest{
		Formats: formats.Supported().ToWire(),
		Node:    &v1.NodeIdentity{Name: fmt.Sprint("relay-", index)}, NoticeAddress: fmt.Sprintf("10.1.%d.%d:7380", index>>8, index&255),
	}}
}

// watchAll lets each relay ask the leader once and take what it is told.
func (w *fleetWorld) watchAll(busy float64) {
	w.t.Helper()
	for _, relay := range w.relays {
		const windowMs = 1000
		relay.request.Demands = []*v1.RoleDemand{{Service: "s", WindowMs: windowMs, PrefillMs: uint64(busy * windowMs / float64(len(w.relays)))}}
		answer := w.call(w.leader(), func(id CallID) Input { return WatchReceived{Call: id, Request: proto.CloneOf(relay.request)} })
		relay.take(w.t, answer.Response.(*v1.WatchResponse))
	}
}

func (r *fleetRelay) take(t *testing.T, told *v1.WatchResponse) {
	r.bytes += proto.Size(told)
	if len(told.GetPackedListing()) > 0 {
		r.listed = map[string]*v1.ListedBackEnd{}
		for _, entry := range wholeListing(t, told) {
			r.listed[entry.GetId()] = entry
		}
	}
	for _, entry := range told.GetListingChange().GetChanged() {
		r.listed[entry.GetId()] = entry
	}
	for _, id := range told.GetListingChange().GetGone() {
		delete(r.listed, id)
	}
	if len(told.GetRelayAddresses()) > 0 {
		r.owners, r.request.RelayList = told.GetRelayAddresses(), told.GetRelayList()
	}
	if len(told.GetWanted()) > 0 {
		r.request.Wanted = told.GetWanted()
	}
	r.request.ListingVersion = told.GetListingVersion()
}

// settle lets relays ask until the leader knows how many they are.
func (w *fleetWorld) settle(busy float64) {
	w.watchAll(busy)
	w.run(relayCountDelay)
	w.watchAll(busy)
}

// What a relay holds and is sent is bounded whatever the number of relays and engines: 427 requests a second
// that keep 60 engines busy, before fleets of 160 to 100,000 engines.
func TestRelayKnowsNoMoreInALargerFleet(t *testing.T) {
	const (
		mostEngines = 640
		mostOwners  = 256
		// firstBytes is what a relay is sent that holds nothing; its link carries a thousand times that in
		// a second, and the links of the controllers that answer a thousand relays a third of it.
		firstBytes = 40 << 10
	)
	for _, size := range []struct{ engines, relays int }{{160, 30}, {1_000, 100}, {10_000, 1_000}, {20_000, 2_000}, {100_000, 1_000}} {
		t.Run(fmt.Sprint(size.engines, " engines, ", size.relays, " relays"), func(t *testing.T) {
			w := newFleetWorld(t, size.engines, size.relays)
			w.settle(60)
			relay := w.relays[0]
			t.Logf("engines %d, owners %d, %d bytes", len(relay.listed), len(relay.owners), relay.bytes)
			require.GreaterOrEqual(t, len(relay.listed), min(size.engines, 240))
			require.LessOrEqual(t, len(relay.listed), mostEngines)
			require.LessOrEqual(t, len(relay.owners), mostOwners)
			require.LessOrEqual(t, relay.bytes, firstBytes)
			require.Equal(t, fleetZones, zonesOf(relay.listed))
			for _, other := range w.relays {
				require.Equal(t, len(relay.listed), len(other.listed))
			}
		})
	}
}

func zonesOf(listed map[string]*v1.ListedBackEnd) int {
	zones := map[string]bool{}
	for _, entry := range listed {
		zones[entry.GetZone()] = true
	}
	return len(zones)
}

// In a fleet of 10,000 engines of which 100 are replaced each second, a relay hears of those few that it is
// told of, and of none of the relays that restart but may own no cell.
func TestRelayHearsOfFewChanges(t *testing.T) {
	w := newFleetWorld(t, 10_000, 300)
	w.settle(60)
	before := w.relays[0].bytes
	for second := range 10 {
		for index := range 100 {
			replaced := (second*100 + index) * 7
			w.site.shown = slices.Clone(w.site.shown)
			w.site.shown[replaced] = fleetEngine(10_000 + replaced)
		}
		restarted := newFleetRelay(1_000 + second)
		w.relays[20+second] = restarted
		w.run(time.Second)
		w.watchAll(60)
	}
	const bytesASecond = 4 << 10
	require.Less(t, w.relays[0].bytes-before, 10*bytesASecond)
}

// Work that grows brings in engines at once, and a new leader goes on with them before it knows the work.
func TestWorkBringsInEngines(t *testing.T) {
	w := newFleetWorld(t, 10_000, 20)
	w.settle(60)
	idle := len(w.relays[0].listed)
	w.watchAll(600)
	w.run(time.Second)
	w.watchAll(600)
	grown := len(w.relays[0].listed)
	require.Greater(t, grown, 2*idle)

	former := w.leader()
	former.cut = true
	w.until("another leader", func() bool { next := w.leader(); return next != nil && next != former })
	w.run(time.Second)
	w.watchAll(0)
	require.Equal(t, grown, len(w.relays[0].listed), "the new leader has not heard of the work yet")
}

// callsOf lets the leader read the list for a while, and returns its calls, and how many back ends relays know.
func (w *fleetWorld) callsOf(span time.Duration) (calls, told int) {
	w.site.readings = nil
	w.run(span)
	for _, reading := range w.site.readings {
		calls += reading.calls
	}
	w.watchAll(60)
	return calls, len(w.relays[0].listed)
}

// The list takes a fixed rate of calls from all who read it. Where a part of it holds what is wanted, its
// length does not matter: 0.5 s between readings, 20 s between those of the whole list.
func TestCallsForTheListDoNotGrowWithIt(t *testing.T) {
	const (
		pageSize = 200
		span     = 60 * time.Second
	)
	for engines, most := range map[int]int{160: 121, 10_000: 650, 20_000: 800, 100_000: 1_950} {
		w := newFleetWorld(t, 4, 1)
		w.site.shown, w.site.pageSize = fleetOf(engines), pageSize
		w.run(2 * time.Second)
		calls, told := w.callsOf(span)
		t.Logf("%d engines: %d calls a minute, relays know %d", engines, calls, told)
		require.LessOrEqual(t, calls, most)
		require.GreaterOrEqual(t, told, min(engines, 240))
		require.LessOrEqual(t, told, 640)
		status := w.leader().core.Status().Site
		require.Equal(t, SiteStatus{
			Relays: 1, BackEnds: engines, PublishedBackEnds: told, Pages: status.Pages, UpdatesPerSecond: initialUpdatesPerSecond, QuorumSilence: status.QuorumSilence,
		}, status)
		require.Equal(t, engines > 1_000, status.Pages > 0)
	}
}

// leavingAfter is how long after an engine's entry says that it leaves a relay that was told of it knows.
func (w *fleetWorld) leavingAfter(index int) time.Duration {
	w.site.shown = slices.Clone(w.site.shown)
	leaving := proto.CloneOf(w.site.shown[index])
	leaving.Leaving = true
	w.site.shown[index] = leaving
	for since := time.Duration(0); since < time.Minute; since += 50 * time.Millisecond {
		w.run(50 * time.Millisecond)
		w.watchAll(60)
		if listed := w.relays[0].listed[leaving.GetId()]; listed.GetLeaving() || listed == nil {
			return since
		}
	}
	w.t.Fatal("nobody is told that an engine leaves")
	return 0
}

// Relays hear within a second of a told engine that leaves, however long the list is.
func TestLeavingEngineIsToldSoonInALargeFleet(t *testing.T) {
	for _, engines := range []int{160, 10_000, 100_000} {
		w := newFleetWorld(t, 4, 2)
		w.site.shown, w.site.pageSize = fleetOf(engines), 200
		w.run(3 * time.Second)
		w.settle(60)
		told := slices.IndexFunc(w.site.shown, func(entry *v1.ListedBackEnd) bool { return w.relays[0].listed[entry.GetId()] != nil })
		require.LessOrEqual(t, w.leavingAfter(told), time.Second, "%d engines", engines)
	}
}

// Where relays know a part of the engines, none is ordered into another stage before there is work: others
// are there, and a change takes an engine away for seconds.
func TestSpareEnginesAreNotOrderedBeforeThereIsWork(t *testing.T) {
	for engines, expected := range map[int]bool{160: true, 10_000: false} {
		w := newWorld(t, 3, seeded)
		site := newSite(w, 4, 2)
		site.shown, site.pageSize = fleetOf(engines), 200
		w.waitLeader()
		w.run(10 * time.Second)
		require.Equal(t, expected, site.asked > 0, "%d engines, half of which read prompts", engines)
	}
}

// Engines that go from the part of the list that is read are made good for by others further behind.
func TestPartOfTheListThatRunsShortIsReadFurther(t *testing.T) {
	w := newFleetWorld(t, 4, 2)
	w.site.shown, w.site.pageSize = fleetOf(10_000), 200
	w.run(3 * time.Second)
	w.settle(60)
	w.site.shown = slices.Clone(w.site.shown)
	for index := range 1000 {
		leaving := proto.CloneOf(w.site.shown[index])
		leaving.Leaving = true
		w.site.shown[index] = leaving
	}
	w.run(3 * time.Second)
	w.watchAll(60)
	open := 0
	for _, entry := range w.relays[0].listed {
		if !entry.GetLeaving() {
			open++
		}
	}
	require.GreaterOrEqual(t, open, 240)
}

// A list that does not keep its order is read whole, and relays go on with what they know.
func TestListWithoutAnOrderIsReadWhole(t *testing.T) {
	w := newFleetWorld(t, 4, 2)
	w.site.shown, w.site.pageSize = fleetOf(10_000), 200
	w.run(3 * time.Second)
	for range 4 {
		w.site.shown = slices.Clone(w.site.shown)
		w.random.Shuffle(len(w.site.shown), func(i, j int) { w.site.shown[i], w.site.shown[j] = w.site.shown[j], w.site.shown[i] })
		w.run(2 * time.Second)
	}
	w.settle(60)
	before := w.relays[0].listed
	w.random.Shuffle(len(w.site.shown), func(i, j int) { w.site.shown[i], w.site.shown[j] = w.site.shown[j], w.site.shown[i] })
	calls, _ := w.callsOf(10 * time.Second)
	require.Equal(t, before, w.relays[0].listed)
	require.LessOrEqual(t, calls, 11*50, "the calls of a second are bounded all the same")
}
