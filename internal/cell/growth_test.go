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
	// perToken is how long an engine reads one token of a prompt, partTokens and ownTokens are the
	// lengths of a prompt's shared and own part.
	perToken   = 27 * time.Microsecond
	partTokens = 13_000
	ownTokens  = 3_700
	// engineMemory is what an engine keeps, in tokens.
	engineMemory = 400_000
	// partsPerEngine and requestsPerEngine, a second, grow with the fleet.
	partsPerEngine    = 6
	requestsPerEngine = 2
	played            = 20 * time.Second
)

// simulatedFleet reads prompts in virtual time. Each cell is decided on by one owner that knows
// all that it has assigned there, whichever relay asks.
type simulatedFleet struct {
	division *cell.Division
	engines  []*simulatedEngine
	policy   placement.Parameters
	random   *rand.Rand

	// wholeParts are the tokens of shared parts that were read, again those of them that some
	// engine had read before, offers how often owners were asked.
	wholeParts, again, offers, requests int
	read                                map[placement.BlockHash]bool
}

// simulatedEngine reads one prompt after another.
type simulatedEngine struct {
	hash   uint64
	zone   string
	cache  *placement.PrefixCache
	freeAt time.Duration
	busy   time.Duration
}

func newSimulatedFleet(zones, perZone int) *simulatedFleet {
	fleet := &simulatedFleet{policy: placement.DefaultParameters(), random: rand.New(rand.NewPCG(1, uint64(zones*perZone))), read: map[placement.BlockHash]bool{}}
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

// play lets requests arrive at steady times.
func (f *simulatedFleet) play() {
	requests := requestsPerEngine * len(f.engines) * int(played.Seconds())
	for number := range requests {
		f.serve(time.Duration(number)*played/time.Duration(requests), placement.BlockHash(f.random.IntN(partsPerEngine*len(f.engines))+1))
	}
}

// serve has one prompt with a shared part read.
func (f *simulatedFleet) serve(now time.Duration, part placement.BlockHash) {
	f.requests++
	own := placement.BlockHash(f.random.Uint64())
	request := placement.Request{
		Now: now, Stage: serving.StageDecode, Target: time.Second, Tokens: partTokens + ownTokens, UncachedShare: 0.4, TimeLeft: 5 * time.Second,
		Prompt: []placement.PrefixBlock{{Hash: part, Tokens: partTokens}, {Hash: own, Tokens: ownTokens}}, TokenTransferTime: 400 * time.Nanosecond,
	}
	var best placement.Decision
	var chosen *simulatedEngine
	for _, home := range f.division.Homes(uint64(part), "", 3) {
		f.offers++
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

// decide is what the owner of a cell answers.
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

// begin has the engine read what it does not have.
func (f *simulatedFleet) begin(now time.Duration, request placement.Request, decision placement.Decision, engine *simulatedEngine) {
	took := time.Duration(decision.Engine.EffectiveTokens) * perToken
	engine.freeAt = max(engine.freeAt, now) + took
	engine.busy += took
	part := request.Prompt[0].Hash
	if decision.Engine.PrefillTokens > ownTokens {
		f.wholeParts += partTokens
		if f.read[part] {
			f.again += partTokens
		}
		f.read[part] = true
	}
	engine.cache.AddReady(now, request.Prompt)
}

// busiest is the work of the busiest engine over the mean.
func (f *simulatedFleet) busiest() float64 {
	var most, sum time.Duration
	for _, engine := range f.engines {
		most, sum = max(most, engine.busy), sum+engine.busy
	}
	return float64(most) * float64(len(f.engines)) / float64(sum)
}

// As a fleet and its load grow together, decisions stay as good and ask as few: parts are hardly
// read twice, no engine has much more to do than others, and a request costs its two messages.
func TestDecisionsStayGoodAsTheFleetGrows(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{1, 10}, {3, 10}, {5, 32}, {6, 50}, {10, 100}} {
		t.Run(fmt.Sprint(size.zones*size.perZone, " engines"), func(t *testing.T) {
			fleet := newSimulatedFleet(size.zones, size.perZone)
			fleet.play()
			prompts := fleet.requests * (partTokens + ownTokens)
			again := float64(fleet.again) / float64(prompts)
			offers := float64(fleet.offers) / float64(fleet.requests)
			t.Logf("read again %.4f, busiest %.2f, offers a request %.3f", again, fleet.busiest(), offers)
			require.Less(t, again, 0.02)
			require.Less(t, fleet.busiest(), 1.6)
			require.Less(t, offers, 1.5)
		})
	}
}

// A part that every fifth prompt wants does not hold its cell up: the load beyond its engines goes to
// the next cells, which read it once each.
func TestHotPartSpreadsOverCells(t *testing.T) {
	fleet := newSimulatedFleet(5, 32)
	const hot = placement.BlockHash(1 << 40)
	requests := requestsPerEngine * len(fleet.engines) * int(played.Seconds())
	for number := range requests {
		part := placement.BlockHash(fleet.random.IntN(partsPerEngine*len(fleet.engines)) + 1)
		if number%5 == 0 {
			part = hot
		}
		fleet.serve(time.Duration(number)*played/time.Duration(requests), part)
	}
	prompts := fleet.requests * (partTokens + ownTokens)
	require.Less(t, float64(fleet.again)/float64(prompts), 0.02)
	require.Less(t, float64(fleet.offers)/float64(fleet.requests), 1.5)
	require.Less(t, fleet.busiest(), 5.0, "all of it at its home would be 32 times the mean")
}
