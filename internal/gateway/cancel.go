package gateway

import (
	"context"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	cancelQueueLength = 1024
	cancelWorkers     = 4
)

// cancellation identifies an exchange to cancel at its engine.
type cancellation struct {
	backEnd  routing.BackEnd
	exchange string
}

// cancelLater queues the cancellation of an exchange and never blocks. When the queue is full the cancellation is
// dropped: an engine by itself ends an exchange whose answer nobody reads.
func (g *Gateway) cancelLater(backEnd routing.BackEnd, exchange string) {
	select {
	case g.cancellations <- cancellation{backEnd: backEnd, exchange: exchange}:
	default:
	}
}

// cancelLoop cancels abandoned exchanges until the context ends.
func (g *Gateway) cancelLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-g.cancellations:
			g.cancel(next, abandonedCancelTimeout)
		}
	}
}

// abandonedCancelTimeout bounds the wait for an engine's answer to the cancellation of an abandoned exchange.
const abandonedCancelTimeout = time.Second

// cancel cancels an exchange at its engine and returns the engine's verdict. It sends nothing to an engine in backoff, or
// without a permit to call the engine, and then returns "may have run": an engine by itself ends an exchange whose answer
// nobody reads.
func (g *Gateway) cancel(request cancellation, timeout time.Duration) verdict.Verdict {
	if g.dispatcher.isInBackoff(request.backEnd) || !g.dispatcher.mayCall(request.backEnd, fleetlimit.RankCount-1) {
		return verdict.MayHaveRun
	}
	return g.upstream.Cancel(request.backEnd.Address, request.exchange, time.Now().Add(timeout))
}
