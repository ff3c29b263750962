package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/packed"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// formerRelay is a relay of the first format: it supports only whole documents, and watches with the number of its
// document.
type formerRelay struct {
	request  *v1.WatchRequest
	document *v1.Document
	listed   map[string]*v1.ListedBackEnd
}

func newFormerRelay(name string) *formerRelay {
	return &formerRelay{listed: map[string]*v1.ListedBackEnd{}, request: &v1.WatchRequest{
		Node: &v1.NodeIdentity{Name: name, Incarnation: 7}, NoticeAddress: name + ":1", WaitMs: 400,
	}}
}

// apply applies an answer as a relay of the first format decodes it.
func (r *formerRelay) apply(t *testing.T, response *v1.WatchResponse) {
	t.Helper()
	read := asFirstFormat(t, response)
	if len(read.GetPackedDocument()) > 0 {
		r.document = &v1.Document{}
		require.NoError(t, packed.Unpack(read.GetPackedDocument(), r.document))
		r.request.DocumentNumber = r.document.GetNumber()
	}
	if version := read.GetListingVersion(); version != r.request.GetListingVersion() {
		r.applyListing(t, read)
		r.request.ListingVersion = version
	}
}

func (r *formerRelay) applyListing(t *testing.T, read *v1.WatchResponse) {
	entries := read.GetListingChange().GetChanged()
	if read.GetListingChange() == nil {
		listing := &v1.Listing{}
		require.NoError(t, packed.Unpack(read.GetPackedListing(), listing))
		entries, r.listed = listing.GetBackEnds(), map[string]*v1.ListedBackEnd{}
	}
	for _, gone := range read.GetListingChange().GetGone() {
		delete(r.listed, gone)
	}
	for _, entry := range entries {
		r.listed[entry.GetId()] = asFirstFormat(t, entry)
	}
}

// watch sends one watch of the relay and applies the answer.
func (r *formerRelay) watch(w *testCluster, leader *testController) {
	w.t.Helper()
	answer := w.call(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: proto.CloneOf(r.request)} })
	require.NoError(w.t, answer.Err)
	r.apply(w.t, answer.Response.(*v1.WatchResponse))
}

// A new leader sent each relay that held the previous document a patch, in a field that relays of the former build do
// not know. They ignored it, watched again at once, and fell five versions behind while that build led; their watches
// cost the leader's link hundreds of kilobytes a second. The leader must send only what a relay supports, and must
// notice updates that are not applied.
func TestRelaysOfTheFormerBuildGetEveryChange(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	newSite(w, 0, 0)
	leader := w.waitLeader()
	relay := newFormerRelay("relay")
	for number := uint64(1); number <= 6; number++ {
		content := fmt.Sprintf("a content that changes a little: %d", number)
		require.NoError(t, w.putDocument(leader, number, content).Err)
		relay.watch(w, leader)
		require.Equal(t, number, relay.document.GetNumber())
		require.Equal(t, content, string(relay.document.GetContent()))
	}
}

// A relay that cannot use what it is sent, for whatever reason, watches again at once. It must be answered only as
// often as a relay without updates, and get the whole document after the first patch.
func TestARelayThatCanUseNoAnswerCostsNoMoreThanOthers(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	site := newSite(w, 0, 0)
	site.listOverride = []*v1.ListedBackEnd{{Id: "i-1", Service: "s", Zone: "z", Slots: 4}}
	leader := w.waitLeader()
	require.NoError(t, w.putDocument(leader, 1, "one").Err)
	newFormerRelay("another").watch(w, leader) // the leader now retains the first document for patches
	require.NoError(t, w.putDocument(leader, 2, "two").Err)
	w.run(2 * time.Second)
	request := &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "relay", Incarnation: 7}, WaitMs: 400, DocumentNumber: 1, Formats: formats.Supported().ToWire()}
	answers, patches := 0, 0
	for end := w.now + 8*time.Second; w.now < end; answers++ {
		answer := w.call(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: proto.CloneOf(request)} })
		if len(answer.Response.(*v1.WatchResponse).GetDocumentPatch()) > 0 {
			patches++
			require.Zero(t, answers, "a patch was sent again that was not applied before")
		}
	}
	require.Equal(t, 1, patches)
	require.LessOrEqual(t, answers, 8*1000/400+2*maximumImmediateAttempts)

	require.NoError(t, w.putDocument(leader, 3, "three").Err)
	waiting := w.send(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: proto.CloneOf(request)} })
	w.run(10 * time.Millisecond)
	require.Contains(t, w.answers, waiting, "another update is sent at once")
}

// A relay that applied an update and later holds nothing again is answered at once, however often that happens. A
// relay that lost its leader reads the list of back ends itself, and afterwards requests the whole list.
func TestAppliedUpdatesAreNotFailedAttempts(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	site := newSite(w, 0, 0)
	site.listOverride = []*v1.ListedBackEnd{{Id: "i-1", Service: "s", Zone: "z", Slots: 4}}
	leader := w.waitLeader()
	w.run(2 * time.Second)
	request := &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "relay", Incarnation: 7}, WaitMs: 400, Formats: formats.Supported().ToWire()}
	for range 5 {
		request.ListingVersion = 0
		sentAt := w.now
		response := w.call(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: proto.CloneOf(request)} }).Response.(*v1.WatchResponse)
		require.Less(t, w.now-sentAt, 100*time.Millisecond)
		require.Len(t, wholeListing(t, response), 1)
		request.ListingVersion = response.GetListingVersion()
		w.call(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: proto.CloneOf(request)} })
	}
}

