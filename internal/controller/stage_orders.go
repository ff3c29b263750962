package controller

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// stageOrderWorkers is the number of concurrent orders, so that an engine that does not
	// answer delays no orders to others.
	stageOrderWorkers = 8
	// stageOrderQueue limits the orders that wait; the Core repeats lost orders.
	stageOrderQueue = 64
)

// stageOrderer sends orders to listed engines. It does not send an expired order: engines may
// accept the fence of a former leader, so no part of an order may reach them once the next
// leader may send orders.
type stageOrderer struct {
	order   func(ctx context.Context, client *http.Client, order StageOrder) (StageResult, error)
	dial    dialing.Dial
	now     func() time.Duration
	queue   chan control.ChangeStage
	deliver func(context.Context, control.Input) error
	log     *logring.Log

	mutex sync.Mutex
	// signals holds the backpressure directives that engines have sent to this process.
	signals *backpressure.Registry
}

func newStageOrderer(site *Site, dial dialing.Dial, now func() time.Duration, deliver func(context.Context, control.Input) error, log *logring.Log) *stageOrderer {
	return &stageOrderer{
		order: site.OrderStage, dial: dial, now: now,
		queue: make(chan control.ChangeStage, stageOrderQueue), deliver: deliver, log: log,
		signals: backpressure.NewRegistry(),
	}
}

// enqueue queues an order; it never blocks and reports false when the queue is full.
func (s *stageOrderer) enqueue(order control.ChangeStage) bool {
	select {
	case s.queue <- order:
		return true
	default:
		return false
	}
}

// run executes queued orders until the context ends.
func (s *stageOrderer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-s.queue:
			s.execute(ctx, order)
		}
	}
}

func (s *stageOrderer) execute(ctx context.Context, change control.ChangeStage) {
	order := StageOrder{
		Engine: serving.BackEndFromProto(change.BackEnd), Stage: serving.StageOfRole(change.Role),
		Holder: change.Holder, Fence: change.Fence,
	}
	outcome, err := s.send(ctx, order, change.NotAfter)
	s.log.Info().Str(events.FieldEvent, string(events.StageOrdered)).Str("engine", order.Engine.ID).Stringer("role", change.Role).
		Str("reason", string(change.Reason)).Uint64("fence", order.Fence).Bool("taken", outcome == control.StageAccepted).Bool("lost", outcome == control.StageLost).Err(err).Send()
	_ = s.deliver(ctx, control.StageChangeFinished{ID: order.Engine.ID, Outcome: outcome}) // fails only when the process stops
}

// errEngineInBackoff is the reason for not calling an engine that has asked for a backoff.
var errEngineInBackoff = errors.New("the engine has asked for a backoff; the core will send the order again later")

// send sends the order before its expiry, on new connections. It does not call an engine in
// backoff: the Core repeats the order later.
func (s *stageOrderer) send(ctx context.Context, order StageOrder, notAfter time.Duration) (control.StageOutcome, error) {
	if s.inBackoff(order.Engine.ID) {
		return control.StageRefused, trace.Wrap(errEngineInBackoff)
	}
	remaining := func() time.Duration { return notAfter - s.now() }
	if remaining() <= 0 {
		return control.StageRefused, trace.Wrap(dialing.ErrExpired)
	}
	limited, cancel := context.WithTimeout(ctx, remaining())
	defer cancel()
	result, err := s.order(limited, expiringClient(s.dial, remaining), order)
	s.recordDirectives(order.Engine.ID, result.Directives)
	return result.Outcome, err
}

// inBackoff reports whether an engine has asked for a backoff that has not ended.
func (s *stageOrderer) inBackoff(identity string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.signals.SignalsOf(identity).RemainingBackoff(s.now()) > 0
}

// limitedOrderInterval is the shortest interval between two orders to an engine that sets a limit for all processes
// together. It is the window in which the engine counts requests. An order takes two calls; the engine tolerates five
// requests beyond the limit in a window, which covers them.
const limitedOrderInterval = 4 * time.Second

// recordDirectives records an engine's directives and removes the engines whose backoff is over.
func (s *stageOrderer) recordDirectives(identity string, directives backpressure.Directives) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	backoff := directives.Backoff
	if directives.Limit.IsSet { // relays use the rest of the limit: an order takes two calls, one to read the report
		backoff = max(backoff, limitedOrderInterval)
	}
	s.signals.SignalsOf(identity).ExtendBackoff(s.now(), backoff)
	s.signals.RemoveUnlisted(s.now(), func(string) bool { return false })
}
