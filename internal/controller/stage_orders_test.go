package controller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

func newTestOrderer(now func() time.Duration, order func(context.Context, *http.Client, StageOrder) (StageResult, error)) (*stageOrderer, chan control.Input) {
	delivered := make(chan control.Input, stageOrderQueue)
	deliver := func(_ context.Context, input control.Input) error { delivered <- input; return nil }
	return newStageOrderer(&Site{OrderStage: order}, nil, now, deliver, logring.New("c1", settings.Log{RingEntries: 16})), delivered
}

// An order that has expired in the queue is not sent, and the Core receives StageRefused.
func TestExpiredStageOrderIsNotSent(t *testing.T) {
	for name, row := range map[string]struct {
		now  time.Duration
		sent int
		want control.StageOutcome
	}{
		"in time":       {now: 9 * time.Second, sent: 1, want: control.StageAccepted},
		"at its expiry": {now: 10 * time.Second, want: control.StageRefused},
		"long after it": {now: time.Hour, want: control.StageRefused},
		"just too late": {now: 10*time.Second + 1, want: control.StageRefused},
	} {
		t.Run(name, func(t *testing.T) {
			sent := 0
			orderer, delivered := newTestOrderer(func() time.Duration { return row.now },
				func(ctx context.Context, _ *http.Client, _ StageOrder) (StageResult, error) {
					sent++
					_, bounded := ctx.Deadline()
					require.True(t, bounded)
					return StageResult{Outcome: control.StageAccepted}, nil
				})
			orderer.execute(t.Context(), control.ChangeStage{BackEnd: &v1.ListedBackEnd{Id: "engine"}, NotAfter: 10 * time.Second})
			require.Equal(t, row.sent, sent)
			require.Equal(t, control.StageChangeFinished{ID: "engine", Outcome: row.want}, <-delivered)
		})
	}
}

// An engine that has asked for a backoff is not called until the backoff ends; the Core receives StageRefused meanwhile.
func TestAnEngineThatAsksForRestIsNotOrdered(t *testing.T) {
	now, sent := time.Duration(0), 0
	orderer, delivered := newTestOrderer(func() time.Duration { return now },
		func(context.Context, *http.Client, StageOrder) (StageResult, error) {
			sent++
			return StageResult{Outcome: control.StageRefused, Directives: backpressure.Directives{Backoff: 3 * time.Second}}, nil
		})
	order := func(engine string) {
		orderer.execute(t.Context(), control.ChangeStage{BackEnd: &v1.ListedBackEnd{Id: engine}, NotAfter: time.Hour})
		require.Equal(t, control.StageChangeFinished{ID: engine, Outcome: control.StageRefused}, <-delivered)
	}
	order("rests")
	require.Equal(t, 1, sent)
	now = 3*time.Second - 1
	order("rests")
	require.Equal(t, 1, sent)
	order("another")
	require.Equal(t, 2, sent)
	now = 3 * time.Second
	order("rests")
	require.Equal(t, 3, sent)
}

// An engine that sets a limit for all processes together gets one order within the window in which it counts requests.
// Guards against orders that were sent as often as the plan wanted them, regardless of the engine's limit.
func TestAnEngineThatNamesALimitIsOrderedSeldom(t *testing.T) {
	now, sent := time.Duration(0), 0
	orderer, delivered := newTestOrderer(func() time.Duration { return now },
		func(context.Context, *http.Client, StageOrder) (StageResult, error) {
			sent++
			return StageResult{Outcome: control.StageAccepted, Directives: backpressure.Directives{Limit: backpressure.Limit{IsSet: true, PerSecond: 1}}}, nil
		})
	order := func() {
		orderer.execute(t.Context(), control.ChangeStage{BackEnd: &v1.ListedBackEnd{Id: "limited"}, NotAfter: time.Hour})
		<-delivered
	}
	for ; now < 20*time.Second; now += time.Second {
		order()
	}
	require.Equal(t, 5, sent)
}
