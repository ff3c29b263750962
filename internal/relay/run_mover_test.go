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

// movableEngine streams one event and then waits; calls to move its run get the answers given, by
// whether the run is to stop. Asked to stop, it breaks the stream off.
type movableEngine struct {
	*scriptedBackEnd
	began   chan struct{}
	stopped chan struct{}
}

// moveAnswer is the answer to a call that moves a run.
type moveAnswer struct {
	status int
	body   string
}

func startMovableEngine(t *testing.T, copying, stopping moveAnswer) *movableEngine {
	engine := &movableEngine{began: make(chan struct{}), stopped: make(chan struct{})}
	engine.scriptedBackEnd = startBackEnd(t, "former", serving.StageDecode, func(connection net.Conn, request received) bool {
		switch {
		case request.line != "POST /move":
			head := strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", "former").Replace(streamHead)
			_, _ = io.WriteString(connection, head)
			_, _ = connection.Write(appendChunk(nil, []byte(eventOne)))
			close(engine.began)
			<-engine.stopped
			return false
		case strings.HasSuffix(request.body, "false"):
			reply(connection, request, copying.status, copying.body)
		default:
			close(engine.stopped)
			reply(connection, request, stopping.status, stopping.body)
		}
		return true
	})
	return engine
}

// beginRun has the relay begin a run at the engine, and returns its client.
func (e *movableEngine) beginRun(t *testing.T, relay *testRelay) *testClient {
	t.Helper()
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	<-e.began
	require.Eventually(t, func() bool { return relay.engineOf("former").movable() == 1 }, time.Minute, time.Millisecond)
	return client
}

// moves are the calls that moved a run.
func (e *movableEngine) moves() []string {
	var bodies []string
	for _, request := range e.seen() {
		if request.line == "POST /move" {
			bodies = append(bodies, request.body)
		}
	}
	return bodies
}

// A run whose engine takes no more work goes on at another one, in one answer and without a piece
// lost or doubled, though its route allows one attempt and may not be repeated.
func TestRunMovesFromAnEngineThatTakesNoMoreWork(t *testing.T) {
	for name, change := range map[string]func(entry *serving.BackEnd){
		"leaving":             func(entry *serving.BackEnd) { entry.Leaving = entry.Leaving || entry.ID == "former" },
		"changing its stage":  func(entry *serving.BackEnd) { entry.Changing = entry.Changing || entry.ID == "former" },
		"leaving and no move": func(*serving.BackEnd) {},
	} {
		t.Run(name, func(t *testing.T) {
			former := startMovableEngine(t, moveAnswer{200, "handle"}, moveAnswer{200, "handle"})
			next := startBackEnd(t, "next", serving.StageDecode, streaming("next", eventOne, eventTwo+eventThree))
			relay := newTestRelay(t, route(func(r *serving.Route) { stream(false)(r); r.MaxAttempts = 1 }), former.scriptedBackEnd, next).preferring("former")
			client := former.beginRun(t, relay)
			relay.engineOf("next").removeWork(relay.engineOf("next").currentLoad(0).ownWork) // it has slots now
			relay.relist(change)
			if name == "leaving and no move" {
				close(former.stopped)
				answer := client.read()
				require.False(t, answer.whole, "a run that was not moved is cut")
				require.Empty(t, former.moves())
				return
			}
			answer := client.read()
			require.True(t, answer.whole)
			require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
			require.Equal(t, "former", string(answer.head.Peek("T-Seal")))
			require.Equal(t, []string{"id-1 " + next.entry.Address + " false", "id-1 " + next.entry.Address + " true"}, former.moves())
			resumed := next.seen()[0].head
			require.Equal(t, former.entry.Address+"/handle", string(resumed.Peek("T-Source")))
			require.Equal(t, "1", string(resumed.Peek("T-Last")))
			require.Contains(t, relay.scrape(t), `hazelpitch_relay_runs_moved_total{copied="true",`+metricLabels+`} 1`)
		})
	}
}

