package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// An engine that does not respond appears idle. An owner that receives reports of its failures avoids it for longer each
// time, and uses it again at once after a report of a success.
func TestRepeatedPeerFailuresExtendTheBackoff(t *testing.T) {
	engine := newBackEnd(serving.BackEnd{ID: "engine", Stage: serving.StagePrefill}, 1000)
	now := time.Duration(0)
	for _, pause := range []time.Duration{1, 2, 4, 8} {
		engine.recordPeerFailure(now)
		engine.recordPeerFailure(now) // a report about a request that was sent before
		require.Equal(t, now+pause*peerFailureBackoff, engine.currentLoad(now).avoidUntil)
		now = engine.currentLoad(now).avoidUntil
	}
	for range 5 {
		engine.recordPeerFailure(now)
		require.LessOrEqual(t, engine.currentLoad(now).avoidUntil, now+maxFailureBackoff)
		now = engine.currentLoad(now).avoidUntil
	}
	engine.clearPeerFailures()
	engine.recordPeerFailure(now)
	require.Equal(t, now+peerFailureBackoff, engine.currentLoad(now).avoidUntil)
}

// Nothing is fetched from an engine that failed for another relay until a relay reports a success.
func TestNothingIsFetchedFromAnEngineWithPeerFailures(t *testing.T) {
	relay := newTestRelay(t, route(stream(true)), startBackEnd(t, "engine", serving.StageDecode, refusing(503)))
	engine := relay.engineOf("engine")
	failures := func() int {
		return relay.candidatesOf([]*backEnd{engine}, nil, func(*backEnd) bool { return false }, relay.clock.now()).engines[0].Failures
	}
	relay.notices.apply(&v1.LoadNotice{Engines: []*v1.EngineWork{{Engine: engine.hash, Failed: true}}})
	require.Equal(t, 1, failures())
	relay.notices.apply(&v1.LoadNotice{Engines: []*v1.EngineWork{{Engine: engine.hash, KeptParts: []uint64{1}, KeptTokens: []uint32{5}}}})
	require.Zero(t, failures())
}
