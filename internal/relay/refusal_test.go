package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

var engineRefusal = &failure{verdict: verdict.NotRun, mayHaveArrived: true, cause: errNotExecuted}

// refuse records that an engine refused a message with the given work.
func (r *testRelay) refuse(engine *backEnd, work placement.Work) {
	r.exchanger.updateHealth(&message{backEnd: engine, work: work}, engineRefusal)
}

// hasQueuedFailure reports whether a notice about the engine's failure is queued.
func (r *testRelay) hasQueuedFailure(engine *backEnd) bool {
	r.notices.mutex.Lock()
	defer r.notices.mutex.Unlock()
	return r.notices.pending[engine].failed
}

// newRefusingRelay returns a relay with one back end of the given stage, and that back end.
func newRefusingRelay(t *testing.T, stage serving.Stage) (*testRelay, *backEnd) {
	t.Helper()
	relay := newTestRelay(t, route(stream(true)), startBackEnd(t, "engine", stage, refusing(503)))
	return relay, relay.engineOf("engine")
}

// An engine that is changing its stage refuses everything. One refusal is enough for relays without the newest list to avoid
// the engine, even a refusal that another relay received.
func TestRefusalOfAnEngineWithFreeSlotsCountsAsFailure(t *testing.T) {
	relay, engine := newRefusingRelay(t, serving.StageDecode)
	relay.refuse(engine, placement.Work{Streams: 1}.Plus(placement.PrefillWork(500, 0)))
	require.Equal(t, 1, engine.currentLoad(relay.clock.now()).failures)
	require.True(t, relay.hasQueuedFailure(engine))
}

// A full engine has not failed: it is avoided for a short time, and only by this relay.
func TestRefusalOfAFullEngineIsNoFailure(t *testing.T) {
	for name, fill := range map[string]func(*testRelay, *backEnd){
		"this relay's work":   func(_ *testRelay, engine *backEnd) { engine.addWork(placement.Work{Streams: 6}) },
		"the engine's report": func(relay *testRelay, engine *backEnd) { engine.recordReportedLoad(relay.clock.now()+time.Hour, 4, 3) },
		"streams and prompts": func(_ *testRelay, engine *backEnd) { engine.addWork(placement.Work{Streams: 2, Prefills: 2}) },
	} {
		t.Run(name, func(t *testing.T) {
			relay, engine := newRefusingRelay(t, serving.StageDecode)
			fill(relay, engine)
			relay.refuse(engine, placement.Work{Streams: 1}.Plus(placement.PrefillWork(500, 0)))
			require.Zero(t, engine.currentLoad(relay.clock.now()).failures)
			require.Equal(t, 1, engine.currentLoad(relay.clock.now()).refusals)
			require.False(t, relay.hasQueuedFailure(engine))
		})
	}
}

// A single refusal of a prompt that another engine has prefilled may be caused by that engine's KV cache; two consecutive
// ones are caused by the refusing engine.
func TestRepeatedRefusalOfAPrefilledPromptCountsAsFailure(t *testing.T) {
	relay, engine := newRefusingRelay(t, serving.StageDecode)
	relay.refuse(engine, placement.Work{Streams: 1})
	require.Zero(t, engine.currentLoad(relay.clock.now()).failures)
	require.False(t, relay.hasQueuedFailure(engine))
	relay.refuse(engine, placement.Work{Streams: 1})
	require.Equal(t, 1, engine.currentLoad(relay.clock.now()).failures)
	require.True(t, relay.hasQueuedFailure(engine))
}

// Relays exchange no load of back ends without a stage, so such a back end counts only as busy.
func TestRefusalOfAWholeBackEndIsNoFailure(t *testing.T) {
	relay, engine := newRefusingRelay(t, serving.StageWhole)
	relay.refuse(engine, placement.Work{Streams: 1})
	relay.refuse(engine, placement.Work{Streams: 1})
	require.Zero(t, engine.currentLoad(relay.clock.now()).failures)
}
