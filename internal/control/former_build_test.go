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

// formerRelay is a relay of the first format: it knows whole documents, and asks with the number of the one in force.
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

// take takes an answer as the relay reads it.
func (r *formerRelay) take(t *testing.T, told *v1.WatchResponse) {
	t.Helper()
	read := asFormer(t, told)
	if len(read.GetPackedDocument()) > 0 {
		r.document = &v1.Document{}
		require.NoError(t, packed.Unpack(read.GetPackedDocument(), r.document))
		r.request.DocumentNumber = r.document.GetNumber()
	}
	if version := read.GetListingVersion(); version != r.request.GetListingVersion() {
		r.takeListing(t, read)
		r.request.ListingVersion = version
	}
}

func (r *formerRelay) takeListing(t *testing.T, read *v1.WatchResponse) {
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
		r.listed[entry.GetId()] = asFormer(t, entry)
	}
}

// ask lets the relay ask once and take the answer.
func (r *formerRelay) ask(w *world, leader *testController) {
	w.t.Helper()
	answer := w.call(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: proto.CloneOf(r.request)} })
	require.NoError(w.t, answer.Err)
	r.take(w.t, answer.Response.(*v1.WatchResponse))
}

// Seen: while a fleet was replaced machine by machine, relays that still ran the former build served by a configuration
// five versions old, and one that had been acknowledged was not in force there.
// How: a controller of the new build came to lead, and told each relay that held the document before the newest what had
// changed since, in a field that the former build does not know. Those relays took nothing from the answers, and asked
// again at once, all of them, for as long as that build led.
// Cause: the leader did not know what a relay can read, and did not see that its answers were in vain.
// Proof: with both builds side by side all relays of the former one, and none of the new, stayed at the version before
// the new leader's first; the leader's link carried hundreds of kilobytes a second more from that moment on.
func TestRelaysOfTheFormerBuildGetEveryChange(t *testing.T) {
	w := newWorld(t, 3, seeded)
	newSite(w, 0, 0)
	leader := w.waitLeader()
	relay := newFormerRelay("relay")
	for number := uint64(1); number <= 6; number++ {
		content := fmt.Sprintf("a content that changes a little: %d", number)
		require.NoError(t, w.putDocument(leader, number, content).Err)
		relay.ask(w, leader)
		require.Equal(t, number, relay.document.GetNumber())
		require.Equal(t, content, string(relay.document.GetContent()))
	}
}

// A relay that cannot use what it is told, for whatever reason, asks again at once. It is answered as often as one for
// which there is nothing new, and after the first answer it is told the whole.
func TestARelayThatCanUseNoAnswerCostsNoMoreThanOthers(t *testing.T) {
	w := newWorld(t, 3, seeded)
	site := newSite(w, 0, 0)
	site.shown = []*v1.ListedBackEnd{{Id: "i-1", Service: "s", Zone: "z", Slots: 4}}
	leader := w.waitLeader()
	require.NoError(t, w.putDocument(leader, 1, "one").Err)
	newFormerRelay("another").ask(w, leader) // the leader keeps what it has told
	require.NoError(t, w.putDocument(leader, 2, "two").Err)
	w.run(2 * time.Second)
	request := &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "relay", Incarnation: 7}, WaitMs: 400, DocumentNumber: 1, Formats: formats.Supported().ToWire()}
	answers, patches := 0, 0
	for end := w.now + 8*time.Second; w.now < end; answers++ {
		answer := w.call(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: proto.CloneOf(request)} })
		if len(answer.Response.(*v1.WatchResponse).GetDocumentPatch()) > 0 {
			patches++
			require.Zero(t, answers, "the patch was in vain before")
		}
	}
	require.Equal(t, 1, patches)
	require.LessOrEqual(t, answers, 8*1000/400+2*maximumImmediateAttempts)

	require.NoError(t, w.putDocument(leader, 3, "three").Err)
	waiting := w.send(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: proto.CloneOf(request)} })
	w.run(10 * time.Millisecond)
	require.Contains(t, w.answers, waiting, "other news is told at once")
}

