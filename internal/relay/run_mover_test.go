package relay

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// movableEngine streams one event and then waits. It answers calls that migrate its run with one of two given answers,
// depending on whether the run must stop. When the run must stop, it breaks the stream off.
type movableEngine struct {
	*scriptedBackEnd
	began   chan struct{}
	stopped chan struct{}
	// silence is how long the engine stands still before it processes the call that stops its run.
	silence time.Duration
}

// moveAnswer is the answer to a call that migrates a run.
type moveAnswer struct {
	status int
	body   string
}

func startMovableEngine(t *testing.T, copying, stopping moveAnswer) *movableEngine {
	engine := &movableEngine{began: make(chan struct{}), stopped: make(chan struct{})}
	engine.scriptedBackEnd = startBackEnd(t, "former", serving.StageDecode, func(connection net.Conn, request backEndRequest) bool {
		switch {
		case request.line != "POST /move":
			head := strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", "former").Replace(streamHead)
			_, _ = io.WriteString(connection, head)
			_, _ = connection.Write(appendChunk(nil, []byte(eventOne)))
			close(engine.began)
			<-engine.stopped
			return false
		case strings.HasSuffix(request.body, "false"):
			writeAnswer(connection, request, copying.status, copying.body)
		default:
			time.Sleep(engine.silence)
			close(engine.stopped)
			writeAnswer(connection, request, stopping.status, stopping.body)
		}
		return true
	})
	return engine
}

// beginRun starts a run at the engine through the relay, and returns its client.
func (e *movableEngine) beginRun(t *testing.T, relay *testRelay) *testClient {
	t.Helper()
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	<-e.began
	require.Eventually(t, func() bool { return relay.engineOf("former").moverCount() == 1 }, time.Minute, time.Millisecond)
	return client
}

// moves returns the bodies of the calls that migrated a run.
func (e *movableEngine) moves() []string {
	var bodies []string
	for _, request := range e.receivedRequests() {
		if request.line == "POST /move" {
			bodies = append(bodies, request.body)
		}
	}
	return bodies
}

// A run whose engine accepts no more work continues at another engine, in one answer and without lost or duplicated events,
// although its route allows only one attempt and no repetition.
func TestRunMigratesFromAnEngineThatAcceptsNoMoreWork(t *testing.T) {
	for name, change := range map[string]func(entry *serving.BackEnd){
		"leaving":                 func(entry *serving.BackEnd) { entry.Leaving = entry.Leaving || entry.ID == "former" },
		"changing its stage":      func(entry *serving.BackEnd) { entry.Changing = entry.Changing || entry.ID == "former" },
		"unchanged, no migration": func(*serving.BackEnd) {},
	} {
		t.Run(name, func(t *testing.T) {
			former := startMovableEngine(t, moveAnswer{200, "handle"}, moveAnswer{200, "handle"})
			next := startBackEnd(t, "next", serving.StageDecode, streaming("next", eventOne, eventTwo+eventThree))
			relay := newTestRelay(t, route(func(r *serving.Route) { stream(false)(r); r.MaxAttempts = 1 }), former.scriptedBackEnd, next).preferring("former")
			client := former.beginRun(t, relay)
			relay.engineOf("next").removeWork(relay.engineOf("next").currentLoad(0).ownWork) // frees its slots
			relay.changeListing(change)
			if name == "unchanged, no migration" {
				close(former.stopped)
				answer := client.read()
				require.False(t, answer.isComplete, "a run that was not migrated is cut off")
				require.Empty(t, former.moves())
				return
			}
			answer := client.read()
			require.True(t, answer.isComplete)
			require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
			require.Equal(t, "former", string(answer.head.Peek("T-Seal")))
			require.Equal(t, []string{"id-1 " + next.entry.Address + " false", "id-1 " + next.entry.Address + " true"}, former.moves())
			resumed := next.receivedRequests()[0].head
			require.Equal(t, former.entry.Address+"/handle", string(resumed.Peek("T-Source")))
			require.Equal(t, "1", string(resumed.Peek("T-Last")))
			require.Contains(t, relay.scrape(t), `hazelpitch_relay_runs_moved_total{copied="true",`+metricLabels+`} 1`)
		})
	}
}

// Guards against a run that is lost because its engine was silent for more than a second during the call that stops and
// copies it: the engine processed the call, but the relay had discarded the connection for the answer, which says where the
// run continues.
func TestMigrationOutlastsASilentEngine(t *testing.T) {
	former := startMovableEngine(t, moveAnswer{200, "handle"}, moveAnswer{200, "handle"})
	former.silence = 1500 * time.Millisecond
	next := startBackEnd(t, "next", serving.StageDecode, streaming("next", eventOne, eventTwo+eventThree))
	relay := newTestRelay(t, route(func(r *serving.Route) { stream(false)(r); r.MaxAttempts = 1 }), former.scriptedBackEnd, next).preferring("former")
	client := former.beginRun(t, relay)
	relay.engineOf("next").removeWork(relay.engineOf("next").currentLoad(0).ownWork) // frees its slots
	relay.changeListing(func(entry *serving.BackEnd) { entry.Leaving = entry.Leaving || entry.ID == "former" })
	answer := client.read()
	require.True(t, answer.isComplete)
	require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
}

