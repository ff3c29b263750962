package relay

import (
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/cell"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// shortPrompt is one that a decoding engine reads itself.
var shortPrompt = []string{"T-Model: m", "T-Tokens: 300,50", "T-Parts: aa:100,bb:200"}

// ownedBy lets other relays own all engines of this one, in their order.
func (r *testRelay) ownedBy(owners ...string) {
	r.owners.mutex.Lock()
	defer r.owners.mutex.Unlock()
	for _, divided := range r.owners.current.Load().services["service"].division.Cells() {
		r.owners.ownersByCell[divided.ID] = owners
	}
	r.owners.rebuild()
}

// tellsOfItsWork lets the relay send its notices.
func (r *testRelay) tellsOfItsWork(t *testing.T) {
	t.Helper()
	go r.notices.run(t.Context())
}

// silentRelay takes datagrams and answers none.
func silentRelay(t *testing.T) string {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket.LocalAddr().String()
}

// newPair returns a relay and the owner of its engines; both know the same back ends.
func newPair(t *testing.T, backEnds ...*scriptedBackEnd) (asking, owner *testRelay) {
	t.Helper()
	asking = newTestRelay(t, route(stream(true)), backEnds...)
	owner = newTestRelay(t, route(stream(true)), backEnds...)
	asking.ownedBy(owner.datagrams.Address)
	return asking, owner
}

// reservedAt is the work that the relay has assigned to an engine as an owner.
func (r *testRelay) reservedAt(engine string) placement.Work {
	r.owner.mutex.Lock()
	defer r.owner.mutex.Unlock()
	return r.owner.reserved.ReservedWork(r.engineOf(engine).hash)
}

// ask has the owner answer a question of another relay about its only cell; answers come one by one.
func (r *testRelay) ask(query *engineQuery, number uint64) <-chan *v1.PlacementAnswer {
	answers := make(chan *v1.PlacementAnswer, answersAwaited)
	id := r.owners.current.Load().services["service"].division.Cells()[0].ID
	go r.owner.handleQuery(queryToWire(query, otherRelay, number, id), func(answer *v1.PlacementAnswer) { answers <- answer })
	return answers
}

// answersAwaited is how many answers a test reads at most.
const answersAwaited = 4

// otherRelay is the identity of a relay that asks in tests.
const otherRelay = 77

// beginning is the question where a prompt should be read.
func beginning(prompt serving.Prompt) *engineQuery {
	return &engineQuery{purpose: purposeBegin, service: "service", request: placement.Request{
		Stage: serving.StageDecode, Prompt: placement.PrefixBlocksOf(prompt), Tokens: prompt.PromptTokens, Target: time.Second, TimeLeft: time.Hour,
	}}
}

// The owner knows what no other relay knows: the work that it has assigned, from the moment at
// which it did until the relay that asked tells of it.
func TestOwnerDecides(t *testing.T) {
	busy := startBackEnd(t, "busy", serving.StageDecode, streaming("busy", eventOne))
	idle := startBackEnd(t, "idle", serving.StageDecode, streaming("idle", eventOne))
	owner := newTestRelay(t, route(stream(true)), busy, idle)
	owner.engineOf("busy").addWork(placement.Work{Streams: 8}.Plus(placement.PrefillWork(100_000, 0)))
	answer := <-owner.ask(beginning(serving.ParsePrompt("m", "300,50", "aa:100,bb:200")), 5)
	require.Equal(t, owner.engineOf("idle").hash, answer.GetEngine())
	require.Equal(t, 1, owner.reservedAt("idle").Streams)
	owner.notices.handle(&v1.LoadNotice{Relay: otherRelay, Sequence: 1, Engines: []*v1.EngineWork{{Engine: answer.GetEngine(), Streams: 1, Assigned: []uint64{5}}}})
	require.Zero(t, owner.reservedAt("idle"))
}

// A relay follows its owner, and tells it of the work that came of it.
func TestRelayFollowsItsOwner(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne))
	asking, owner := newPair(t, engine)
	asking.tellsOfItsWork(t)
	answered := func() float64 {
		return testutil.ToFloat64(asking.metrics.placementQueries.WithLabelValues(queryAnswered))
	}
	for answered() == 0 { // an answer that comes too late is not followed
		require.Equal(t, eventOne, asking.client(t).do("POST", "/path/", "x", shortPrompt...).body)
	}
	require.Eventually(t, func() bool { return owner.reservedAt("engine") == placement.Work{} }, time.Minute, time.Millisecond)
	require.Eventually(t, func() bool { return owner.notices.table.lastReceivedAt() > 0 }, time.Minute, time.Millisecond)
}

