package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/zonedelay"
)

// Guards against draws that leave out a kind of cut, and against cuts that leave no relay with which to compare.
func TestBackEndCutsStrikeOneHalfAZoneAndAZone(t *testing.T) {
	created := &site{options: Options{BackEndCuts: true}}
	const relays = 12
	for range relays {
		created.relays = append(created.relays, &relayProcess{})
	}
	injected := &faults{site: created}
	random := rand.New(rand.NewPCG(1, 1))
	counts, modes, longerThanContact := map[int]int{}, map[zonedelay.CutMode]int{}, 0
	for range 300 {
		cut := injected.drawBackEndCut(random)
		counts[len(cut.relays)]++
		modes[cut.mode]++
		unique := map[*relayProcess]bool{}
		for _, relay := range cut.relays {
			unique[relay] = true
		}
		require.Len(t, unique, len(cut.relays))
		require.GreaterOrEqual(t, cut.length, shortestBackEndCut)
		require.Less(t, cut.length, longestBackEndCut)
		if cut.length > bounds.Contact {
			longerThanContact++
		}
	}
	require.Len(t, counts, 3)
	for _, count := range []int{1, relays / zoneCount / 2, relays / zoneCount} {
		require.Greater(t, counts[count], 50)
	}
	for _, mode := range []zonedelay.CutMode{zonedelay.CutHang, zonedelay.CutReset, zonedelay.CutRefuseNew} {
		require.Greater(t, modes[mode], 50)
	}
	require.Greater(t, longerThanContact, 100)
}

// Guards against cuts that end when their relay is restarted.
func TestRestartedRelayStaysCutOffFromBackEnds(t *testing.T) {
	directory := t.TempDir()
	log := filepath.Join(directory, "log")
	relay := fleet.NewProcess("front", "/bin/cat", nil, filepath.Join(directory, "settings"), log, "") // prints its commands
	require.NoError(t, relay.Start())
	t.Cleanup(relay.Kill)
	printed := func(text string, times int) func() bool {
		return func() bool {
			content, err := os.ReadFile(log)
			return err == nil && strings.Count(string(content), text) == times
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { keepCutFromBackEnds(ctx, relay, 7, zonedelay.CutHang) })
	require.Eventually(t, printed(`"mode":"hang"`, 1), time.Minute, time.Millisecond)
	relay.Kill()
	require.NoError(t, relay.Start())
	require.Eventually(t, printed(`"mode":"hang"`, 2), time.Minute, time.Millisecond)
	require.True(t, printed(`{"number":7,"group":null}`, 0)())
	cancel()
	running.Wait()
	require.Eventually(t, printed(`{"number":7,"group":null}`, 1), time.Minute, time.Millisecond)
}
