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

// steps collects the order in which back ends got requests.
type steps struct {
	mutex sync.Mutex
	taken []string
}

func (s *steps) add(step string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.taken = append(s.taken, step)
}

func (s *steps) all() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string(nil), s.taken...)
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

// sendSharing sends two prompts that share their beginning, the second one while the reader
// reads the first; it returns when the work of both counts there.
func (r *testRelay) sendSharing(t *testing.T, reader *scriptedBackEnd) (first, second *testClient) {
	t.Helper()
	r.prefillWaitSlack = time.Hour // tests wait for states, not for time
	first, second = r.client(t), r.client(t)
	first.send("POST", "/path/", "x", longPrompt...)
	require.Eventually(t, func() bool { return len(reader.seen()) == 1 }, time.Minute, time.Millisecond)
	second.send("POST", "/path/", "x", "T-Model: m", "T-Tokens: 9500,50", "T-Parts: aa:6000,cc:3500")
	require.Eventually(t, func() bool { return r.engineOf("reader").currentLoad(0).ownWork.Prefills == 2 }, time.Minute, time.Millisecond)
	return first, second
}

// Memory that an engine has read for another one cannot be used by further requests before
// it was taken. A prompt that shares its beginning must not arrive there earlier, since the
// engine would read the shared part again.
func TestPromptWaitsForTheReadingOfItsSharedPart(t *testing.T) {
	order, readingDone := &steps{}, make(chan struct{})
	reader := startBackEnd(t, "reader", serving.StagePrefill, func(connection net.Conn, request received) bool {
		order.add("read " + string(request.head.Peek("T-Parts")))
		<-readingDone
		reply(connection, request, 200, "handle")
		return true
	})
	decoder := startBackEnd(t, "decoder", serving.StageDecode, func(connection net.Conn, request received) bool {
		order.add("generate " + string(request.head.Peek("T-Parts")))
		return streaming("decoder", eventOne)(connection, request)
	})
	relay := newTestRelay(t, route(stream(false)), reader, decoder)
	first, second := relay.sendSharing(t, reader)
	close(readingDone)
	require.Equal(t, eventOne, first.read().body)
	require.Equal(t, eventOne, second.read().body)
	taken := order.all()
	require.Equal(t, []string{"read aa:6000,bb:3000", "generate aa:6000,bb:3000"}, taken[:2])
	require.Eventually(t, func() bool { return relay.engineOf("reader").currentLoad(0).ownWork == (placement.Work{}) }, time.Minute, time.Millisecond)
}

// A reading that fails wakes those that wait for it: they have their prompt read elsewhere or
// anew.
func TestPromptDoesNotWaitForAReadingThatFailed(t *testing.T) {
	fail := make(chan struct{})
	var failed atomic.Bool
	reader := startBackEnd(t, "reader", serving.StagePrefill, func(connection net.Conn, request received) bool {
		if failed.CompareAndSwap(false, true) {
			<-fail
			return false
		}
		reply(connection, request, 200, "handle")
		return true
	})
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	relay := newTestRelay(t, route(stream(false)), reader, decoder)
	_, second := relay.sendSharing(t, reader)
	close(fail)
	require.Equal(t, eventOne, second.read().body)
}

// A client that leaves ends the wait of its request.
func TestWaitForAReadingEndsWithItsClient(t *testing.T) {
	readingDone := make(chan struct{})
	reader := startBackEnd(t, "reader", serving.StagePrefill, func(connection net.Conn, request received) bool {
		<-readingDone
		reply(connection, request, 200, "handle")
		return true
	})
	t.Cleanup(func() { close(readingDone) })
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	relay := newTestRelay(t, route(stream(false)), reader, decoder)
	_, second := relay.sendSharing(t, reader)
	engine := relay.engineOf("reader")
	_ = second.connection.Close()
	require.Eventually(t, func() bool { return engine.currentLoad(0).ownWork.Prefills == 1 }, time.Minute, time.Millisecond)
	require.Len(t, reader.seen(), 1)
}

// Other relays learn what an engine reads, keeps and does not read after all.
func TestNoticesTellOfKeptAndDroppedParts(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	relay := newTestRelay(t, route(stream(false)), reader)
	engine := relay.engineOf("reader")
	parts := []placement.PrefixBlock{{Hash: 1, Tokens: 4000}, {Hash: 2, Tokens: 2000}}
	now := relay.clock.now()
	tell := func(change func(*v1.EngineWork)) {
		told := &v1.EngineWork{Engine: engine.hash}
		change(told)
		relay.notices.apply(&v1.LoadNotice{Engines: []*v1.EngineWork{told}})
	}
	tell(func(told *v1.EngineWork) { told.Parts, told.PartTokens = blocksToWire(parts) })
	require.Equal(t, placement.CachedPrefix{Total: 6000, Pending: 6000}, engine.cache.lookup(parts, now))

	tell(func(told *v1.EngineWork) { told.KeptParts, told.KeptTokens = blocksToWire(parts[:1]) })
	tell(func(told *v1.EngineWork) { told.DroppedParts = []uint64{1, 2} })
	require.Equal(t, placement.CachedPrefix{Total: 4000, Ready: 4000}, engine.cache.lookup(parts, now), "what is kept is not dropped")
}

// A part of which nothing more is heard counts as kept once its memory must have lapsed.
func TestSilentReadingCountsAsKeptLater(t *testing.T) {
	cache := newPrefixCache(100_000)
	parts := []placement.PrefixBlock{{Hash: 1, Tokens: 4000}}
	require.Equal(t, parts, cache.beginPrefill(0, parts))
	require.Empty(t, cache.beginPrefill(0, parts), "it is being read already")
	require.Zero(t, cache.lookup(parts, placement.AssumeReadyAfter).Ready)
	require.Equal(t, 4000, cache.lookup(parts, placement.AssumeReadyAfter+1).Ready)
}
