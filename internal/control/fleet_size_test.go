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

// fleetZones is the number of zones of the test fleets.
const fleetZones = 5

// fleetOf lists engines of one service, half of which do prefill.
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

// fleetRelay is a relay with the back ends and the relay addresses that it holds.
type fleetRelay struct {
	request *v1.WatchRequest
	// listed are the back ends by identity.
	listed map[string]*v1.ListedBackEnd
	// owners are the relays that may own cells.
	owners []string
	bytes  int
}

// testFleet is a cluster of controllers with a site of engines and with relays that watch.
type testFleet struct {
	*testCluster
	site   *siteEngines
	relays []*fleetRelay
}

func newTestFleet(t *testing.T, engines, relays int) *testFleet {
	w := newTestCluster(t, 3, func(config *Config) { withSeeds(config); config.PriorPrefillShare = 0 })
	fleet := &testFleet{testCluster: w, site: newSite(w, 4, 2)}
	fleet.site.listOverride = fleetOf(engines)
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

// watchAll makes each relay watch the leader once and apply the answer.
func (w *testFleet) watchAll(busy float64) {
	w.t.Helper()
	for _, relay := range w.relays {
		const windowMs = 1000
		relay.request.Demands = []*v1.RoleDemand{{Service: "s", WindowMs: windowMs, PrefillMs: uint64(busy * windowMs / float64(len(w.relays)))}}
		answer := w.call(w.leader(), func(id CallID) Input { return WatchReceived{Call: id, Request: proto.CloneOf(relay.request)} })
		relay.apply(w.t, answer.Response.(*v1.WatchResponse))
	}
}

func (r *fleetRelay) apply(t *testing.T, response *v1.WatchResponse) {
	r.bytes += proto.Size(response)
	if len(response.GetPackedListing()) > 0 {
		r.listed = map[string]*v1.ListedBackEnd{}
		for _, entry := range wholeListing(t, response) {
			r.listed[entry.GetId()] = entry
		}
	}
	for _, entry := range response.GetListingChange().GetChanged() {
		r.listed[entry.GetId()] = entry
	}
	for _, id := range response.GetListingChange().GetGone() {
		delete(r.listed, id)
	}
	if len(response.GetRelayAddresses()) > 0 {
		r.owners, r.request.RelayList = response.GetRelayAddresses(), response.GetRelayList()
	}
	if len(response.GetWanted()) > 0 {
		r.request.Wanted = response.GetWanted()
	}
	r.request.ListingVersion = response.GetListingVersion()
}

// settle lets relays watch until the leader knows the number of relays.
func (w *testFleet) settle(busy float64) {
	w.watchAll(busy)
	w.run(relayCountDelay)
	w.watchAll(busy)
}

// What a relay holds and is sent is bounded, whatever the number of relays and engines: here for 427 requests a
// second, which keep 60 engines busy, with fleets of 160 to 100,000 engines.
func TestRelayKnowsNoMoreInALargerFleet(t *testing.T) {
	const (
		maximumEngines = 640
		maximumOwners  = 256
		// maximumFirstBytes is the maximum size of the first answer to a relay without any state. The relay's link carries
		// a thousand times as much in a second, and the links of controllers that answer a thousand relays need a third
		// of a second for these answers.
		maximumFirstBytes = 40 << 10
	)
	for _, size := range []struct{ engines, relays int }{{160, 30}, {1_000, 100}, {10_000, 1_000}, {20_000, 2_000}, {100_000, 1_000}} {
		t.Run(fmt.Sprint(size.engines, " engines, ", size.relays, " relays"), func(t *testing.T) {
			w := newTestFleet(t, size.engines, size.relays)
			w.settle(60)
			relay := w.relays[0]
			t.Logf("engines %d, owners %d, %d bytes", len(relay.listed), len(relay.owners), relay.bytes)
			require.GreaterOrEqual(t, len(relay.listed), min(size.engines, 240))
			require.LessOrEqual(t, len(relay.listed), maximumEngines)
			require.LessOrEqual(t, len(relay.owners), maximumOwners)
			require.LessOrEqual(t, relay.bytes, maximumFirstBytes)
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

// In a fleet of 10,000 engines of which 100 are replaced each second, a relay is sent only changes of the few engines
// that it knows, and no changes of restarted relays that may not own cells.
func TestRelayHearsOfFewChanges(t *testing.T) {
	w := newTestFleet(t, 10_000, 300)
	w.settle(60)
	before := w.relays[0].bytes
	for second := range 10 {
		for index := range 100 {
			replaced := (second*100 + index) * 7
			w.site.listOverride = slices.Clone(w.site.listOverride)
			w.site.listOverride[replaced] = fleetEngine(10_000 + replaced)
		}
		restarted := newFleetRelay(1_000 + second)
		w.relays[20+second] = restarted
		w.run(time.Second)
		w.watchAll(60)
	}
	const bytesASecond = 4 << 10
	require.Less(t, w.relays[0].bytes-before, 10*bytesASecond)
}

// More work publishes more engines at once, and a new leader continues with them before it knows the work.
func TestMoreWorkPublishesMoreEngines(t *testing.T) {
	w := newTestFleet(t, 10_000, 20)
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
	require.Equal(t, grown, len(w.relays[0].listed), "the new leader has not received reports of the work yet")
}

// countListCalls lets the leader read the list for a while, and returns the number of its calls and of the back ends
// that relays know.
func (w *testFleet) countListCalls(span time.Duration) (calls, published int) {
	w.site.reads = nil
	w.run(span)
	for _, read := range w.site.reads {
		calls += read.calls
	}
	w.watchAll(60)
	return calls, len(w.relays[0].listed)
}

// All readers of the list share a fixed call rate. Where a part of the list holds the required back ends, the length
// of the list does not matter: partial reads are 0.5 s apart, complete reads 20 s.
func TestCallsForTheListDoNotGrowWithIt(t *testing.T) {
	const (
		pageSize = 200
		span     = 60 * time.Second
	)
	for engines, maximumCalls := range map[int]int{160: 121, 10_000: 650, 20_000: 800, 100_000: 1_950} {
		w := newTestFleet(t, 4, 1)
		w.site.listOverride, w.site.pageSize = fleetOf(engines), pageSize
		w.run(2 * time.Second)
		calls, published := w.countListCalls(span)
		t.Logf("%d engines: %d calls a minute, relays know %d", engines, calls, published)
		require.LessOrEqual(t, calls, maximumCalls)
		require.GreaterOrEqual(t, published, min(engines, 240))
		require.LessOrEqual(t, published, 640)
		status := w.leader().core.Status().Site
		require.Equal(t, SiteStatus{
			Relays: 1, BackEnds: engines, PublishedBackEnds: published, Pages: status.Pages, UpdatesPerSecond: initialUpdatesPerSecond, QuorumSilence: status.QuorumSilence,
		}, status)
		require.Equal(t, engines > 1_000, status.Pages > 0)
	}
}

// timeUntilLeavingIsKnown returns how long it takes a relay to know that a published engine leaves after the list
// shows it.
func (w *testFleet) timeUntilLeavingIsKnown(index int) time.Duration {
	w.site.listOverride = slices.Clone(w.site.listOverride)
	leaving := proto.CloneOf(w.site.listOverride[index])
	leaving.Leaving = true
	w.site.listOverride[index] = leaving
	for since := time.Duration(0); since < time.Minute; since += 50 * time.Millisecond {
		w.run(50 * time.Millisecond)
		w.watchAll(60)
		if listed := w.relays[0].listed[leaving.GetId()]; listed.GetLeaving() || listed == nil {
			return since
		}
	}
	w.t.Fatal("no relay is informed that the engine leaves")
	return 0
}

// Relays know within a second that a published engine leaves, however long the list is.
func TestLeavingEngineIsToldSoonInALargeFleet(t *testing.T) {
	for _, engines := range []int{160, 10_000, 100_000} {
		w := newTestFleet(t, 4, 2)
		w.site.listOverride, w.site.pageSize = fleetOf(engines), 200
		w.run(3 * time.Second)
		w.settle(60)
		published := slices.IndexFunc(w.site.listOverride, func(entry *v1.ListedBackEnd) bool { return w.relays[0].listed[entry.GetId()] != nil })
		require.LessOrEqual(t, w.timeUntilLeavingIsKnown(published), time.Second, "%d engines", engines)
	}
}

// Where relays know only a part of the engines, no engine is ordered to another stage before there is work: a stage
// change takes an engine out of service for seconds, and unpublished engines are available.
func TestSpareEnginesAreNotOrderedBeforeThereIsWork(t *testing.T) {
	for engines, expected := range map[int]bool{160: true, 10_000: false} {
		w := newTestCluster(t, 3, withSeeds)
		site := newSite(w, 4, 2)
		site.listOverride, site.pageSize = fleetOf(engines), 200
		w.waitLeader()
		w.run(10 * time.Second)
		require.Equal(t, expected, site.ordersReceived > 0, "%d engines, half of which do prefill", engines)
	}
}

// When engines of the part of the list that is read leave, engines further back in the list replace them.
func TestPartOfTheListThatRunsShortIsReadFurther(t *testing.T) {
	w := newTestFleet(t, 4, 2)
	w.site.listOverride, w.site.pageSize = fleetOf(10_000), 200
	w.run(3 * time.Second)
	w.settle(60)
	w.site.listOverride = slices.Clone(w.site.listOverride)
	for index := range 1000 {
		leaving := proto.CloneOf(w.site.listOverride[index])
		leaving.Leaving = true
		w.site.listOverride[index] = leaving
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

// A list that does not keep its order is read completely, and relays keep the back ends that they know.
func TestListWithoutAnOrderIsReadWhole(t *testing.T) {
	w := newTestFleet(t, 4, 2)
	w.site.listOverride, w.site.pageSize = fleetOf(10_000), 200
	w.run(3 * time.Second)
	for range 4 {
		w.site.listOverride = slices.Clone(w.site.listOverride)
		w.random.Shuffle(len(w.site.listOverride), func(i, j int) {
			w.site.listOverride[i], w.site.listOverride[j] = w.site.listOverride[j], w.site.listOverride[i]
		})
		w.run(2 * time.Second)
	}
	w.settle(60)
	before := w.relays[0].listed
	w.random.Shuffle(len(w.site.listOverride), func(i, j int) {
		w.site.listOverride[i], w.site.listOverride[j] = w.site.listOverride[j], w.site.listOverride[i]
	})
	calls, _ := w.countListCalls(10 * time.Second)
	require.Equal(t, before, w.relays[0].listed)
	require.LessOrEqual(t, calls, 11*50, "the calls per second are limited also for complete reads")
}