// A run that was stopped but could not be copied continues at the engine that has its KV cache.
func TestStoppedRunContinuesAtTheEngineWithItsCache(t *testing.T) {
	former := startMovableEngine(t, moveAnswer{200, "copy"}, moveAnswer{503, "kept"})
	next := startBackEnd(t, "next", serving.StageDecode, streaming("next", eventTwo))
	relay := newTestRelay(t, route(func(r *serving.Route) { stream(false)(r); r.MaxAttempts = 1 }), former.scriptedBackEnd, next).preferring("former")
	client := former.beginRun(t, relay)
	mover := relay.engineOf("former").anyMover()
	target := &backEndSelection{backEnd: relay.engineOf("next")}
	require.Equal(t, relay.engineOf("former"), mover.destination(target, false, "kept").target.backEnd)
	require.Equal(t, relay.engineOf("next"), mover.destination(target, true, "copy").target.backEnd)
	require.Nil(t, mover.destination(target, false, ""), "the place of its KV cache is unknown")
	close(former.stopped)
	require.False(t, client.read().isComplete)
}

// A run stays at its engine when the engine cannot copy it, or when no other engine has a free slot.
func TestRunThatCannotBeCopiedStaysAtItsEngine(t *testing.T) {
	for name, row := range map[string]struct {
		copying moveAnswer
		full    bool
		moves   int
	}{
		"no slot or no network path": {copying: moveAnswer{503, ""}, moves: 1},
		"no such run":                {copying: moveAnswer{404, ""}, moves: 1},
		"no slot elsewhere":          {copying: moveAnswer{200, "handle"}, full: true},
	} {
		t.Run(name, func(t *testing.T) {
			former := startMovableEngine(t, row.copying, moveAnswer{200, "handle"})
			next := startBackEnd(t, "next", serving.StageDecode, streaming("next", eventTwo))
			relay := newTestRelay(t, route(stream(false)), former.scriptedBackEnd, next).preferring("former")
			client := former.beginRun(t, relay)
			engine := relay.engineOf("former")
			if !row.full {
				relay.engineOf("next").removeWork(relay.engineOf("next").currentLoad(0).ownWork)
			}
			engine.anyMover().migrate()
			require.Len(t, former.moves(), row.moves)
			require.Empty(t, next.receivedRequests())
			close(former.stopped)
			client.read()
		})
	}
}

// moverCount returns the number of runs that may be migrated.
func (b *backEnd) moverCount() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.movers)
}

// anyMover returns one of the runs that may be migrated; nil when there is none.
func (b *backEnd) anyMover() *runMover {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for mover := range b.movers {
		return mover
	}
	return nil
}

// The KV cache that was copied for a run is released when the client disconnects during the migration.
func TestMovedRunOfAClientThatLeftIsGivenUp(t *testing.T) {
	former := startMovableEngine(t, moveAnswer{200, "handle"}, moveAnswer{200, "handle"})
	next := startBackEnd(t, "next", serving.StageDecode, streaming("next", eventTwo))
	relay := newTestRelay(t, route(stream(false)), former.scriptedBackEnd, next)
	request := &request{id: "id-1", route: &relay.view.Load().table.Configuration.Routes[0], service: relay.view.Load().table.Service("service"), deadline: time.Hour}
	stream := &streamReply{relay: relay.Relay, request: request, attempts: &attemptTracker{relay: relay.Relay, request: request}}
	stream.mover = newRunMover(stream, relay.engineOf("former"))
	require.True(t, stream.mover.beginStop())
	stream.mover.outcome <- stream.mover.destination(&backEndSelection{backEnd: relay.engineOf("next")}, true, "handle")
	stream.releaseMigrated()
	require.Eventually(t, func() bool {
		seen := former.receivedRequests()
		return len(seen) == 1 && seen[0].line == "DELETE /handle/handle"
	}, time.Minute, time.Millisecond)
	require.Zero(t, relay.engineOf("former").moverCount())
}

// A run that was migrated to an unreachable engine has run already: it must not be started again at another engine unless
// its route allows repetition.
func TestMovedRunThatFindsNoEngineIsNotRunAgain(t *testing.T) {
	for name, row := range map[string]struct {
		resumable bool
		again     int
	}{"must not be repeated": {}, "may be repeated": {resumable: true, again: 1}} {
		t.Run(name, func(t *testing.T) {
			former := startMovableEngine(t, moveAnswer{200, "handle"}, moveAnswer{200, "handle"})
			gone := startBackEnd(t, "gone", serving.StageDecode, refusing(503))
			gone.entry.Address = "127.0.0.1:1"
			other := startBackEnd(t, "other", serving.StageDecode, streaming("other", eventTwo+eventThree))
			relay := newTestRelay(t, route(func(r *serving.Route) { stream(row.resumable)(r); r.MaxAttempts = 2 }), former.scriptedBackEnd, gone, other).preferring("former")
			client := former.beginRun(t, relay)
			relay.engineOf("gone").removeWork(relay.engineOf("gone").currentLoad(0).ownWork) // frees its slots; the other engine has none
			relay.changeListing(func(entry *serving.BackEnd) { entry.Leaving = entry.Leaving || entry.ID == "former" })
			answer := client.read()
			require.Equal(t, row.resumable, answer.isComplete)
			require.Len(t, other.receivedRequests(), row.again)
		})
	}
}
