package soak

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/platform/standin"
)

// Guards against moves that leave the routes as they were, and against kinds of moves that are never drawn.
func TestMovesChangeTheRoutesInEachWay(t *testing.T) {
	random, routes := rand.New(rand.NewPCG(1, 1)), standin.StreamRoutes{First: standin.ServiceEngines}
	var led, split, joined, narrowed, widened int
	for range 400 {
		moved := drawMove(routes, random)
		require.NotEqual(t, routes, moved)
		require.NotEqual(t, moved.First, moved.Second)
		switch {
		case moved.Narrow != "" && routes.Narrow == "":
			require.NotEqual(t, moved.First, moved.Narrow)
			narrowed++
		case moved.Narrow == "" && routes.Narrow != "":
			widened++
		case moved.Second != "":
			split++
		case routes.Second != "":
			joined++
		default:
			led++
		}
		routes = moved
	}
	for _, count := range []int{led, split, joined, narrowed, widened} {
		require.Greater(t, count, 20)
	}
}

// Guards against series whose configurations are all moments apart, or all seconds.
func TestSeriesHaveQuickAndSlowMoves(t *testing.T) {
	random, quick, slow := rand.New(rand.NewPCG(1, 1)), 0, 0
	for range 200 {
		offsets := drawOffsets(random)
		require.Zero(t, offsets[0])
		require.LessOrEqual(t, len(offsets), mostMoves)
		for index := 1; index < len(offsets); index++ {
			switch gap := offsets[index] - offsets[index-1]; {
			case gap < longestQuickMove:
				quick++
			case gap >= shortestSlowMove && gap < longestSlowMove:
				slow++
			default:
				require.Fail(t, "neither quick nor slow", gap)
			}
		}
	}
	require.Greater(t, quick, 50)
	require.Greater(t, slow, 50)
}

// Guards against kills that come only before or only after the moves, and against relays that learn of a series at once although they are to
// be out of step.
func TestStrikesComeAroundTheMoves(t *testing.T) {
	random, early, late, kinds := rand.New(rand.NewPCG(1, 1)), 0, 0, map[strikeKind]int{}
	series := moveSeries{offsets: []time.Duration{0, 2 * time.Second}}
	for range 400 {
		planned, lead := drawMoveStrike(series, random)
		require.GreaterOrEqual(t, planned.length, lead+shortestAfterMove)
		require.LessOrEqual(t, planned.length, longestOutOfStep)
		if planned.moment < lead {
			early++
		} else {
			late++
		}
		kinds[planned.kind]++
	}
	require.Greater(t, early, 30)
	require.Greater(t, late, 30)
	for _, kind := range moveStrikes {
		require.Positive(t, kinds[kind], kind)
	}
}

// Guards against series of odd seeds that come while relays still take the route for changed by the series before.
func TestSeriesOfOddSeedsComeAfterASteadyTime(t *testing.T) {
	for range 50 {
		require.Greater(t, newRouteMoves(Options{Seed: 1}).drawGap(), steadyTime)
		require.LessOrEqual(t, newRouteMoves(Options{Seed: 2}).drawGap(), longestLead+longestReleaseGap)
	}
}
