package controller

import (
	"context"
	"math"
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
	// dutyWorkers is the number of concurrent calls. The Core has at most one call in flight for each subject (see
	// duty.Subject), so that a call without an answer does not delay those on other subjects.
	dutyWorkers = 8
	// dutyQueue limits the calls that wait for a worker.
	dutyQueue = 64
	// dutyAnswerWait is how long after a call's expiry its answer is awaited: a call that reached
	// the platform in time may be answered late.
	dutyAnswerWait = 2 * time.Second
)

// dutyCaller makes the calls of the platform's singleton duties. It does not send an expired call,
// because the next leader may call the platform from then on.
type dutyCaller struct {
	site    *Site
	dial    dialing.Dial
	now     func() time.Duration
	queue   chan control.Output
	deliver func(context.Context, control.Input) error
	log     *logring.Log
}

func newDutyCaller(site *Site, dial dialing.Dial, now func() time.Duration, deliver func(context.Context, control.Input) error, log *logring.Log) *dutyCaller {
	return &dutyCaller{site: site, dial: dial, now: now, queue: make(chan control.Output, dutyQueue), deliver: deliver, log: log}
}

// enqueue queues a call; it never blocks and reports false when the queue is full.
func (d *dutyCaller) enqueue(call control.Output) bool {
	select {
	case d.queue <- call:
		return true
	default:
		return false
	}
}

// run executes queued calls until the context ends.
func (d *dutyCaller) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-d.queue:
			_ = d.deliver(ctx, d.execute(ctx, call)) // fails only when the process stops
		}
	}
}

// execute makes a call and returns its outcome as an input for the Core.
func (d *dutyCaller) execute(ctx context.Context, call control.Output) control.Input {
	switch call := call.(type) {
	case control.OrderReplicas:
		return d.orderReplicas(ctx, call)
	case control.DeliverUsage:
		return d.reportUsage(ctx, call)
	default:
		d.log.Error().Type("call", call).Msg("unknown duty call from the core; the call is ignored")
		return control.Tick{}
	}
}

func (d *dutyCaller) reportUsage(ctx context.Context, call control.DeliverUsage) control.Input {
	outcome, err := d.send(ctx, call.DutyCall, func(ctx context.Context, client *http.Client) (duty.Outcome, error) {
		return d.site.ReportUsage(ctx, client, UsageReport{Window: call.Window, Counts: call.Counts, Holder: call.Holder, Fence: call.Fence})
	})
	requests := uint64(0)
	for _, count := range call.Counts {
		requests += count
	}
	d.log.Info().Str(events.FieldEvent, string(events.UsageDelivered)).Int64("window", int64(call.Window)).Int("tenants", len(call.Counts)).
		Uint64("requests", requests).Uint64("fence", call.Fence).Stringer("outcome", outcome).Bool("late", call.Late).Err(err).Send()
	return control.UsageDelivered{Call: call, Outcome: outcome}
}

func (d *dutyCaller) orderReplicas(ctx context.Context, call control.OrderReplicas) control.Input {
	outcome, err := d.send(ctx, call.DutyCall, func(ctx context.Context, client *http.Client) (duty.Outcome, error) {
		return d.site.OrderReplicas(ctx, client, ReplicaOrder{Group: call.Group, Desired: call.Desired, Holder: call.Holder, Fence: call.Fence})
	})
	d.log.Info().Str(events.FieldEvent, string(events.ReplicasOrdered)).Str("service", call.Group.Service).Str("zone", call.Group.Zone).
		Bool("spot", call.Group.Spot).Int("desired", call.Desired).Int("listed", call.Listed).Float64("work", math.Round(call.Work)).Uint64("fence", call.Fence).
		Stringer("outcome", outcome).Err(err).Send()
	return control.ReplicaOrderFinished{Order: call, Outcome: outcome}
}

// send makes a call before its expiry, on a new connection.
func (d *dutyCaller) send(ctx context.Context, call control.DutyCall, exchange func(context.Context, *http.Client) (duty.Outcome, error)) (duty.Outcome, error) {
	remaining := func() time.Duration { return call.NotAfter - d.now() }
	if remaining() <= 0 {
		return duty.Refused, trace.Wrap(dialing.ErrExpired)
	}
	limited, cancel := context.WithTimeout(ctx, remaining()+dutyAnswerWait)
	defer cancel()
	return exchange(limited, expiringClient(d.dial, remaining))
}

// expiringClient returns an HTTP client for one call that must not arrive after its expiry; remaining returns the time
// left until then.
func expiringClient(dial dialing.Dial, remaining func() time.Duration) *http.Client {
	transport := newOutsideTransport(dialing.WithExpiry(dial, remaining))
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport}
}
