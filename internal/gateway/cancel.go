package gateway

import (
	"context"
	"time"
)

const (
	cancelQueueLength = 1024
	cancelWorkers     = 4
)

// cancellation is one exchange to be ended at its engine.
type cancellation struct{ address, exchange string }

// cancelLater asks for an exchange to be ended. When the queue is full it is left to the
// engine, which ends an exchange without a reader by itself.
func (g *Gateway) cancelLater(address, exchange string) {
	select {
	case g.cancellations <- cancellation{address: address, exchange: exchange}:
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
			g.upstream.Cancel(each.address, each.exchange, time.Now().Add(time.Second))
		}
	}
}
