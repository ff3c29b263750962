package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/logring"
)

const (
	// dutyQueue bounds the calls that wait; the Core has one under way for each matter.
	dutyQueue = 16
	// dutyAnswerWait is how long beyond its life a call is waited for: what has reached the platform
	// may be answered late.
	dutyAnswerWait = 2 * time.Second
)

// dutyCaller makes the calls of the platform's singleton duties. A call whose time is over is not
// sent: a successor may call by then.
type dutyCaller struct {
	tell    func(ctx context.Context, client *http.Client, report UsageReport) (duty.Outcome, error)
	dial    dialing.Dial
	now     func() time.Duration
	queue   chan control.CallUsage
	deliver func(context.Context, control.Input) error
	log     *logring.Log
}

func newDutyCaller(site *Site, dial dialing.Dial, now func() time.Duration, deliver func(context.Context, control.Input) error, log *logring.Log) *dutyCaller {
	return &dutyCaller{tell: site.TellUsage, dial: dial, now: now, queue: make(chan control.CallUsage, dutyQueue), deliver: deliver, log: log}
}

// accept queues a call; it never blocks and reports false when the queue is full.
func (d *dutyCaller) accept(call control.CallUsage) bool {
	select {
	case d.queue <- call:
		return true
	default:
		return false
	}
}

// run makes calls until the context ends.
func (d *dutyCaller) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-d.queue:
			d.carryOut(ctx, call)
		}
	}
}

func (d *dutyCaller) carryOut(ctx context.Context, call control.CallUsage) {
	outcome, err := d.send(ctx, call)
	requests := uint64(0)
	for _, count := range call.Counts {
		requests += count
	}
	d.log.Info().Str(events.FieldEvent, string(events.UsageTold)).Int64("window", int64(call.Window)).Int("tenants", len(call.Counts)).
		Uint64("requests", requests).Uint64("fence", call.Fence).Stringer("outcome", outcome).Bool("late", call.Late).Err(err).Send()
	answered := control.DutyAnswered{Matter: control.MatterUsage, Window: call.Window, Fence: call.Fence, Outcome: outcome}
	_ = d.deliver(ctx, answered) // fails only when the process stops
}

// send makes the call within its time, on a connection of its own.
func (d *dutyCaller) send(ctx context.Context, call control.CallUsage) (duty.Outcome, error) {
	remaining := func() time.Duration { return call.NotAfter - d.now() }
	if remaining() <= 0 {
		return duty.Refused, trace.Wrap(dialing.ErrExpired)
	}
	limited, cancel := context.WithTimeout(ctx, remaining()+dutyAnswerWait)
	defer cancel()
	return d.tell(limited, expiringClient(d.dial, remaining), UsageReport{
		Window: call.Window, Counts: call.Counts, Holder: call.Holder, Fence: call.Fence,
	})
}

// expiringClient is a client for one call that must not arrive late.
func expiringClient(dial dialing.Dial, remaining func() time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: dialing.Expiring(dial, remaining), DisableKeepAlives: true}}
}
