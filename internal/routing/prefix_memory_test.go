package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// chain returns blocks: shared ones that all prompts have, then those of a subject.
func chain(shared, subject, own int) []uint64 {
	blocks := make([]uint64, 0, shared+2)
	for i := range shared {
		blocks = append(blocks, uint64(1+i))
	}
	return append(blocks, uint64(1000+subject), uint64(1_000_000+own))
}

func testCandidates(count int) []*Candidate {
	candidates := make([]*Candidate, count)
	for i := range candidates {
		candidates[i] = newCandidate(BackEnd{Name: string(rune('a' + i)), Incarnation: 1}, &backpressure.Signals{})
	}
	return candidates
}

func newTestMemory(t *testing.T, size int) *prefixMemory {
	memory, err := newPrefixMemory(size)
	require.NoError(t, err)
	return memory
}

// TestHomesFollowSubjects: prompts about one subject have one home, whatever all
// prompts share, and subjects spread over the back ends.
func TestHomesFollowSubjects(t *testing.T) {
	candidates := testCandidates(8)
	memories := []*prefixMemory{newTestMemory(t, 10_000), newTestMemory(t, 10_000)}
	for own := range 4000 {
		memories[own%2].remember(chain(6, own%200, own), candidates[0].node)
	}
	homes := map[uint64]int{}
	for subject := range 200 {
		var home uint64
		for own, memory := range memories {
			request := Request{PromptTokens: 1024, PrefixBlocks: chain(6, subject, 100_000+own)}
			view := memory.view(&request)
			memory.chooseHome(&view, request.PrefixBlocks, candidates)
			require.True(t, home == 0 || home == view.home, "two gateways differ about subject %d", subject)
			home = view.home
		}
		homes[home]++
	}
	require.Len(t, homes, 8)
	for _, subjects := range homes {
		require.Less(t, subjects, 50, "no back end is the home of a quarter of all subjects")
	}
}

func TestViewKnowsTheLongestPrefix(t *testing.T) {
	memory := newTestMemory(t, 100)
	memory.remember(chain(4, 1, 1), 11)
	memory.remember(chain(4, 2, 2), 22)
	view := memory.view(&Request{PromptTokens: 10_000, PrefixBlocks: chain(4, 1, 3)})
	tokens := map[uint64]float64{}
	for i := range view.known {
		tokens[view.nodes[i]] = view.tokens[i]
	}
	require.Equal(t, map[uint64]float64{11: 5 * tokensPerBlock, 22: 4 * tokensPerBlock}, tokens)
}

func TestPrefixMemoryIsBounded(t *testing.T) {
	memory := newTestMemory(t, 50)
	for own := range 100 {
		memory.remember(chain(20, own, own), 11)
	}
	require.Equal(t, 50, memory.blocks.Len())
	memory.weight = highestWeight
	before := memory.requests / float64(memory.weight)
	memory.remember(chain(20, 1, 1), 11)
	require.Less(t, float64(memory.weight), 2.0)
	require.InDelta(t, before, memory.requests-float64(memory.weight), 0.1, "scaling keeps the proportions")
}

func TestPrefixBlocks(t *testing.T) {
	text := make([]byte, 3*PrefixBlockBytes+10)
	changed := append([]byte(nil), text...)
	changed[PrefixBlockBytes] = 1
	whole := PrefixBlocks("salt", text)
	require.Len(t, whole, 3, "an incomplete block has no identity")
	require.Equal(t, whole[:2], PrefixBlocks("salt", text[:2*PrefixBlockBytes]))
	require.NotEqual(t, whole[0], PrefixBlocks("other salt", text)[0], "tenants share nothing")
	require.Equal(t, whole[0], PrefixBlocks("salt", changed)[0])
	require.NotEqual(t, whole[1], PrefixBlocks("salt", changed)[1])
	require.NotEqual(t, whole[2], PrefixBlocks("salt", changed)[2], "a block covers all before it")
	require.Len(t, PrefixBlocks("salt", make([]byte, 1<<20)), MaximumPrefixBlocks)
	require.Empty(t, PrefixBlocks("salt", nil))
}

// TestAffinityYieldsToLoad: a cached prefix attracts, but not to a back end where
// the wait is longer than the saving.
func TestAffinityYieldsToLoad(t *testing.T) {
	rows := []struct {
		name    string
		waiting int64
		want    string
	}{
		{"idle", 0, "m1"},
		{"wait longer than the saving", 100_000, "m2"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			router := newTestRouter(t, engine("m2", enginecontract.RoleMixed),
				engine("m1", enginecontract.RoleMixed, withLoad(Load{WaitingPromptTokens: row.waiting})))
			asked := request()
			asked.PromptTokens, asked.PrefixBlocks = 20_000, chain(60, 1, 1)
			router.Observe(0, Dispatch{BackEnd: "m1", Exchange: "x", PrefixBlocks: asked.PrefixBlocks})
			router.Observe(0, Completion{BackEnd: "m1", Exchange: "x"})
			router.config.Picker = LowestCost{}
			choice, err := router.Pick(0, asked, nil)
			require.NoError(t, err)
			require.Equal(t, row.want, choice.BackEnd.Name)
		})
	}
}
