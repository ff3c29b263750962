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

// shortPrompt declares a prompt that a decoding engine prefills itself.
var shortPrompt = []string{"T-Model: m", "T-Tokens: 300,50", "T-Parts: aa:100,bb:200"}

// ownedBy makes the given relays, in this order, the owners of all engines that this relay knows.
func (r *testRelay) ownedBy(owners ...string) {
	r.owners.mutex.Lock()
	defer r.owners.mutex.Unlock()
	for _, entry := range r.owners.current.Load().services["service"].division.Cells() {
		r.owners.ownersByCell[entry.ID] = owners
	}
	r.owners.rebuild()
}

// startNotices starts the sending of the relay's notices.
func (r *testRelay) startNotices(t *testing.T) {
	t.Helper()
	go r.notices.run(t.Context())
}

// startSilentRelay returns the address of a relay that answers no datagram.
func startSilentRelay(t *testing.T) string {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket.LocalAddr().String()
}

// newPair returns a relay and the owner of its engines; both know the same back ends.
func newPair(t *testing.T, backEnds ...*scriptedBackEnd) (querying, owner *testRelay) {
	t.Helper()
	querying = newTestRelay(t, route(stream(true)), backEnds...)
	owner = newTestRelay(t, route(stream(true)), backEnds...)
	querying.ownedBy(owner.datagrams.Address)
	return querying, owner
}

// reservedWork returns the work that the relay, as owner, has reserved at an engine.
func (r *testRelay) reservedWork(engine string) placement.Work {
	r.placementOwner.mutex.Lock()
	defer r.placementOwner.mutex.Unlock()
	return r.placementOwner.reservations.ReservedWork(r.engineOf(engine).hash)
}

// queryOwner sends the owner another relay's query about its only cell; the channel receives the answers.
func (r *testRelay) queryOwner(query *engineQuery, number uint64) <-chan *v1.PlacementAnswer {
	answers := make(chan *v1.PlacementAnswer, maxAnswersRead)
	id := r.owners.current.Load().services["service"].division.Cells()[0].ID
	go r.placementOwner.handleQuery(queryToWire(query, otherRelay, number, id), func(answer *v1.PlacementAnswer) { answers <- answer })
	return answers
}

// maxAnswersRead is the capacity for the answers to one query.
const maxAnswersRead = 4

// otherRelay is the incarnation of another relay that sends queries.
const otherRelay = 77

// beginQuery returns the query that asks where to prefill a prompt.
func beginQuery(prompt serving.Prompt) *engineQuery {
	return &engineQuery{purpose: purposeBegin, service: "service", request: placement.Request{
		Stage: serving.StageDecode, Prompt: placement.PrefixBlocksOf(prompt), Tokens: prompt.PromptTokens, Target: time.Second, TimeLeft: time.Hour,
	}}
}

// The owner takes into account work that it has assigned, from the assignment until the querying relay reports the work in
// a notice.
func TestOwnerReservesAssignedWork(t *testing.T) {
	busy := startBackEnd(t, "busy", serving.StageDecode, streaming("busy", eventOne))
	idle := startBackEnd(t, "idle", serving.StageDecode, streaming("idle", eventOne))
	owner := newTestRelay(t, route(stream(true)), busy, idle)
	owner.engineOf("busy").addWork(placement.Work{Streams: 8}.Plus(placement.PrefillWork(100_000, 0)))
	answer := <-owner.queryOwner(beginQuery(serving.ParsePrompt("m", "300,50", "aa:100,bb:200")), 5)
	require.Equal(t, owner.engineOf("idle").hash, answer.GetEngine())
	require.Equal(t, 1, owner.reservedWork("idle").Streams)
	owner.notices.handle(&v1.LoadNotice{Relay: otherRelay, Sequence: 1, Engines: []*v1.EngineWork{{Engine: answer.GetEngine(), Streams: 1, Assigned: []uint64{5}}}})
	require.Zero(t, owner.reservedWork("idle"))
}

