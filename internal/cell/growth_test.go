package cell_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/cell"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// perToken is an engine's prefill time per token. sharedTokens and ownTokens are the lengths of a prompt's
	// shared prefix block and of the rest.
	perToken     = 27 * time.Microsecond
	sharedTokens = 13_000
	ownTokens    = 3_700
	// engineMemory is the size of an engine's prefix cache, in tokens.
	engineMemory = 400_000
	// prefixesPerEngine and requestsPerEngine, per second, make prefixes and load grow with the fleet.
	prefixesPerEngine = 6
	requestsPerEngine = 2
	simulatedTime     = 20 * time.Second
)

// simulatedFleet prefills prompts in virtual time. Each cell has one owner, which knows everything that it has
// assigned there, whichever relay asks.
type simulatedFleet struct {
	division *cell.Division
	engines  []*simulatedEngine
	policy   placement.Parameters
	random   *rand.Rand

	// sharedPrefillTokens counts the prefilled tokens of shared prefix blocks, repeatedTokens those that some
	// engine had prefilled before, and queries the placement queries to owners.
	sharedPrefillTokens, repeatedTokens, queries, requests int
	prefilled                                              map[placement.BlockHash]bool
}

// simulatedEngine prefills one prompt after another.
type simulatedEngine struct {
	hash   uint64
	zone   string
	cache  *placement.PrefixCache
	freeAt time.Duration
	busy   time.Duration
}

func newSimulatedFleet(zones, perZone int) *simulatedFleet {
	fleet := &simulatedFleet{policy: placement.DefaultParameters(), random: rand.New(rand.NewPCG(1, uint64(zones*perZone))), prefilled: map[placement.BlockHash]bool{}}
	var members []cell.Member
	for zone := range zones {
		for number := range perZone {
			engine := &simulatedEngine{
				hash: cell.HashEngine(fmt.Sprint(zone, "/", number)), zone: fmt.Sprint("zone-", zone), cache: placement.NewPrefixCache(engineMemory),
			}
			fleet.engines = append(fleet.engines, engine)
			members = append(members, cell.Member{Hash: engine.hash, Zone: engine.zone})
		}
	}
	fleet.division = cell.Divide("service", members)
	return fleet
}

// run simulates requests that arrive at a constant rate.
func (f *simulatedFleet) run() {
	requests := requestsPerEngine * len(f.engines) * int(simulatedTime.Seconds())
	for number := range requests {
		f.serve(time.Duration(number)*simulatedTime/time.Duration(requests), placement.BlockHash(f.random.IntN(prefixesPerEngine*len(f.engines))+1))
	}
}

// serve places one prompt with a shared prefix block.
func (f *simulatedFleet) serve(now time.Duration, shared placement.BlockHash) {
	f.requests++
	own := placement.BlockHash(f.random.Uint64())
	request := placement.Request{
		Now: now, Stage: serving.StageDecode, Target: time.Second, Tokens: sharedTokens + ownTokens, UncachedShare: 0.4, TimeLeft: 5 * time.Second,
		Prompt: []placement.PrefixBlock{{Hash: shared, Tokens: sharedTokens}, {Hash: own, Tokens: ownTokens}}, TokenTransferTime: 400 * time.Nanosecond,
	}
	var best placement.Decision
	var chosen *simulatedEngine
	for _, home := range f.division.Homes(uint64(shared), "", 3) {
		f.queries++
		decision, engine := f.decide(request, f.division.Cells()[home].Members)
		if chosen == nil || decision.IsBetter(best) {
			best, chosen = decision, engine
		}
		if !f.policy.ShouldSpill(request, best) {
			break
		}
	}
	if chosen == nil || best.Action != placement.PrefillSeparately {
		return
	}
	f.begin(now, request, best, chosen)
}

// decide returns the decision of a cell's owner.
func (f *simulatedFleet) decide(request placement.Request, members []int) (placement.Decision, *simulatedEngine) {
	engines := make([]placement.Engine, len(members))
	for index, member := range members {
		engine := f.engines[member]
		waits := max(engine.freeAt-request.Now, 0)
		engines[index] = placement.Engine{
			Hash: engine.hash, Zone: engine.zone, Stage: serving.StagePrefill, Slots: 64, PerToken: perToken,
			Work: placement.PrefillWork(int(waits/perToken), 0), Cached: engine.cache.Lookup(request.Prompt, request.Now),
		}
	}
	decision := f.policy.PlacePrefill(request, engines, f.random.Float64)
	if decision.Engine == nil {
		return decision, nil
	}
	return decision, f.engines[members[decision.Engine.Index]]
}

// begin has the engine prefill what it has not cached.
func (f *simulatedFleet) begin(now time.Duration, request placement.Request, decision placement.Decision, engine *simulatedEngine) {
	took := time.Duration(decision.Engine.EffectiveTokens) * perToken
	engine.freeAt = max(engine.freeAt, now) + took
	engine.busy += took
	shared := request.Prompt[0].Hash
	if decision.Engine.PrefillTokens > ownTokens {
		f.sharedPrefillTokens += sharedTokens
		if f.prefilled[shared] {
			f.repeatedTokens += sharedTokens
		}
		f.prefilled[shared] = true
	}
	engine.cache.AddReady(now, request.Prompt)
}

// busiest returns the work of the busiest engine as a multiple of the mean.
func (f *simulatedFleet) busiest() float64 {
	var most, sum time.Duration
	for _, engine := range f.engines {
		most, sum = max(most, engine.busy), sum+engine.busy
	}
	return float64(most) * float64(len(f.engines)) / float64(sum)
}

// As a fleet and its load grow together, placement stays as good and needs as few queries: shared prefix blocks are
// rarely prefilled twice, no engine has much more work than the mean, and a request costs fewer than 1.5 queries.
func TestPlacementQualityHoldsAsTheFleetGrows(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{1, 10}, {3, 10}, {5, 32}, {6, 50}, {10, 100}} {
		t.Run(fmt.Sprint(size.zones*size.perZone, " engines"), func(t *testing.T) {
			fleet := newSimulatedFleet(size.zones, size.perZone)
			fleet.run()
			prompts := fleet.requests * (sharedTokens + ownTokens)
			repeated := float64(fleet.repeatedTokens) / float64(prompts)
			queries := float64(fleet.queries) / float64(fleet.requests)
			t.Logf("prefilled again %.4f, busiest %.2f, queries per request %.3f", repeated, fleet.busiest(), queries)
			require.Less(t, repeated, 0.02)
			require.Less(t, fleet.busiest(), 1.6)
			require.Less(t, queries, 1.5)
		})
	}
}

// A prefix block that every fifth prompt shares does not overload its cell: load beyond the capacity of its engines
// spills to the next cells, which prefill the block once each.
func TestHotPrefixSpreadsOverCells(t *testing.T) {
	fleet := newSimulatedFleet(5, 32)
	const hot = placement.BlockHash(1 << 40)
	requests := requestsPerEngine * len(fleet.engines) * int(simulatedTime.Seconds())
	for number := range requests {
		shared := placement.BlockHash(fleet.random.IntN(prefixesPerEngine*len(fleet.engines)) + 1)
		if number%5 == 0 {
			shared = hot
		}
		fleet.serve(time.Duration(number)*simulatedTime/time.Duration(requests), shared)
	}
	prompts := fleet.requests * (sharedTokens + ownTokens)
	require.Less(t, float64(fleet.repeatedTokens)/float64(prompts), 0.02)
	require.Less(t, float64(fleet.queries)/float64(fleet.requests), 1.5)
	require.Less(t, fleet.busiest(), 5.0, "without spilling, the home would have 32 times the mean")
}