// waitLeaderOtherThan cuts off a controller until another one leads, and returns that leader.
func (w *testCluster) waitLeaderOtherThan(controller *testController) *testController {
	w.t.Helper()
	w.waitLeader()
	controller.cut = true
	w.until("another leader", func() bool { leader := w.leader(); return leader != nil && leader != controller })
	leader := w.leader()
	controller.cut = false
	w.run(time.Second)
	require.Equal(w.t, leader, w.leader())
	return leader
}

// All replicas must apply each entry alike, so no entry may be proposed that a voter of the former build would skip.
// That voter would diverge, send its state to others and keep it on its disk.
func TestNoEntryIsProposedThatAVoterDoesNotKnow(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	newSite(w, 0, 0)
	former := w.controllers[w.names[0]]
	w.rebuild(former, 0)
	unknown := 0
	w.persisted = func(controller *testController, entry *v1.Entry) {
		command := &v1.Command{}
		if entry.GetType() != v1.EntryType_ENTRY_TYPE_COMMAND || controller != former {
			return
		}
		require.NoError(t, proto.Unmarshal(entry.GetData(), command))
		if command.GetBody() != nil && asFirstFormat(t, command).GetBody() == nil {
			unknown++
		}
	}
	leader := w.waitLeaderOtherThan(former)
	crashes := []*v1.ReplicaEnd{{Signature: make([]byte, 16), Replica: 1}, {Signature: make([]byte, 16), Replica: 2}}
	w.call(leader, func(id CallID) Input { return ReplicaCrashesReceived{Call: id, Crashes: crashes} })
	w.run(10 * time.Second)
	require.Zero(t, unknown, "entries that the voter of the former build skipped")
}

// A relay of the former build expects a replica to answer with the identity in the list. It does not know identities of
// incarnations: with one of these in the list, it would send the replica requests that the replica refuses.
func TestRelaysOfTheFormerBuildKnowReplicasByTheirNames(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	site := newSite(w, 0, 0)
	listed := func(born int64) []*v1.ListedBackEnd {
		return []*v1.ListedBackEnd{{Id: fmt.Sprint("i-1/", born), Replica: "i-1", BornMs: born, Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 4, Spot: true}}
	}
	site.listOverride = listed(1000)
	leader := w.waitLeader()
	w.run(2 * time.Second)
	relay := newFormerRelay("relay")
	relay.watch(w, leader)
	require.Len(t, relay.listed, 1)
	require.Contains(t, relay.listed, "i-1")

	site.listOverride = listed(2000)
	site.listOverride[0].Address = "10.0.0.1:81"
	w.run(2 * time.Second)
	relay.watch(w, leader)
	require.Len(t, relay.listed, 1)
	require.Equal(t, "10.0.0.1:81", relay.listed["i-1"].GetAddress())
}

// While one voter is of the former build, only the leader knows the quarantined requests: it sends them to relays and
// gateways and grants trials. Other controllers answer that they do not know which requests are quarantined. Once all
// voters support the quarantine, its format is agreed on and all controllers know the requests.
func TestRequestsAreHeldWhileAVoterDoesNotKnowOfThem(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	former := w.controllers[w.names[0]]
	w.rebuild(former, 0)
	leader := w.waitLeaderOtherThan(former)
	for replica := range uint64(quarantine.QuarantineThreshold) {
		w.reportCrash(crashingSignature, replica)
	}
	require.Equal(t, formats.First, leader.core.State().AgreedFormat())
	require.Empty(t, leader.core.State().Suspects().Suspects())
	require.Len(t, w.watchQuarantined(), 1)
	for _, name := range w.names {
		controller := w.controllers[name]
		response := w.sync(controller, &v1.SyncRequest{Node: &v1.NodeIdentity{Name: "gateway"}})
		require.Equal(t, controller == leader, response.GetTellsHeld())
		require.Equal(t, controller == leader, len(response.GetHeld()) == 1)
	}
	w.run(4 * time.Second)
	require.True(t, w.requestTrial())
	require.False(t, w.requestTrial(), "one trial at a time")

	w.rebuild(former, time.Second)
	w.run(2 * time.Second)
	w.waitAgreement()
	require.Len(t, leader.core.State().Suspects().Suspects(), 1, "the agreement takes over the leader's ledger")
	require.Equal(t, uint32(1), leader.core.State().Suspects().Suspects()[0].Trials)

	w.rebuild(former, time.Second) // a downgrade
	w.until("the end of the agreement", func() bool { return leader.core.State().AgreedFormat() == formats.First })
	require.Empty(t, leader.core.State().Suspects().Suspects())
	require.Len(t, w.watchQuarantined(), 1, "the request is still quarantined")
}