// An owner that does not answer costs a request little: the stand-in decides, and without one the
// relay itself.
func TestRequestsDoNotNeedTheirOwner(t *testing.T) {
	for name, owners := range map[string]func(t *testing.T, standIn *testRelay) []string{
		"the stand-in decides": func(t *testing.T, standIn *testRelay) []string {
			return []string{silentRelay(t), standIn.datagrams.Address}
		},
		"nobody answers":        func(t *testing.T, _ *testRelay) []string { return []string{silentRelay(t), silentRelay(t)} },
		"nobody owns":           func(*testing.T, *testRelay) []string { return nil },
		"an address is garbled": func(*testing.T, *testRelay) []string { return []string{"nowhere"} },
	} {
		t.Run(name, func(t *testing.T) {
			engine := startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne))
			asking, standIn := newPair(t, engine)
			asking.ownedBy(owners(t, standIn)...)
			for range 3 {
				require.Equal(t, eventOne, asking.client(t).do("POST", "/path/", "x", shortPrompt...).body)
			}
		})
	}
}

// An owner that stays silent is not asked again for a while, and hears no notices; the stand-in
// does.
func TestSilentOwnerLosesItsPart(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne))
	asking, standIn := newPair(t, engine)
	silent := silentRelay(t)
	asking.ownedBy(silent, standIn.datagrams.Address, "127.0.0.1:1")
	now := asking.clock.now()
	require.Equal(t, []string{silent, standIn.datagrams.Address}, asking.placements.otherOwners(now, asking.engineOf("engine")))
	asking.peers.RecordQuery(asking.clock.now(), silent, false, time.Millisecond)
	asking.peers.RecordQuery(asking.clock.now(), silent, false, time.Millisecond)
	require.Equal(t, []string{standIn.datagrams.Address, "127.0.0.1:1"}, asking.placements.otherOwners(asking.clock.now(), asking.engineOf("engine")))
}

// An owner that is behind may answer with an engine that leaves by the newest list here. Its word
// is not followed.
func TestOwnerThatIsBehindIsNotFollowed(t *testing.T) {
	leaving := startBackEnd(t, "leaving", serving.StageDecode, streaming("leaving", eventOne))
	staying := startBackEnd(t, "staying", serving.StageDecode, streaming("staying", eventOne))
	asking, owner := newPair(t, leaving, staying)
	owner.engineOf("staying").addWork(placement.Work{Streams: 8}.Plus(placement.PrefillWork(100_000, 0)))
	asking.leave("leaving")
	asking.ownedBy(owner.datagrams.Address)
	require.Equal(t, eventOne, asking.client(t).do("POST", "/path/", "x", shortPrompt...).body)
	require.Empty(t, leaving.seen())
	require.Len(t, staying.seen(), 1)
	require.Eventually(t, func() bool { return owner.reservedAt("leaving") == placement.Work{} }, time.Minute, time.Millisecond, "it is told")
}

