package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// earliestStrike and latestStrike bound when processes are killed, from one of the moves of a series on.
	earliestStrike = -400 * time.Millisecond
	latestStrike   = 800 * time.Millisecond
	// shortestAfterMove is the shortest time for which a relay stays out of step after a move.
	shortestAfterMove = 300 * time.Millisecond
)

// moveStrikes are what may strike in a series of moves, with equal shares.
var moveStrikes = []strikeKind{
	strikeNothing, killAllRelays, killAllRelays, killAllRelays, killAllProcesses, killAllProcesses, cutFromAll, cutFromProcesses, cutFromControllers,
	suspendRelay, restartRelay, restartRelay,
}

// strikeMoves strikes in each series of moves, until the context ends.
func (f *faults) strikeMoves(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 18000))
	for {
		select {
		case <-ctx.Done():
			return
		case series := <-f.site.moves.announced:
			f.strikeSeries(ctx, series, random)
		}
	}
}

// strikeSeries strikes once in a series of moves, and counts it.
func (f *faults) strikeSeries(ctx context.Context, series moveSeries, random *rand.Rand) {
	planned, lead := drawMoveStrike(series, random)
	planned.relay = f.site.relays[random.IntN(len(f.site.relays))]
	sleep(ctx, time.Until(series.startsAt)-lead)
	if ctx.Err() != nil {
		return
	}
	f.count(history.Move, fmt.Sprintf("%d configurations within %s", len(series.offsets), series.offsets[len(series.offsets)-1]))
	f.execute(planned)
}

// drawMoveStrike draws what strikes in a series, without the relay, and how long before the series it is executed. Processes are killed a
// little before or after one of the moves; a relay falls out of step before the first one, for at most longestOutOfStep.
func drawMoveStrike(series moveSeries, random *rand.Rand) (planned strike, lead time.Duration) {
	lead = time.Duration(random.Int64N(int64(longestLead)))
	move := series.offsets[random.IntN(len(series.offsets))]
	shift := earliestStrike + time.Duration(random.Int64N(int64(latestStrike-earliestStrike)))
	rest := time.Duration(random.Int64N(int64(longestOutOfStep - shortestAfterMove)))
	return strike{
		kind: moveStrikes[random.IntN(len(moveStrikes))], moment: max(0, lead+move+shift),
		away:   shortestHerdAway + time.Duration(random.Int64N(int64(longestHerdAway-shortestHerdAway))),
		length: min(longestOutOfStep, lead+shortestAfterMove+rest),
	}, lead
}