// A relay that took what it was told, and later holds nothing again, is told at once, however often that happens: one that
// lost its leader reads the list of back ends itself, and asks for the whole list after it.
func TestWhatWasTakenWasNotToldInVain(t *testing.T) {
	w := newWorld(t, 3, seeded)
	site := newSite(w, 0, 0)
	site.shown = []*v1.ListedBackEnd{{Id: "i-1", Service: "s", Zone: "z", Slots: 4}}
	leader := w.waitLeader()
	w.run(2 * time.Second)
	request := &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "relay", Incarnation: 7}, WaitMs: 400, Formats: formats.Supported().ToWire()}
	for range 5 {
		request.ListingVersion = 0
		asked := w.now
		told := w.call(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: proto.CloneOf(request)} }).Response.(*v1.WatchResponse)
		require.Less(t, w.now-asked, 100*time.Millisecond)
		require.Len(t, wholeListing(t, told), 1)
		request.ListingVersion = told.GetListingVersion()
		w.call(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: proto.CloneOf(request)} })
	}
}

// waitLeaderOtherThan waits until another controller leads.
func (w *world) waitLeaderOtherThan(controller *testController) *testController {
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

// Replicas of one state machine apply each entry alike: one that a voter of the former build would pass over must not
// come into the log. Such a voter would hold another state from then on, tell it to others, and keep it on its disk.
func TestNoEntryIsProposedThatAVoterDoesNotKnow(t *testing.T) {
	w := newWorld(t, 3, seeded)
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
		if command.GetBody() != nil && asFormer(t, command).GetBody() == nil {
			unknown++
		}
	}
	leader := w.waitLeaderOtherThan(former)
	ends := []*v1.ReplicaEnd{{Signature: make([]byte, 16), Replica: 1}, {Signature: make([]byte, 16), Replica: 2}}
	w.call(leader, func(id CallID) Input { return ReplicaCrashesReceived{Call: id, Crashes: ends} })
	w.run(10 * time.Second)
	require.Zero(t, unknown, "entries that the voter of the former build passed over")
}

// A relay of the former build expects a replica by the identity that the list tells, and that is what the replica
// answers to: the identity of a start, which it does not know, would have all its requests turned away.
func TestRelaysOfTheFormerBuildKnowReplicasByTheirNames(t *testing.T) {
	w := newWorld(t, 3, seeded)
	site := newSite(w, 0, 0)
	listed := func(born int64) []*v1.ListedBackEnd {
		return []*v1.ListedBackEnd{{Id: fmt.Sprint("i-1/", born), Replica: "i-1", BornMs: born, Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 4, Spot: true}}
	}
	site.shown = listed(1000)
	leader := w.waitLeader()
	w.run(2 * time.Second)
	relay := newFormerRelay("relay")
	relay.ask(w, leader)
	require.Len(t, relay.listed, 1)
	require.Contains(t, relay.listed, "i-1")

	site.shown = listed(2000)
	site.shown[0].Address = "10.0.0.1:81"
	w.run(2 * time.Second)
	relay.ask(w, leader)
	require.Len(t, relay.listed, 1)
	require.Equal(t, "10.0.0.1:81", relay.listed["i-1"].GetAddress())
}

// While a voter of the former build is there, held requests are the leader's own word: it tells relays and gateways of
// them, others say nothing rather than that there are none, and it grants trials. They are agreed on once all know how.
func TestRequestsAreHeldWhileAVoterDoesNotKnowOfThem(t *testing.T) {
	w := newWorld(t, 3, nil)
	former := w.controllers[w.names[0]]
	w.rebuild(former, 0)
	leader := w.waitLeaderOtherThan(former)
	for replica := range uint64(quarantine.QuarantineThreshold) {
		w.tellEnd(endingSignature, replica)
	}
	require.Equal(t, formats.First, leader.core.State().AgreedFormat())
	require.Empty(t, leader.core.State().Suspects().Suspects())
	require.Len(t, w.toldHeld(), 1)
	for _, name := range w.names {
		controller := w.controllers[name]
		told := w.sync(controller, &v1.SyncRequest{Node: &v1.NodeIdentity{Name: "gateway"}})
		require.Equal(t, controller == leader, told.GetTellsHeld())
		require.Equal(t, controller == leader, len(told.GetHeld()) == 1)
	}
	w.run(4 * time.Second)
	require.True(t, w.askTrial())
	require.False(t, w.askTrial(), "one at a time")

	w.rebuild(former, time.Second)
	w.run(2 * time.Second)
	w.waitAgreement()
	require.Len(t, leader.core.State().Suspects().Suspects(), 1, "what the leader held is agreed on")
	require.Equal(t, uint32(1), leader.core.State().Suspects().Suspects()[0].Trials)

	w.rebuild(former, time.Second) // and taken back
	w.until("the end of the agreement", func() bool { return leader.core.State().AgreedFormat() == formats.First })
	require.Empty(t, leader.core.State().Suspects().Suspects())
	require.Len(t, w.toldHeld(), 1, "it is still held")
}