// A relay uses its owner's answer, and reports the resulting work to the owner.
func TestRelayUsesItsOwnersAnswerAndReportsTheWork(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne))
	querying, owner := newPair(t, engine)
	querying.startNotices(t)
	answered := func() float64 {
		return testutil.ToFloat64(querying.metrics.placementQueries.WithLabelValues(queryAnswered))
	}
	for answered() == 0 { // an answer that arrives too late is not used
		require.Equal(t, eventOne, querying.client(t).do("POST", "/path/", "x", shortPrompt...).body)
	}
	require.Eventually(t, func() bool { return owner.reservedWork("engine") == placement.Work{} }, time.Minute, time.Millisecond)
	require.Eventually(t, func() bool { return owner.notices.table.lastReceivedAt() > 0 }, time.Minute, time.Millisecond)
}

// An owner that does not answer delays a request only a little: the deputy decides, or without a deputy the relay itself.
func TestRequestsAreServedWithoutTheirOwner(t *testing.T) {
	for name, owners := range map[string]func(t *testing.T, deputy *testRelay) []string{
		"the deputy decides": func(t *testing.T, deputy *testRelay) []string {
			return []string{startSilentRelay(t), deputy.datagrams.Address}
		},
		"no owner answers":        func(t *testing.T, _ *testRelay) []string { return []string{startSilentRelay(t), startSilentRelay(t)} },
		"no owner exists":         func(*testing.T, *testRelay) []string { return nil },
		"an address is malformed": func(*testing.T, *testRelay) []string { return []string{"nowhere"} },
	} {
		t.Run(name, func(t *testing.T) {
			engine := startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne))
			querying, deputy := newPair(t, engine)
			querying.ownedBy(owners(t, deputy)...)
			for range 3 {
				require.Equal(t, eventOne, querying.client(t).do("POST", "/path/", "x", shortPrompt...).body)
			}
		})
	}
}

// An owner that does not answer is not queried for a while and receives no notices; the deputy receives them.
func TestUnresponsiveOwnerIsReplaced(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne))
	querying, deputy := newPair(t, engine)
	silent := startSilentRelay(t)
	querying.ownedBy(silent, deputy.datagrams.Address, "127.0.0.1:1")
	now := querying.clock.now()
	require.Equal(t, []string{silent, deputy.datagrams.Address}, querying.placements.otherOwners(now, querying.engineOf("engine")))
	querying.peers.RecordQuery(querying.clock.now(), silent, false, time.Millisecond)
	querying.peers.RecordQuery(querying.clock.now(), silent, false, time.Millisecond)
	require.Equal(t, []string{deputy.datagrams.Address, "127.0.0.1:1"}, querying.placements.otherOwners(querying.clock.now(), querying.engineOf("engine")))
}

// An owner with an outdated list may answer with an engine that is leaving according to the relay's newer list. The relay
// does not use that answer.
func TestAnswerOfAnOutdatedOwnerIsNotUsed(t *testing.T) {
	leaving := startBackEnd(t, "leaving", serving.StageDecode, streaming("leaving", eventOne))
	staying := startBackEnd(t, "staying", serving.StageDecode, streaming("staying", eventOne))
	querying, owner := newPair(t, leaving, staying)
	owner.engineOf("staying").addWork(placement.Work{Streams: 8}.Plus(placement.PrefillWork(100_000, 0)))
	querying.markLeaving("leaving")
	querying.ownedBy(owner.datagrams.Address)
	require.Equal(t, eventOne, querying.client(t).do("POST", "/path/", "x", shortPrompt...).body)
	require.Empty(t, leaving.receivedRequests())
	require.Len(t, staying.receivedRequests(), 1)
	require.Eventually(t, func() bool { return owner.reservedWork("leaving") == placement.Work{} }, time.Minute, time.Millisecond, "the owner receives the cancellation")
}

