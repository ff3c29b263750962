package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

var refusedByEngine = &failure{verdict: verdict.NotRun, mayHaveArrived: true, cause: errNotExecuted}

// refuse lets an engine of the relay refuse a message of some work.
func (r *testRelay) refuse(engine *backEnd, asked placement.Work) {
	r.exchanger.updateHealth(&message{backEnd: engine, work: asked}, refusedByEngine)
}

// isToldFailed reports whether the relay is about to tell others that the engine failed.
func (r *testRelay) isToldFailed(engine *backEnd) bool {
	r.notices.mutex.Lock()
	defer r.notices.mutex.Unlock()
	return r.notices.pending[engine].failed
}

// newRefusingRelay returns a relay with one decoding engine, and that engine.
func newRefusingRelay(t *testing.T, stage serving.Stage) (*testRelay, *backEnd) {
	t.Helper()
	relay := newTestRelay(t, route(stream(true)), startBackEnd(t, "engine", stage, refusing(503)))
	return relay, relay.engineOf("engine")
}

// An engine whose stage is being changed refuses everything. Relays that have not heard of
// the change learn it from one refusal, whichever relay had it.
func TestRefusalOfAnEngineWithRoomCountsAsFailure(t *testing.T) {
	relay, engine := newRefusingRelay(t, serving.StageDecode)
	relay.refuse(engine, placement.Work{Streams: 1}.Plus(placement.PrefillWork(500, 0)))
	require.Equal(t, 1, engine.currentLoad(relay.clock.now()).failures)
	require.True(t, relay.isToldFailed(engine))
}

// A full engine is not broken: it is avoided for a short while, and only here.
func TestRefusalOfAFullEngineIsNoFailure(t *testing.T) {
	for name, fill := range map[string]func(*testRelay, *backEnd){
		"own work":      func(_ *testRelay, engine *backEnd) { engine.addWork(placement.Work{Streams: 6}) },
		"its own word":  func(relay *testRelay, engine *backEnd) { engine.recordReportedLoad(relay.clock.now()+time.Hour, 4, 3) },
		"both together": func(_ *testRelay, engine *backEnd) { engine.addWork(placement.Work{Streams: 2, Prefills: 2}) },
	} {
		t.Run(name, func(t *testing.T) {
			relay, engine := newRefusingRelay(t, serving.StageDecode)
			fill(relay, engine)
			relay.refuse(engine, placement.Work{Streams: 1}.Plus(placement.PrefillWork(500, 0)))
			require.Zero(t, engine.currentLoad(relay.clock.now()).failures)
			require.Equal(t, 1, engine.currentLoad(relay.clock.now()).refusals)
			require.False(t, relay.isToldFailed(engine))
		})
	}
}

// One refusal of a prompt that another engine has read may come from that memory; two in a
// row come from the engine.
func TestRefusalOfAHandOverCountsWhenRepeated(t *testing.T) {
	relay, engine := newRefusingRelay(t, serving.StageDecode)
	relay.refuse(engine, placement.Work{Streams: 1})
	require.Zero(t, engine.currentLoad(relay.clock.now()).failures)
	require.False(t, relay.isToldFailed(engine))
	relay.refuse(engine, placement.Work{Streams: 1})
	require.Equal(t, 1, engine.currentLoad(relay.clock.now()).failures)
	require.True(t, relay.isToldFailed(engine))
}

// A back end without a stage has no load that relays tell each other: it is only busy.
func TestRefusalOfAWholeBackEndIsNoFailure(t *testing.T) {
	relay, engine := newRefusingRelay(t, serving.StageWhole)
	relay.refuse(engine, placement.Work{Streams: 1})
	relay.refuse(engine, placement.Work{Streams: 1})
	require.Zero(t, engine.currentLoad(relay.clock.now()).failures)
}
