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
	// stageOrderWorkers is how many orders are under way at once, so that an engine that is
	// silent does not hold up the orders to others.
	stageOrderWorkers = 8
	// stageOrderQueue bounds the orders that wait; the Core repeats those that are lost.
	stageOrderQueue = 64
)

// stageOrderer carries orders to listed engines. An order whose time is over is not sent:
// engines may take the fence of a former leader, so nothing of it may reach them once its
// successor may order.
type stageOrderer struct {
	order   func(ctx context.Context, client *http.Client, order StageOrder) (StageResult, error)
	dial    dialing.Dial
	now     func() time.Duration
	queue   chan control.ChangeStage
	deliver func(context.Context, control.Input) error
	log     *logring.Log

	mutex sync.Mutex
	// signals are what engines have asked of this process.
	signals *backpressure.Registry
}

func newStageOrderer(site *Site, dial dialing.Dial, now func() time.Duration, deliver func(context.Context, control.Input) error, log *logring.Log) *stageOrderer {
	return &stageOrderer{
		order: site.OrderStage, dial: dial, now: now,
		queue: make(chan control.ChangeStage, stageOrderQueue), deliver: deliver, log: log,
		signals: backpressure.NewRegistry(),
	}
}

// accept queues an order; it never blocks and reports false when the queue is full.
func (s *stageOrderer) accept(order control.ChangeStage) bool {
	select {
	case s.queue <- order:
		return true
	default:
		return false
	}
}

// run carries out orders until the context ends.
func (s *stageOrderer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-s.queue:
			s.carryOut(ctx, order)
		}
	}
}

func (s *stageOrderer) carryOut(ctx context.Context, change control.ChangeStage) {
	order := StageOrder{
		Engine: serving.BackEndFromProto(change.BackEnd), Stage: serving.StageOfRole(change.Role),
		Holder: change.Holder, Fence: change.Fence,
	}
	outcome, err := s.send(ctx, order, change.NotAfter)
	s.log.Info().Str(events.FieldEvent, string(events.StageOrdered)).Str("engine", order.Engine.ID).Stringer("role", change.Role).
		Uint64("fence", order.Fence).Bool("taken", outcome == control.StageAccepted).Bool("lost", outcome == control.StageLost).Err(err).Send()
	_ = s.deliver(ctx, control.StageChangeFinished{ID: order.Engine.ID, Outcome: outcome}) // fails only when the process stops
}

// errEngineRests tells that an engine has asked not to be called for now.
var errEngineRests = errors.New("the engine has asked to be left alone for now")

// send sends the order within its time, on connections of its own. An engine that has asked for rest is not
// called: the Core orders it again later.
func (s *stageOrderer) send(ctx context.Context, order StageOrder, notAfter time.Duration) (control.StageOutcome, error) {
	if s.rests(order.Engine.ID) {
		return control.StageRefused, trace.Wrap(errEngineRests)
	}
	remaining := func() time.Duration { return notAfter - s.now() }
	if remaining() <= 0 {
		return control.StageRefused, trace.Wrap(dialing.ErrExpired)
	}
	limited, cancel := context.WithTimeout(ctx, remaining())
	defer cancel()
	answer, err := s.order(limited, expiringClient(s.dial, remaining), order)
	s.noteAsked(order.Engine.ID, answer.Directives)
	return answer.Outcome, err
}

// rests reports whether an engine has asked not to be called for now.
func (s *stageOrderer) rests(identity string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.signals.SignalsOf(identity).RemainingBackoff(s.now()) > 0
}

// limitedOrderPause is the least time between two orders to an engine that names a limit for all processes together: the
// span over which it looks at what it gets. Its tolerance of five requests beyond the limit covers the two calls of one
// order in each.
const limitedOrderPause = 4 * time.Second

// noteAsked takes what an engine has asked for, and forgets the engines whose rest is over.
func (s *stageOrderer) noteAsked(identity string, asked backpressure.Directives) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rest := asked.Backoff
	if asked.Limit.IsSet { // relays have the rest of what it allows: its order and the look before it are two calls
		rest = max(rest, limitedOrderPause)
	}
	s.signals.SignalsOf(identity).ExtendBackoff(s.now(), rest)
	s.signals.RemoveUnlisted(s.now(), func(string) bool { return false })
}
