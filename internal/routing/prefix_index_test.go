package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// testBlocks returns blocks that all prompts share, then one of a subject and one of the prompt itself.
func testBlocks(shared, subject, own int) []uint64 {
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

func newTestIndex(t *testing.T, size int) *prefixIndex {
	index, err := newPrefixIndex(size)
	require.NoError(t, err)
	return index
}

// Prompts about one subject have the same home at every gateway, whatever blocks all prompts share, and subjects
// spread over the back ends.
func TestPrefixesHaveOneHome(t *testing.T) {
	candidates := testCandidates(8)
	indexes := []*prefixIndex{newTestIndex(t, 10_000), newTestIndex(t, 10_000)}
	for own := range 4000 {
		indexes[own%2].record(testBlocks(6, own%200, own), candidates[0].cacheNode)
	}
	homes := map[uint64]int{}
	for subject := range 200 {
		var home uint64
		for own, index := range indexes {
			request := Request{PromptTokens: 1024, PrefixBlocks: testBlocks(6, subject, 100_000+own)}
			match := index.match(&request)
			index.chooseHome(&match, request.PrefixBlocks, candidates)
			require.True(t, home == 0 || home == match.home, "two gateways differ about subject %d", subject)
			home = match.home
		}
		homes[home]++
	}
	require.Len(t, homes, 8)
	for _, subjects := range homes {
		require.Less(t, subjects, 50, "no back end is the home of a quarter of all subjects")
	}
}

func TestMatchFindsTheLongestPrefix(t *testing.T) {
	index := newTestIndex(t, 100)
	index.record(testBlocks(4, 1, 1), 11)
	index.record(testBlocks(4, 2, 2), 22)
	match := index.match(&Request{PromptTokens: 10_000, PrefixBlocks: testBlocks(4, 1, 3)})
	tokens := map[uint64]float64{}
	for i := range match.nodeCount {
		tokens[match.nodes[i]] = match.tokens[i]
	}
	require.Equal(t, map[uint64]float64{11: 5 * tokensPerBlock, 22: 4 * tokensPerBlock}, tokens)
}

func TestPrefixIndexIsBounded(t *testing.T) {
	index := newTestIndex(t, 50)
	for own := range 100 {
		index.record(testBlocks(20, own, own), 11)
	}
	require.Equal(t, 50, index.blocks.Len())
	index.weight = maxRequestWeight
	before := index.requests / float64(index.weight)
	index.record(testBlocks(20, 1, 1), 11)
	require.Less(t, float64(index.weight), 2.0)
	require.InDelta(t, before, index.requests-float64(index.weight), 0.1, "rescaling keeps the proportions")
}

func TestPrefixBlocks(t *testing.T) {
	text := make([]byte, 3*PrefixBlockBytes+10)
	changed := append([]byte(nil), text...)
	changed[PrefixBlockBytes] = 1
	blocks := PrefixBlocks("salt", text)
	require.Len(t, blocks, 3, "an incomplete block has no identity")
	require.Equal(t, blocks[:2], PrefixBlocks("salt", text[:2*PrefixBlockBytes]))
	require.NotEqual(t, blocks[0], PrefixBlocks("other salt", text)[0], "tenants share nothing")
	require.Equal(t, blocks[0], PrefixBlocks("salt", changed)[0])
	require.NotEqual(t, blocks[1], PrefixBlocks("salt", changed)[1])
	require.NotEqual(t, blocks[2], PrefixBlocks("salt", changed)[2], "a block covers all before it")
	require.Len(t, PrefixBlocks("salt", make([]byte, 1<<20)), MaxPrefixBlocks)
	require.Empty(t, PrefixBlocks("salt", nil))
}

// A cached prefix attracts a request, except to a back end where the wait is longer than the saved prefill.
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
			pickRequest := request()
			pickRequest.PromptTokens, pickRequest.PrefixBlocks = 20_000, testBlocks(60, 1, 1)
			router.Observe(0, Dispatch{BackEnd: "m1", Exchange: "x", PrefixBlocks: pickRequest.PrefixBlocks})
			router.Observe(0, Completion{BackEnd: "m1", Exchange: "x"})
			router.config.Picker = LowestCost{}
			choice, err := router.Pick(0, pickRequest, nil)
			require.NoError(t, err)
			require.Equal(t, row.want, choice.BackEnd.Name)
		})
	}
}
