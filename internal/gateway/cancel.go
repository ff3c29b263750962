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

// cancellation is one exchange to be ended at its engine.
type cancellation struct {
	backEnd  routing.BackEnd
	exchange string
}

// cancelLater asks for an exchange to be ended. When the queue is full it is left to the
// engine, which ends an exchange without a reader by itself.
func (g *Gateway) cancelLater(backEnd routing.BackEnd, exchange string) {
	select {
	case g.cancellations <- cancellation{backEnd: backEnd, exchange: exchange}:
	default:
	}
}

// cancelLoop ends abandoned exchanges.
func (g *Gateway) cancelLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case each := <-g.cancellations:
			g.cancel(each, cancelPatience)
		}
	}
}

// cancelPatience is how long the answer to the end of an abandoned exchange is awaited.
const cancelPatience = time.Second

// cancel ends an exchange at its engine. One that has asked to be left alone, or whose limit leaves no room, ends it by
// itself, since nobody reads it; nothing is known of it then.
func (g *Gateway) cancel(ended cancellation, patience time.Duration) verdict.Verdict {
	if g.dispatcher.rests(ended.backEnd) || !g.dispatcher.mayCall(ended.backEnd, fleetlimit.RankCount-1, false) {
		return verdict.MayHaveRun
	}
	return g.upstream.Cancel(ended.backEnd.Address, ended.exchange, time.Now().Add(patience))
}