// A question for a cell that the owner does not know, or about another service, is answered at
// once; one of a relay that would refuse its request for that answer is not, and goes to another owner.
func TestOwnerOfOtherCells(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne))
	_, owner := newPair(t, engine)
	for name, asked := range map[string]*v1.PlacementRequest{
		"another cell":    {Service: "service", Cell: 1, Relay: 1, Number: 3, Formats: formats.Supported().ToWire()},
		"another service": {Service: "other", Relay: 1, Number: 3, Formats: formats.Supported().ToWire()},
	} {
		former := proto.CloneOf(asked)
		former.Formats = nil
		owner.owner.handleQuery(former, func(*v1.PlacementAnswer) { t.Error("a relay of the first format was answered") })
		t.Run(name, func(t *testing.T) {
			var answers []*v1.PlacementAnswer
			owner.owner.handleQuery(asked, func(answer *v1.PlacementAnswer) { answers = append(answers, answer) })
			require.Len(t, answers, 1)
			require.Equal(t, v1.PlacementAction_PLACEMENT_ACTION_UNPLACED, answers[0].GetAction())
			require.Equal(t, uint64(3), answers[0].GetNumber())
		})
	}
}

// A prompt that shares its beginning waits at the owner while an engine reads that for another
// request, and is answered when it is read.
func TestOwnerLetsPromptsWaitForSharedParts(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, refusing(503))
	owner := newTestRelay(t, route(stream(true)), reader, startBackEnd(t, "decoder", serving.StageDecode, refusing(503)))
	owner.prefillWaitSlack = time.Hour
	parts := placement.PrefixBlocksOf(serving.ParsePrompt("m", "9000,50", "aa:6000,bb:3000"))
	owner.engineOf("reader").cache.beginPrefill(owner.clock.now(), parts)
	answers := owner.ask(beginning(serving.ParsePrompt("m", "9500,50", "aa:6000,cc:3500")), 1)
	require.Equal(t, v1.PlacementAction_PLACEMENT_ACTION_WAIT, (<-answers).GetAction())
	require.Eventually(t, func() bool { return owner.engineOf("reader").currentLoad(0).ownWork.Prefills == 1 }, time.Minute, time.Millisecond)
	owner.engineOf("reader").cache.markCached(owner.clock.now(), parts)
	answer := <-answers
	require.Equal(t, v1.PlacementAction_PLACEMENT_ACTION_READ_APART, answer.GetAction())
	require.Equal(t, owner.engineOf("reader").hash, answer.GetEngine())
	require.Equal(t, uint32(3500), answer.GetToRead())
	require.Equal(t, placement.Work{}, owner.engineOf("reader").currentLoad(0).ownWork)
}

// The wait at the owner ends when its relay gives the question up, and no answer follows.
func TestWaitAtTheOwnerEndsWhenItIsCancelled(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, refusing(503))
	owner := newTestRelay(t, route(stream(true)), reader, startBackEnd(t, "decoder", serving.StageDecode, refusing(503)))
	owner.prefillWaitSlack = time.Hour
	owner.engineOf("reader").cache.beginPrefill(owner.clock.now(), placement.PrefixBlocksOf(serving.ParsePrompt("m", "9000,50", "aa:6000,bb:3000")))
	answers := owner.ask(beginning(serving.ParsePrompt("m", "9500,50", "aa:6000,cc:3500")), 1)
	require.Equal(t, v1.PlacementAction_PLACEMENT_ACTION_WAIT, (<-answers).GetAction())
	require.Eventually(t, func() bool { return owner.engineOf("reader").currentLoad(0).ownWork.Prefills == 1 }, time.Minute, time.Millisecond)
	owner.handleDatagram(&v1.RelayDatagram{Content: &v1.RelayDatagram_Cancel{Cancel: &v1.PlacementCancel{Relay: otherRelay, Number: 1}}}, "")
	require.Eventually(t, func() bool { return owner.engineOf("reader").currentLoad(0).ownWork == placement.Work{} }, time.Minute, time.Millisecond)
	require.Empty(t, answers)
	require.Equal(t, placement.Work{}, owner.reservedAt("reader"))
}

