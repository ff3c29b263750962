package soak

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/platform/standin"
)

// Guards against draws that leave out a kind of silence: one back end, several, and all to which a request could move.
func TestBackEndsStandStillAloneAndTogether(t *testing.T) {
	created := &site{options: Options{}}
	for range 8 {
		created.pages, created.engines = append(created.pages, &standin.Replica{}), append(created.engines, &standin.Replica{})
	}
	injected := &faults{site: created}
	random := rand.New(rand.NewPCG(1, 1))
	counts, allEngines, allPages := map[int]int{}, false, false
	for range 200 {
		drawn := injected.drawReplicas(random)
		counts[len(drawn)]++
		allEngines = allEngines || len(drawn) == 8 && drawn[0] == created.engines[0] && drawn[7] == created.engines[7]
		allPages = allPages || len(drawn) == 8 && drawn[0] == created.pages[0] && drawn[7] == created.pages[7]
		unique := map[*standin.Replica]bool{}
		for _, replica := range drawn {
			unique[replica] = true
		}
		require.Len(t, unique, len(drawn))
	}
	require.Greater(t, counts[1], 50)
	require.Positive(t, counts[2])
	require.Zero(t, counts[0])
	require.True(t, allEngines)
	require.True(t, allPages)
}
