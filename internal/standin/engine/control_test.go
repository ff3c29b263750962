package engine

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine/orders"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
	"github.com/hazelpitch/hazelpitch/internal/standin/weightstore"
)

func order(engine *Engine, sent enginecontract.Order) call {
	return call{engine: engine, method: http.MethodPost, path: enginecontract.PathOrders, body: sent}
}

func toPrefill(sequence uint64) enginecontract.Order {
	return enginecontract.Order{
		Fence: enginecontract.Fence{Epoch: 1, Sequence: sequence}, Action: enginecontract.ActionSetRole,
		Role: enginecontract.RolePrefill, ExpectedRole: enginecontract.RoleMixed, DrainMs: 60_000,
	}
}

func orderAnswer(t *testing.T, got answer) enginecontract.OrderAnswer {
	t.Helper()
	var answer enginecontract.OrderAnswer
	require.NoError(t, json.Unmarshal([]byte(got.body), &answer), got.body)
	require.Equal(t, answer.Accepted, got.status == http.StatusOK)
	return answer
}

func eventually(t *testing.T, engine *Engine, check func(enginecontract.EngineState) bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		state, running := engine.State()
		return running && check(state)
	}, time.Minute, time.Millisecond)
}

// TestRoleChangeCutsNothing changes a role during a stream. The stream must complete, and
// must be cut when the safeguard DrainFirst is disabled.
func TestRoleChangeCutsNothing(t *testing.T) {
	for _, drains := range []bool{true, false} {
		engine := startEngine(t, func(config *Config) {
			if !drains {
				config.Safeguards = safeguard.Without(orders.DrainFirst)
			}
		})
		running, err := chat(engine, 1, 100).open(t)
		require.NoError(t, err)
		require.True(t, orderAnswer(t, order(engine, toPrefill(1)).do(t)).Accepted)
		refused := chat(engine, 2, 5).do(t)
		require.Equal(t, http.StatusServiceUnavailable, refused.status)
		require.Equal(t, enginecontract.RunStateNotRun, refused.header.Get(enginecontract.HeaderRunState))
		got := read(t, running, exchangeID(1))
		eventually(t, engine, func(state enginecontract.EngineState) bool {
			return state.Role == enginecontract.RolePrefill && state.State == enginecontract.StateServing
		})
		if drains {
			requireComplete(t, got, 0, 100)
		} else {
			require.False(t, got.done)
		}
		require.Equal(t, !drains, engine.Runs().Totals.CutByChange > 0)
		require.Equal(t, 1, engine.Runs().Totals.RoleChanges)
	}
}

func TestOrdersOverHTTP(t *testing.T) {
	engine := startEngine(t, nil)
	fence := call{engine: engine, method: http.MethodPost, path: enginecontract.PathFence, body: enginecontract.Fence{Epoch: 2}}
	require.True(t, orderAnswer(t, fence.do(t)).Accepted)
	require.Equal(t, enginecontract.RefusalStaleFence, orderAnswer(t, order(engine, toPrefill(1)).do(t)).Refusal)
	for _, path := range []string{enginecontract.PathOrders, enginecontract.PathFence} {
		bad := call{engine: engine, method: http.MethodPost, path: path, body: "no object"}
		require.Equal(t, http.StatusBadRequest, bad.do(t).status)
	}
}

func TestLostOrderAnswerIsResentWithTheSameAnswer(t *testing.T) {
	engine := startEngine(t, func(config *Config) { config.Faults = []fault.Fault{faultOnce(fault.LoseOrderAnswer)} })
	require.Error(t, order(engine, toPrefill(1)).do(t).err)
	require.True(t, orderAnswer(t, order(engine, toPrefill(1)).do(t)).Accepted)
	eventually(t, engine, func(state enginecontract.EngineState) bool { return state.OrderPhase == enginecontract.PhaseDone })
	require.Equal(t, 1, engine.Runs().Totals.RoleChanges)
}

func TestCrashDuringChange(t *testing.T) {
	engine := startEngine(t, func(config *Config) {
		config.Faults = []fault.Fault{faultOnce(fault.CrashInChange)}
		config.Profile.RoleChange = time.Hour
	})
	order(engine, toPrefill(3)).do(t) // the crash may lose the answer
	eventually(t, engine, func(state enginecontract.EngineState) bool { return state.Incarnation == 2 })
	state, _ := engine.State()
	require.Equal(t, enginecontract.PhaseAborted, state.OrderPhase)
	require.Equal(t, enginecontract.RoleMixed, state.Role)
	require.Equal(t, enginecontract.Fence{Epoch: 1, Sequence: 3}, state.HighestFence)
	requireComplete(t, chat(engine, 1, 5).do(t), 0, 5)
}

