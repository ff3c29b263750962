package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// stageOrderTimeout bounds one order to a listed engine.
	stageOrderTimeout = 1500 * time.Millisecond
	// stageOrderQueue bounds the orders that wait; the Core repeats those that are lost.
	stageOrderQueue = 64
)

// stageOrderer carries orders to listed engines, each in a goroutine of its own.
type stageOrderer struct {
	order   func(ctx context.Context, client *http.Client, order StageOrder) (control.StageOutcome, error)
	client  *http.Client
	queue   chan control.ChangeStage
	deliver func(context.Context, control.Input) error
	log     *logring.Log
}

func newStageOrderer(site *Site, dial dialing.Dial, deliver func(context.Context, control.Input) error, log *logring.Log) *stageOrderer {
	return &stageOrderer{
		order:  site.OrderStage,
		client: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}, Timeout: stageOrderTimeout},
		queue:  make(chan control.ChangeStage, stageOrderQueue), deliver: deliver, log: log,
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
		Engine: serving.BackEndFromListed(change.BackEnd), Stage: serving.StageOfRole(change.Role),
		Holder: change.Holder, Fence: change.Fence,
	}
	outcome, err := s.order(ctx, s.client, order)
	s.log.Info().Str(events.FieldEvent, string(events.StageOrdered)).Str("engine", order.Engine.ID).Stringer("role", change.Role).
		Uint64("fence", order.Fence).Bool("taken", outcome == control.StageTaken).Bool("lost", outcome == control.StageLost).Err(err).Send()
	_ = s.deliver(ctx, control.StageOrdered{ID: order.Engine.ID, Outcome: outcome}) // fails only when the process stops
}