// A query about an unknown cell or service is answered at once. It is not answered when the querying relay is of the first
// format and would refuse its request because of the answer; such a relay then queries another owner.
func TestOwnerOfOtherCells(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne))
	_, owner := newPair(t, engine)
	for name, query := range map[string]*v1.PlacementRequest{
		"another cell":    {Service: "service", Cell: 1, Relay: 1, Number: 3, Formats: formats.Supported().ToWire()},
		"another service": {Service: "other", Relay: 1, Number: 3, Formats: formats.Supported().ToWire()},
	} {
		former := proto.CloneOf(query)
		former.Formats = nil
		owner.placementOwner.handleQuery(former, func(*v1.PlacementAnswer) { t.Error("a relay of the first format was answered") })
		t.Run(name, func(t *testing.T) {
			var answers []*v1.PlacementAnswer
			owner.placementOwner.handleQuery(query, func(answer *v1.PlacementAnswer) { answers = append(answers, answer) })
			require.Len(t, answers, 1)
			require.Equal(t, v1.PlacementAction_PLACEMENT_ACTION_UNPLACED, answers[0].GetAction())
			require.Equal(t, uint64(3), answers[0].GetNumber())
		})
	}
}

// A prompt with a shared prefix waits at the owner while an engine prefills that prefix for another request, and is answered
// when the prefix is cached.
func TestOwnerLetsPromptsWaitForSharedPrefixBlocks(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, refusing(503))
	owner := newTestRelay(t, route(stream(true)), reader, startBackEnd(t, "decoder", serving.StageDecode, refusing(503)))
	owner.prefillWaitSlack = time.Hour
	blocks := placement.PrefixBlocksOf(serving.ParsePrompt("m", "9000,50", "aa:6000,bb:3000"))
	owner.engineOf("reader").cache.beginPrefill(owner.clock.now(), blocks)
	answers := owner.queryOwner(beginQuery(serving.ParsePrompt("m", "9500,50", "aa:6000,cc:3500")), 1)
	require.Equal(t, v1.PlacementAction_PLACEMENT_ACTION_WAIT, (<-answers).GetAction())
	require.Eventually(t, func() bool { return owner.engineOf("reader").currentLoad(0).ownWork.Prefills == 1 }, time.Minute, time.Millisecond)
	owner.engineOf("reader").cache.markCached(owner.clock.now(), blocks)
	answer := <-answers
	require.Equal(t, v1.PlacementAction_PLACEMENT_ACTION_READ_APART, answer.GetAction())
	require.Equal(t, owner.engineOf("reader").hash, answer.GetEngine())
	require.Equal(t, uint32(3500), answer.GetToRead())
	require.Equal(t, placement.Work{}, owner.engineOf("reader").currentLoad(0).ownWork)
}

// The wait at the owner ends when the querying relay cancels its query, and no answer follows.
func TestWaitAtTheOwnerEndsWhenItIsCancelled(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, refusing(503))
	owner := newTestRelay(t, route(stream(true)), reader, startBackEnd(t, "decoder", serving.StageDecode, refusing(503)))
	owner.prefillWaitSlack = time.Hour
	owner.engineOf("reader").cache.beginPrefill(owner.clock.now(), placement.PrefixBlocksOf(serving.ParsePrompt("m", "9000,50", "aa:6000,bb:3000")))
	answers := owner.queryOwner(beginQuery(serving.ParsePrompt("m", "9500,50", "aa:6000,cc:3500")), 1)
	require.Equal(t, v1.PlacementAction_PLACEMENT_ACTION_WAIT, (<-answers).GetAction())
	require.Eventually(t, func() bool { return owner.engineOf("reader").currentLoad(0).ownWork.Prefills == 1 }, time.Minute, time.Millisecond)
	owner.handleDatagram(&v1.RelayDatagram{Content: &v1.RelayDatagram_Cancel{Cancel: &v1.PlacementCancel{Relay: otherRelay, Number: 1}}}, "")
	require.Eventually(t, func() bool { return owner.engineOf("reader").currentLoad(0).ownWork == placement.Work{} }, time.Minute, time.Millisecond)
	require.Empty(t, answers)
	require.Equal(t, placement.Work{}, owner.reservedWork("reader"))
}

