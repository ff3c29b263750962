package engine

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// maxAcceptedOrders limits the accepted orders that an engine records for hazelbench.
const maxAcceptedOrders = 1 << 14

// AcceptedOrder is one order that an engine accepted; resends are omitted.
type AcceptedOrder struct {
	At    time.Time
	Order enginecontract.Order
	// Before is the engine's state when the order arrived.
	Before enginecontract.EngineState
}

// acceptedOrders records what an engine accepted over all its incarnations. It is safe for
// concurrent use; beyond maxAcceptedOrders the oldest orders are dropped.
type acceptedOrders struct {
	mutex sync.Mutex
	list  []AcceptedOrder
}

// add records an accepted order unless it is a resend of the current one.
func (a *acceptedOrders) add(order enginecontract.Order, before enginecontract.EngineState) {
	if order.Fence == before.OrderFence {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(a.list) == maxAcceptedOrders {
		a.list = a.list[1:]
	}
	a.list = append(a.list, AcceptedOrder{At: time.Now(), Order: order, Before: before})
}

// AcceptedOrders returns the orders that the engine accepted, in order of arrival.
func (e *Engine) AcceptedOrders() []AcceptedOrder {
	e.accepted.mutex.Lock()
	defer e.accepted.mutex.Unlock()
	return append([]AcceptedOrder(nil), e.accepted.list...)
}
