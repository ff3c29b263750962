package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
)

// role names the process in logs and metrics.
const role = "gateway"

// Gateway is one gateway process: a control runtime and the request path on it.
type Gateway struct {
	*Control
	upstream      *upstream.Client
	callers       *callers
	retries       *retryBudget
	inFlight      inFlight
	cancellations chan cancellation
	draining      atomic.Bool
	// connections are the callers' open connections.
	connections *closing.Set
}

// Run serves callers until the context ends, and then drains: it takes no new
// connections, finishes what is in flight within settings.DrainTimeout and returns.
func Run(ctx context.Context, config settings.Gateway, options Options) error {
	if options.Listen == nil {
		options.Listen = closing.Listen
	}
	if options.DrainDelay == 0 {
		options.DrainDelay = defaultNoticeTime
	}
	if options.Log == nil {
		options.Log = logring.New(config.Name, config.Log)
	}
	gateway, err := newGateway(config, options)
	if err != nil {
		return trace.Wrap(err)
	}
	callers, err := options.Listen("tcp", config.Listen)
	if err != nil {
		return trace.Wrap(err, "listen for callers on %s", config.Listen)
	}
	admin, err := options.Listen("tcp", config.AdminListen)
	if err != nil {
		_ = callers.Close()
		return trace.Wrap(err, "listen for administration on %s", config.AdminListen)
	}
	return gateway.run(ctx, callers, admin, options)
}

func newGateway(config settings.Gateway, options Options) (*Gateway, error) {
	client, err := upstream.NewClient(upstream.Options{SourceAddress: config.SourceAddress, Dial: options.Dial, Safeguards: options.Safeguards})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	control, err := NewControl(config, ControlOptions{
		Log: options.Log, Dial: options.Dial, OnRevision: options.OnRevision, Safeguards: options.Safeguards, KeyCheckTimeout: options.KeyCheckTimeout,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Gateway{
		Control:       control,
		upstream:      client,
		callers:       newCallers(),
		retries:       newRetryBudget(),
		inFlight:      inFlight{limit: int64(config.Limits.InFlight + config.Limits.QueueLength)},
		cancellations: make(chan cancellation, cancelQueueLength),
		connections:   closing.NewSet(),
	}, nil
}

// run starts the duties, waits for the context and drains.
func (g *Gateway) run(ctx context.Context, callers, admin net.Listener, options Options) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	for _, duty := range append(g.duties(), g.callers.run, g.log.Run) {
		group.Go(func() error { duty(background); return nil })
	}
	for range cancelWorkers {
		group.Go(func() error { g.cancelLoop(background); return nil })
	}
	group.Go(func() error {
		server := metrics.AdminServer{Registry: g.registry, Log: g.log, Ready: g.ready}
		return trace.Wrap(server.Serve(background, admin))
	})
	server := g.newServer()
	group.Go(func() error {
		return trace.Wrap(server.Serve(&stallListener{Listener: callers, limit: g.settings.Limits.WriteTimeout, set: g.connections}))
	})
	if options.Ready != nil {
		close(options.Ready)
	}
	select {
	case <-ctx.Done():
	case <-background.Done(): // a duty failed
	}
	until := time.Now().Add(options.DrainDelay + g.settings.DrainTimeout + endTime)
	drained := g.drain(server, callers, options.DrainDelay)
	recorded := g.recordOutcomes(until)
	stop()
	g.upstream.Close()
	return trace.NewAggregate(group.Wait(), drained, recorded)
}

// defaultNoticeTime is how long a stopping gateway still takes requests, so that those who send
// to it learn that it leaves before it closes its port.
const defaultNoticeTime = 500 * time.Millisecond

// endTime bounds the wait for interrupted streams to end, and for outcomes to be recorded.
const endTime = 2 * time.Second

// quietTime is how long nothing must have come on a resting connection before a stopping gateway ends it.
// Callers that keep connections in use are told by an answer meanwhile that theirs ends.
const quietTime = 2 * time.Second

// drain stops taking requests and waits for those that have reached the gateway, on whatever connection.
// Streams that outlast drain_timeout end with an error and a true verdict, as far as endTime allows.
func (g *Gateway) drain(server *fasthttp.Server, callers net.Listener, notice time.Duration) error {
	began := time.Now()
	g.log.Info().Str(events.FieldEvent, string(events.GatewayStopping)).Int("connections", g.connections.Len()).Send()
	g.draining.Store(true)
	g.view.offer(leave{})
	time.Sleep(notice)
	limited, cancel := context.WithTimeout(context.Background(), g.settings.DrainTimeout)
	defer cancel()
	if err := closing.CloseWhenEmpty(callers, g.settings.DrainTimeout); err != nil {
		g.log.Warn().Err(err).Msg("the callers' port did not close as it should")
	}
	portClosed := time.Since(began)
	clean := g.connections.CloseIdle(limited, began, quietTime)
	if !clean {
		g.callers.interruptAll(errStopping)
	}
	ending, cancel := context.WithTimeout(context.Background(), endTime)
	defer cancel()
	_ = server.ShutdownWithContext(ending) // what is open then is told below
	g.log.Info().Str(events.FieldEvent, string(events.GatewayStopped)).Bool("clean", clean).Dur("port_closed_ms", portClosed).
		Dur("took_ms", time.Since(began)).Int("connections", g.connections.Len()).Send()
	if !clean {
		return trace.LimitExceeded("requests were still in flight after drain_timeout (%s)", g.settings.DrainTimeout)
	}
	return nil
}

// recordOutcomes waits until the outcomes of claims are recorded.
func (g *Gateway) recordOutcomes(until time.Time) error {
	limited, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if !g.claimer.wait(limited) {
		return trace.LimitExceeded("outcomes of claims were not recorded; resends will be told that they may have run")
	}
	return nil
}

// ready tells whether callers should be sent here.
func (g *Gateway) ready() error {
	switch {
	case g.draining.Load():
		return trace.ConnectionProblem(nil, "the gateway is stopping")
	case g.view.snapshot.Load().Revision == 0:
		return trace.ConnectionProblem(nil, "no controller has given a configuration yet")
	case !g.view.knowsBackEnds.Load():
		return trace.ConnectionProblem(nil, "no controller has said yet which back ends serve")
	default:
		return nil
	}
}