// The prefix blocks of an assignment are removed when its relay cancels it.
func TestCancelledAssignmentIsRemoved(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	_, owner := newPair(t, reader, startBackEnd(t, "decoder", serving.StageDecode, refusing(503)))
	blocks := []placement.PrefixBlock{{Hash: 1, Tokens: 4000}, {Hash: 2, Tokens: 3000}}
	query := &engineQuery{purpose: purposePrefill, service: "service", request: placement.Request{Prompt: blocks, Tokens: 7000, Target: time.Second}}
	queryID := placement.QueryID{Relay: 1, Number: 1}
	answer := owner.placementOwner.decide(query, owner.view.Load().byService["service"], &queryID)
	require.Equal(t, 7000, answer.selection.backEnd.cache.lookup(blocks, 0).Total)
	owner.handleDatagram(&v1.RelayDatagram{Content: &v1.RelayDatagram_Cancel{Cancel: &v1.PlacementCancel{Relay: 1, Number: 1}}}, "")
	require.Zero(t, answer.selection.backEnd.cache.lookup(blocks, 0).Total)
	require.Zero(t, owner.reservedWork(answer.selection.backEnd.ID))
}

// Datagrams that are malformed, of another format, or answer no query are counted and dropped.
func TestInvalidDatagramsAreDropped(t *testing.T) {
	relay := newTestRelay(t, route(stream(true)), startBackEnd(t, "engine", serving.StageDecode, refusing(503)))
	other, err := proto.Marshal(&v1.RelayDatagram{Format: datagram.Format + 1})
	require.NoError(t, err)
	require.Nil(t, relay.datagrams.Parse([]byte("no datagram")))
	require.Nil(t, relay.datagrams.Parse(other))
	relay.handleDatagram(&v1.RelayDatagram{}, "")
	relay.placements.deliver(&v1.PlacementAnswer{Number: 99})
	number, answers := relay.placements.queries.Open()
	relay.placements.deliver(&v1.PlacementAnswer{Number: number, Relay: relay.placements.incarnation + 1})
	require.Empty(t, answers, "an answer to an earlier incarnation of this relay")
	for reason, count := range map[datagram.DropReason]float64{datagram.Malformed: 1, datagram.UnsupportedFormat: 1, datagram.Unexpected: 3} {
		require.Equal(t, count, testutil.ToFloat64(relay.metrics.datagramsDropped.WithLabelValues(string(reason))), reason)
	}
}

