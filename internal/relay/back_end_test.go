package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// An engine that has gone dark looks idle. An owner that hears of its failures leaves it alone for
// longer each time, and at once trusts it again when it serves somebody.
func TestEngineThatFailsForOthersAgainIsAvoidedLonger(t *testing.T) {
	engine := newBackEnd(serving.BackEnd{ID: "engine", Stage: serving.StagePrefill}, 1000)
	now := time.Duration(0)
	for _, pause := range []time.Duration{1, 2, 4, 8} {
		engine.recordPeerFailure(now)
		engine.recordPeerFailure(now) // of requests that were under way
		require.Equal(t, now+pause*peerFailureBackoff, engine.currentLoad(now).avoidUntil)
		now = engine.currentLoad(now).avoidUntil
	}
	for range 5 {
		engine.recordPeerFailure(now)
		require.LessOrEqual(t, engine.currentLoad(now).avoidUntil, now+failureBackoffMax)
		now = engine.currentLoad(now).avoidUntil
	}
	engine.clearPeerFailures()
	engine.recordPeerFailure(now)
	require.Equal(t, now+peerFailureBackoff, engine.currentLoad(now).avoidUntil)
}

// Nothing is fetched from an engine that failed for another relay, until it is told to have
// served one.
func TestNothingIsFetchedFromASuspectedEngine(t *testing.T) {
	relay := newTestRelay(t, route(stream(true)), startBackEnd(t, "engine", serving.StageDecode, refusing(503)))
	engine := relay.engineOf("engine")
	look := func() int {
		return relay.candidatesOf([]*backEnd{engine}, nil, func(*backEnd) bool { return false }, relay.clock.now()).engines[0].Failures
	}
	relay.notices.apply(&v1.LoadNotice{Engines: []*v1.EngineWork{{Engine: engine.hash, Failed: true}}})
	require.Equal(t, 1, look())
	relay.notices.apply(&v1.LoadNotice{Engines: []*v1.EngineWork{{Engine: engine.hash, KeptParts: []uint64{1}, KeptTokens: []uint32{5}}}})
	require.Zero(t, look())
}
