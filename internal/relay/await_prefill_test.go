package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// stepLog records the order in which back ends received requests.
type stepLog struct {
	mutex sync.Mutex
	steps []string
}

func (s *stepLog) add(step string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.steps = append(s.steps, step)
}

func (s *stepLog) all() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string(nil), s.steps...)
}

// engineOf returns the relay's record of a back end.
func (r *testRelay) engineOf(id string) *backEnd {
	for _, backEnd := range r.view.Load().byService["service"] {
		if backEnd.ID == id {
			return backEnd
		}
	}
	return nil
}

// sendSharedPrefix sends two prompts with a shared prefix, the second one while the prefill engine processes the first. It
// returns when the work of both counts at that engine.
func (r *testRelay) sendSharedPrefix(t *testing.T, reader *scriptedBackEnd) (first, second *testClient) {
	t.Helper()
	r.prefillWaitSlack = time.Hour // the tests wait for states, not for a timeout
	first, second = r.client(t), r.client(t)
	first.send("POST", "/path/", "x", longPrompt...)
	require.Eventually(t, func() bool { return len(reader.receivedRequests()) == 1 }, time.Minute, time.Millisecond)
	second.send("POST", "/path/", "x", "T-Model: m", "T-Tokens: 9500,50", "T-Parts: aa:6000,cc:3500")
	require.Eventually(t, func() bool { return r.engineOf("reader").currentLoad(0).ownWork.Prefills == 2 }, time.Minute, time.Millisecond)
	return first, second
}

// The KV cache that an engine has prefilled for another engine cannot be used by further requests before it was fetched. A
// prompt that shares its prefix must not arrive earlier, since the engine would prefill the shared blocks again.
func TestPromptWaitsForThePrefillOfItsSharedPrefix(t *testing.T) {
	order, prefillDone := &stepLog{}, make(chan struct{})
	reader := startBackEnd(t, "reader", serving.StagePrefill, func(connection net.Conn, request backEndRequest) bool {
		order.add("read " + string(request.head.Peek("T-Parts")))
		<-prefillDone
		writeAnswer(connection, request, 200, "handle")
		return true
	})
	decoder := startBackEnd(t, "decoder", serving.StageDecode, func(connection net.Conn, request backEndRequest) bool {
		order.add("generate " + string(request.head.Peek("T-Parts")))
		return streaming("decoder", eventOne)(connection, request)
	})
	relay := newTestRelay(t, route(stream(false)), reader, decoder)
	first, second := relay.sendSharedPrefix(t, reader)
	close(prefillDone)
	require.Equal(t, eventOne, first.read().body)
	require.Equal(t, eventOne, second.read().body)
	steps := order.all()
	require.Equal(t, []string{"read aa:6000,bb:3000", "generate aa:6000,bb:3000"}, steps[:2])
	require.Eventually(t, func() bool { return relay.engineOf("reader").currentLoad(0).ownWork == (placement.Work{}) }, time.Minute, time.Millisecond)
}

// A failed prefill wakes the requests that wait for it; their prompts are prefilled again or elsewhere.
func TestFailedPrefillEndsTheWaitsForIt(t *testing.T) {
	fail := make(chan struct{})
	var failed atomic.Bool
	reader := startBackEnd(t, "reader", serving.StagePrefill, func(connection net.Conn, request backEndRequest) bool {
		if failed.CompareAndSwap(false, true) {
			<-fail
			return false
		}
		writeAnswer(connection, request, 200, "handle")
		return true
	})
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	relay := newTestRelay(t, route(stream(false)), reader, decoder)
	_, second := relay.sendSharedPrefix(t, reader)
	close(fail)
	require.Equal(t, eventOne, second.read().body)
}

// A client that disconnects ends the wait of its request.
func TestWaitForAReadingEndsWithItsClient(t *testing.T) {
	prefillDone := make(chan struct{})
	reader := startBackEnd(t, "reader", serving.StagePrefill, func(connection net.Conn, request backEndRequest) bool {
		<-prefillDone
		writeAnswer(connection, request, 200, "handle")
		return true
	})
	t.Cleanup(func() { close(prefillDone) })
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	relay := newTestRelay(t, route(stream(false)), reader, decoder)
	_, second := relay.sendSharedPrefix(t, reader)
	engine := relay.engineOf("reader")
	_ = second.connection.Close()
	require.Eventually(t, func() bool { return engine.currentLoad(0).ownWork.Prefills == 1 }, time.Minute, time.Millisecond)
	require.Len(t, reader.receivedRequests(), 1)
}

// Other relays' notices update which blocks an engine prefills, has cached, or does not prefill after all.
func TestNoticesUpdateCachedAndAbandonedBlocks(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	relay := newTestRelay(t, route(stream(false)), reader)
	engine := relay.engineOf("reader")
	blocks := []placement.PrefixBlock{{Hash: 1, Tokens: 4000}, {Hash: 2, Tokens: 2000}}
	now := relay.clock.now()
	applyNotice := func(change func(*v1.EngineWork)) {
		entry := &v1.EngineWork{Engine: engine.hash}
		change(entry)
		relay.notices.apply(&v1.LoadNotice{Engines: []*v1.EngineWork{entry}})
	}
	applyNotice(func(entry *v1.EngineWork) { entry.Parts, entry.PartTokens = blocksToWire(blocks) })
	require.Equal(t, placement.CachedPrefix{Total: 6000, Pending: 6000}, engine.cache.lookup(blocks, now))

	applyNotice(func(entry *v1.EngineWork) { entry.KeptParts, entry.KeptTokens = blocksToWire(blocks[:1]) })
	applyNotice(func(entry *v1.EngineWork) { entry.DroppedParts = []uint64{1, 2} })
	require.Equal(t, placement.CachedPrefix{Total: 4000, Ready: 4000}, engine.cache.lookup(blocks, now), "cached blocks are not dropped")
}

// A block without further notices counts as cached once the prefill that reserved it must have expired.
func TestUnconfirmedPrefillCountsAsCachedLater(t *testing.T) {
	cache := newPrefixCache(100_000)
	blocks := []placement.PrefixBlock{{Hash: 1, Tokens: 4000}}
	require.Equal(t, blocks, cache.beginPrefill(0, blocks))
	require.Empty(t, cache.beginPrefill(0, blocks), "the prefill has begun already")
	require.Zero(t, cache.lookup(blocks, placement.AssumeReadyAfter).Ready)
	require.Equal(t, 4000, cache.lookup(blocks, placement.AssumeReadyAfter+1).Ready)
}