// Queries and answers survive encoding and decoding unchanged, and values out of bounds are limited.
func TestPlacementMessagesRoundTrip(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, refusing(503))
	relay := newTestRelay(t, route(stream(true)), engine)
	view := relay.view.Load()
	record := relay.engineOf("engine")
	query := &engineQuery{
		purpose: purposeTakeOver, service: "service", excluded: []uint64{4}, holder: &prefixHolder{engine: record, tokens: 12},
		request: placement.Request{
			Stage: serving.StageDecode, Zone: "zone", Rank: placement.Rank{First: 6, Steps: 2}, Target: time.Second, Gap: time.Millisecond, Stride: 7, Tokens: 70,
			Prompt: []placement.PrefixBlock{{Hash: 1, Tokens: 60}, {Hash: 2, Tokens: 10}}, TokenTransferTime: 33, SlotHoldTime: time.Minute,
			TimeLeft: 4 * time.Second, MayHaveRun: true,
		},
	}
	wireQuery := queryToWire(query, 1, 2, 3)
	require.Equal(t, query, queryFromWire(wireQuery, view))

	result := engineAnswer{
		decision: placement.Decision{Action: placement.PrefillSeparately, Reason: placement.ReasonPrefillSooner, RetryAfter: time.Second, OverloadedStage: serving.StageDecode},
		holder:   &prefixHolder{engine: record, tokens: 5},
		selection: &backEndSelection{
			backEnd: record, fetchFrom: record, timePerToken: time.Microsecond, queuedWork: placement.Work{Prefills: 1, Streams: 2}.Plus(placement.PrefillWork(9, 3)),
			Candidate: placement.Candidate{Index: placement.None, FetchFrom: placement.None, PrefillTokens: 3, EffectiveTokens: 4, PendingTokens: 5, QueueDelay: time.Second, Cost: 0.25},
		},
	}
	result.decision.Engine = &result.selection.Candidate
	none := func(*backEnd) bool { return false }
	decoded, valid := answerFromWire(answerToWire(wireQuery, result), view, none, 0)
	require.True(t, valid)
	require.Equal(t, result, decoded)

	_, valid = answerFromWire(&v1.PlacementAnswer{Action: v1.PlacementAction_PLACEMENT_ACTION_READ_APART, Engine: 77}, view, none, 0)
	require.False(t, valid, "an engine that is not listed")
	_, valid = answerFromWire(answerToWire(wireQuery, result), view, func(*backEnd) bool { return true }, 0)
	require.False(t, valid, "an engine that was tried already")
	decoded, valid = answerFromWire(&v1.PlacementAnswer{Action: 99}, view, none, 0)
	require.True(t, valid)
	require.Equal(t, placement.Unplaced, decoded.decision.Action)
}

// FuzzDatagram feeds arbitrary datagrams of other relays to the decoder; none may crash a relay.
func FuzzDatagram(f *testing.F) {
	seed, err := proto.Marshal(&v1.RelayDatagram{Format: datagram.Format, Content: &v1.RelayDatagram_Request{Request: &v1.PlacementRequest{
		Service: "service", Parts: []uint64{1}, PartTokens: []uint32{5}, Rank: 1 << 31, Tokens: 1 << 31, TargetUs: 1 << 63,
	}}})
	require.NoError(f, err)
	f.Add(seed)
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
		if answer.selection != nil {
			require.GreaterOrEqual(t, answer.selection.QueueDelay, time.Duration(0))
			require.GreaterOrEqual(t, answer.selection.PrefillTokens, 0)
		}
	})
}

// A single relay owns every engine; among many relays, one owns engines only if it is ranked first or second for the cell.
func TestOwnedEngines(t *testing.T) {
	relay := newTestRelay(t, route(stream(true)), startBackEnd(t, "engine", serving.StageDecode, refusing(503)))
	require.Len(t, relay.owners.ownedEngines(), 1)
	entry := relay.owners.current.Load().services["service"].division.Cells()[0]
	addresses := []string{relay.datagrams.Address, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"}
	relay.setRelays(addresses, nil)
	owners := cell.Owners(entry.ID, addresses, activeOwnersPerCell)
	want := 0
	if owners[0] == relay.datagrams.Address || owners[1] == relay.datagrams.Address {
		want = 1
	}
	require.Len(t, relay.owners.ownedEngines(), want)
}

// A client that disconnects before the answer arrives does not affect the owner's health, neither for good nor for bad.
func TestDisconnectedClientDoesNotAffectTheOwnersHealth(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne))
	querying, _ := newPair(t, engine)
	silent := startSilentRelay(t)
	querying.peers.RecordQuery(querying.clock.now(), silent, false, time.Millisecond)
	gone := make(chan struct{})
	close(gone)
	_, answered := querying.placements.query(silent, 1, &engineQuery{service: "service"}, gone)
	require.False(t, answered)
	now := querying.clock.now()
	require.True(t, querying.peers.Trusted(now, silent), "no other miss counts")
	querying.peers.RecordQuery(now, silent, false, time.Millisecond)
	require.False(t, querying.peers.Trusted(now, silent), "the earlier miss still counts")
}