// A run that stopped and could not be copied goes on where its memory is.
func TestStoppedRunGoesOnWhereItsMemoryIs(t *testing.T) {
	former := startMovableEngine(t, moveAnswer{200, "copy"}, moveAnswer{503, "kept"})
	next := startBackEnd(t, "next", serving.StageDecode, streaming("next", eventTwo))
	relay := newTestRelay(t, route(func(r *serving.Route) { stream(false)(r); r.MaxAttempts = 1 }), former.scriptedBackEnd, next).preferring("former")
	client := former.beginRun(t, relay)
	mover := relay.engineOf("former").anyMover()
	target := &selection{backEnd: relay.engineOf("next")}
	require.Equal(t, relay.engineOf("former"), mover.destination(target, false, "kept").target.backEnd)
	require.Equal(t, relay.engineOf("next"), mover.destination(target, true, "copy").target.backEnd)
	require.Nil(t, mover.destination(target, false, ""), "nothing is known of its memory")
	close(former.stopped)
	require.False(t, client.read().whole)
}

// A run stays where it is when its engine cannot copy it, or no engine has a slot for it.
func TestRunThatCannotBeCopiedStays(t *testing.T) {
	for name, row := range map[string]struct {
		copying moveAnswer
		full    bool
		moves   int
	}{
		"no room or no way": {copying: moveAnswer{503, ""}, moves: 1},
		"no such run":       {copying: moveAnswer{404, ""}, moves: 1},
		"no slot elsewhere": {copying: moveAnswer{200, "handle"}, full: true},
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
			require.Empty(t, next.seen())
			close(former.stopped)
			client.read()
		})
	}
}

// movable counts the runs that may be moved.
func (b *backEnd) movable() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.movers)
}

// anyMover returns one of the runs that may be moved; nil when there is none.
func (b *backEnd) anyMover() *runMover {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for mover := range b.movers {
		return mover
	}
	return nil
}

// Memory that was set aside for a run whose client leaves meanwhile is given up.
func TestMovedRunOfAClientThatLeftIsGivenUp(t *testing.T) {
	former := startMovableEngine(t, moveAnswer{200, "handle"}, moveAnswer{200, "handle"})
	next := startBackEnd(t, "next", serving.StageDecode, streaming("next", eventTwo))
	relay := newTestRelay(t, route(stream(false)), former.scriptedBackEnd, next)
	request := &request{id: "id-1", route: &relay.view.Load().table.Configuration.Routes[0], service: relay.view.Load().table.Service("service"), deadline: time.Hour}
	stream := &streamReply{relay: relay.Relay, request: request, attempts: &attemptTracker{relay: relay.Relay, request: request}}
	stream.mover = newRunMover(stream, relay.engineOf("former"))
	require.True(t, stream.mover.beginStop())
	stream.mover.outcome <- stream.mover.destination(&selection{backEnd: relay.engineOf("next")}, true, "handle")
	stream.releaseMigrated()
	require.Eventually(t, func() bool {
		seen := former.seen()
		return len(seen) == 1 && seen[0].line == "DELETE /handle/handle"
	}, time.Minute, time.Millisecond)
	require.Zero(t, relay.engineOf("former").movable())
}

// A run that was moved to an engine which cannot be reached has run: it must not begin anew
// elsewhere where its route does not allow that.
func TestMovedRunThatFindsNoEngineIsNotRunAgain(t *testing.T) {
	for name, row := range map[string]struct {
		resumable bool
		again     int
	}{"not to be repeated": {}, "may be repeated": {resumable: true, again: 1}} {
		t.Run(name, func(t *testing.T) {
			former := startMovableEngine(t, moveAnswer{200, "handle"}, moveAnswer{200, "handle"})
			gone := startBackEnd(t, "gone", serving.StageDecode, refusing(503))
			gone.entry.Address = "127.0.0.1:1"
			other := startBackEnd(t, "other", serving.StageDecode, streaming("other", eventTwo+eventThree))
			relay := newTestRelay(t, route(func(r *serving.Route) { stream(row.resumable)(r); r.MaxAttempts = 2 }), former.scriptedBackEnd, gone, other).preferring("former")
			client := former.beginRun(t, relay)
			relay.engineOf("gone").removeWork(relay.engineOf("gone").currentLoad(0).ownWork) // it has slots now, the other has none
			relay.relist(func(entry *serving.BackEnd) { entry.Leaving = entry.Leaving || entry.ID == "former" })
			answer := client.read()
			require.Equal(t, row.resumable, answer.whole)
			require.Len(t, other.seen(), row.again)
		})
	}
}