// What an assignment would have had read is forgotten when its relay gives it up.
func TestCancelledAssignmentIsForgotten(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	_, owner := newPair(t, reader, startBackEnd(t, "decoder", serving.StageDecode, refusing(503)))
	parts := []placement.PrefixBlock{{Hash: 1, Tokens: 4000}, {Hash: 2, Tokens: 3000}}
	query := &engineQuery{purpose: purposePrefill, service: "service", request: placement.Request{Prompt: parts, Tokens: 7000, Target: time.Second}}
	asker := placement.QueryID{Relay: 1, Number: 1}
	answer := owner.owner.decide(query, owner.view.Load().byService["service"], &asker)
	require.Equal(t, 7000, answer.chosen.backEnd.cache.lookup(parts, 0).Total)
	owner.handleDatagram(&v1.RelayDatagram{Content: &v1.RelayDatagram_Cancel{Cancel: &v1.PlacementCancel{Relay: 1, Number: 1}}}, "")
	require.Zero(t, answer.chosen.backEnd.cache.lookup(parts, 0).Total)
	require.Zero(t, owner.reservedAt(answer.chosen.backEnd.ID))
}

// Datagrams that are garbled, of another format, or answer nothing that was asked are counted and
// dropped.
func TestStrayDatagramsAreDropped(t *testing.T) {
	relay := newTestRelay(t, route(stream(true)), startBackEnd(t, "engine", serving.StageDecode, refusing(503)))
	other, err := proto.Marshal(&v1.RelayDatagram{Format: datagram.Format + 1})
	require.NoError(t, err)
	require.Nil(t, relay.datagrams.Parse([]byte("no datagram")))
	require.Nil(t, relay.datagrams.Parse(other))
	relay.handleDatagram(&v1.RelayDatagram{}, "")
	relay.placements.deliver(&v1.PlacementAnswer{Number: 99})
	number, answers := relay.placements.queries.Open()
	relay.placements.deliver(&v1.PlacementAnswer{Number: number, Relay: relay.placements.incarnation + 1})
	require.Empty(t, answers, "an answer to an earlier start of this relay")
	for reason, count := range map[datagram.DropReason]float64{datagram.Malformed: 1, datagram.UnsupportedFormat: 1, datagram.Unexpected: 3} {
		require.Equal(t, count, testutil.ToFloat64(relay.metrics.datagramsDropped.WithLabelValues(string(reason))), reason)
	}
}

// Questions and answers come over as they were, and what does not fit is bounded.
func TestPlacementWire(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, refusing(503))
	relay := newTestRelay(t, route(stream(true)), engine)
	view := relay.view.Load()
	known := relay.engineOf("engine")
	query := &engineQuery{
		purpose: purposeTakeOver, service: "service", excluded: []uint64{4}, holder: &prefixHolder{engine: known, tokens: 12},
		request: placement.Request{
			Stage: serving.StageDecode, Zone: "zone", Rank: placement.Rank{First: 6, Steps: 2}, Target: time.Second, Gap: time.Millisecond, Stride: 7, Tokens: 70,
			Prompt: []placement.PrefixBlock{{Hash: 1, Tokens: 60}, {Hash: 2, Tokens: 10}}, TokenTransferTime: 33, SlotHoldTime: time.Minute,
			TimeLeft: 4 * time.Second, MayHaveRun: true,
		},
	}
	asked := queryToWire(query, 1, 2, 3)
	require.Equal(t, query, queryFromWire(asked, view))

	decided := engineAnswer{
		decision: placement.Decision{Action: placement.PrefillSeparately, Reason: placement.ReasonPrefillSooner, RetryAfter: time.Second, OverloadedStage: serving.StageDecode},
		holder:   &prefixHolder{engine: known, tokens: 5},
		chosen: &selection{
			backEnd: known, fetchFrom: known, timePerToken: time.Microsecond, queuedWork: placement.Work{Prefills: 1, Streams: 2}.Plus(placement.PrefillWork(9, 3)),
			Candidate: placement.Candidate{Index: placement.None, FetchFrom: placement.None, PrefillTokens: 3, EffectiveTokens: 4, PendingTokens: 5, QueueDelay: time.Second, Cost: 0.25},
		},
	}
	decided.decision.Engine = &decided.chosen.Candidate
	none := func(*backEnd) bool { return false }
	read, valid := answerFromWire(answerToWire(asked, decided), view, none, 0)
	require.True(t, valid)
	require.Equal(t, decided, read)

	_, valid = answerFromWire(&v1.PlacementAnswer{Action: v1.PlacementAction_PLACEMENT_ACTION_READ_APART, Engine: 77}, view, none, 0)
	require.False(t, valid, "an engine that is not listed")
	_, valid = answerFromWire(answerToWire(asked, decided), view, func(*backEnd) bool { return true }, 0)
	require.False(t, valid, "an engine that was tried already")
	read, valid = answerFromWire(&v1.PlacementAnswer{Action: 99}, view, none, 0)
	require.True(t, valid)
	require.Equal(t, placement.Unplaced, read.decision.Action)
}