func TestCrashBreaksStreamsAndLosesExchanges(t *testing.T) {
	engine := startEngine(t, nil)
	running, err := chat(engine, 1, 100_000).open(t)
	require.NoError(t, err)
	engine.Crash()
	require.False(t, read(t, running, exchangeID(1)).done)
	require.Error(t, chat(engine, 2, 5).do(t).err)
	require.NoError(t, engine.Restart())
	require.Equal(t, "exchange_unknown", resume(engine, 1, "0").do(t).code)
	requireComplete(t, chat(engine, 3, 5).do(t), 0, 5)
}

func TestFreezeStopsTheEngineClock(t *testing.T) {
	engine := startEngine(t, nil)
	running, err := chat(engine, 1, 50).open(t)
	require.NoError(t, err)
	engine.Freeze(30 * time.Millisecond)
	requireComplete(t, read(t, running, exchangeID(1)), 0, 50)
}

func TestLoadModelNeedsTheWeightStore(t *testing.T) {
	store, err := weightstore.Start(weightstore.Config{
		Address: "127.0.0.1:0", BytesPerSecond: 10 << 20, MaxReaders: 1, Weights: map[string]int64{"m/2": 100_000},
	})
	require.NoError(t, err)
	t.Cleanup(store.Close)
	for version, want := range map[string]enginecontract.OrderPhase{"2": enginecontract.PhaseDone, "3": enginecontract.PhaseAborted} {
		engine := startEngine(t, func(config *Config) { config.WeightStore = store.Address() })
		load := enginecontract.Order{Fence: enginecontract.Fence{Epoch: 1, Sequence: 1}, Action: enginecontract.ActionLoadModel, Model: "m", Version: version}
		require.True(t, orderAnswer(t, order(engine, load).do(t)).Accepted)
		eventually(t, engine, func(state enginecontract.EngineState) bool { return state.OrderPhase == want })
		state, _ := engine.State()
		require.Equal(t, want == enginecontract.PhaseDone, state.Version == "2")
	}
}

func TestLoadReportLags(t *testing.T) {
	engine := startEngine(t, func(config *Config) { config.LoadLag = time.Hour })
	running, err := chat(engine, 1, 100_000).open(t)
	require.NoError(t, err)
	defer func() { _ = running.Body.Close() }()
	get := call{engine: engine, method: http.MethodGet, path: enginecontract.PathLoad}
	var report enginecontract.LoadReport
	require.NoError(t, json.Unmarshal([]byte(get.do(t).body), &report))
	require.Zero(t, report.Running, "the report is older than the stream")
	state, _ := engine.State()
	require.Equal(t, 1, state.InFlight)
}

func TestCacheEventsCanHaveGaps(t *testing.T) {
	engine := startEngine(t, func(config *Config) {
		config.Profile.BlockTokens = 1
		config.Faults = []fault.Fault{{Kind: fault.CacheEventGap, Count: fault.Always, Tokens: 2}}
	})
	requireComplete(t, chat(engine, 1, 5).do(t), 0, 5)
	get := call{engine: engine, method: http.MethodGet, path: enginecontract.PathCacheEvents + "?after=0"}
	require.Eventually(t, func() bool {
		var events enginecontract.CacheEvents
		require.NoError(t, json.Unmarshal([]byte(get.do(t).body), &events))
		return len(events.Events) > 1 && events.Events[1].Sequence == 3
	}, time.Minute, time.Millisecond)
}

func TestFaultsAreSetOverHTTP(t *testing.T) {
	engine := startEngine(t, nil)
	put := call{engine: engine, method: http.MethodPut, path: PathBenchFaults, body: []fault.Fault{faultOnce(fault.Refuse)}}
	require.Equal(t, http.StatusOK, put.do(t).status)
	require.Equal(t, http.StatusServiceUnavailable, chat(engine, 1, 5).do(t).status)
	requireComplete(t, chat(engine, 2, 5).do(t), 0, 5)
}