// FuzzDatagram takes any bytes from other relays; nothing of them may stop a relay.
func FuzzDatagram(f *testing.F) {
	whole, err := proto.Marshal(&v1.RelayDatagram{Format: datagram.Format, Content: &v1.RelayDatagram_Request{Request: &v1.PlacementRequest{
		Service: "service", Parts: []uint64{1}, PartTokens: []uint32{5}, Rank: 1 << 31, Tokens: 1 << 31, TargetUs: 1 << 63,
	}}})
	require.NoError(f, err)
	f.Add(whole)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		datagram := &v1.RelayDatagram{}
		if proto.Unmarshal(content, datagram) != nil {
			return
		}
		view := &view{byHash: map[uint64]*backEnd{0: newBackEnd(serving.BackEnd{ID: "one", Stage: serving.StagePrefill}, 1000)}}
		query := queryFromWire(datagram.GetRequest(), view)
		require.GreaterOrEqual(t, query.request.Tokens, 0)
		require.GreaterOrEqual(t, query.request.Target, time.Duration(0))
		answer, _ := answerFromWire(datagram.GetAnswer(), view, func(*backEnd) bool { return false }, 0)
		if answer.chosen != nil {
			require.GreaterOrEqual(t, answer.chosen.QueueDelay, time.Duration(0))
			require.GreaterOrEqual(t, answer.chosen.PrefillTokens, 0)
		}
	})
}

// Few relays own many engines each; many own none.
func TestOwnedEngines(t *testing.T) {
	relay := newTestRelay(t, route(stream(true)), startBackEnd(t, "engine", serving.StageDecode, refusing(503)))
	require.Len(t, relay.owners.ownedEngines(), 1)
	divided := relay.owners.current.Load().services["service"].division.Cells()[0]
	addresses := []string{relay.datagrams.Address, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"}
	relay.setRelays(addresses, nil)
	owners := cell.Owners(divided.ID, addresses, activeOwnersPerCell)
	want := 0
	if owners[0] == relay.datagrams.Address || owners[1] == relay.datagrams.Address {
		want = 1
	}
	require.Len(t, relay.owners.ownedEngines(), want)
}

// A client that leaves before the answer says nothing of the owner, good or bad.
func TestClientThatLeavesDoesNotJudgeTheOwner(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne))
	asking, _ := newPair(t, engine)
	silent := silentRelay(t)
	asking.peers.RecordQuery(asking.clock.now(), silent, false, time.Millisecond)
	gone := make(chan struct{})
	close(gone)
	_, answered := asking.placements.query(silent, 1, &engineQuery{service: "service"}, gone)
	require.False(t, answered)
	now := asking.clock.now()
	require.True(t, asking.peers.Trusted(now, silent), "no other miss counts")
	asking.peers.RecordQuery(now, silent, false, time.Millisecond)
	require.False(t, asking.peers.Trusted(now, silent), "the earlier miss still counts")
}
