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

// role is the name of the process type in logs and metrics.
const role = "gateway"

// Gateway is one gateway process: a control runtime with the request path.
type Gateway struct {
	*Control
	upstream      *upstream.Client
	callerWatcher *callerWatcher
	retries       *retryBudget
	inFlight      inFlight
	cancellations chan cancellation
	draining      atomic.Bool
	// stopStartedAt is when draining became true, as a time.Duration of the clock.
	stopStartedAt atomic.Int64
	// connections holds the callers' open connections.
	connections *closing.Set
}

// Run serves callers until the context ends, and then drains: it accepts requests for another options.DrainDelay,
// closes its port, finishes the requests in flight within config.DrainTimeout and returns.
func Run(ctx context.Context, config settings.Gateway, options Options) error {
	if options.Listen == nil {
		options.Listen = closing.Listen
	}
	if options.DrainDelay == 0 {
		options.DrainDelay = defaultDrainDelay
	}
	if options.Log == nil {
		options.Log = logring.New(config.Name, config.Log)
	}
	gateway, err := newGateway(config, options)
	if err != nil {
		return trace.Wrap(err)
	}
	callerListener, err := options.Listen("tcp", config.Listen)
	if err != nil {
		return trace.Wrap(err, "listen for callers on %s", config.Listen)
	}
	adminListener, err := options.Listen("tcp", config.AdminListen)
	if err != nil {
		_ = callerListener.Close()
		return trace.Wrap(err, "listen for administration on %s", config.AdminListen)
	}
	return gateway.run(ctx, callerListener, adminListener, options)
}

func newGateway(config settings.Gateway, options Options) (*Gateway, error) {
	control, err := NewControl(config, ControlOptions{
		Log: options.Log, Dial: options.Dial, OnRevision: options.OnRevision, Safeguards: options.Safeguards, KeyCheckTimeout: options.KeyCheckTimeout,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	path := control.dispatcher.path
	client, err := upstream.NewClient(upstream.Options{Dial: path.dial, AnswerBytes: config.Limits.AnswerBytes, Safeguards: options.Safeguards})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	path.closeIdle = client.Close
	connections := closing.NewSet()
	connections.AnswerOnClose(closingAnswer())
	return &Gateway{
		Control:       control,
		upstream:      client,
		callerWatcher: newCallerWatcher(),
		retries:       newRetryBudget(),
		inFlight:      inFlight{limit: int64(config.Limits.InFlight + config.Limits.QueueLength)},
		cancellations: make(chan cancellation, cancelQueueLength),
		connections:   connections,
	}, nil
}

// run starts the background loops, waits for the context to end and drains.
func (g *Gateway) run(ctx context.Context, callerListener, adminListener net.Listener, options Options) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	for _, loop := range append(g.loops(), g.callerWatcher.run, g.log.Run) {
		group.Go(func() error { loop(background); return nil })
	}
	for range cancelWorkers {
		group.Go(func() error { g.cancelLoop(background); return nil })
	}
	group.Go(func() error {
		server := metrics.AdminServer{Registry: g.registry, Log: g.log, Ready: g.ready}
		return trace.Wrap(server.Serve(background, adminListener))
	})
	server := g.newServer()
	group.Go(func() error {
		return trace.Wrap(server.Serve(&stallListener{Listener: callerListener, limit: g.settings.Limits.WriteTimeout, set: g.connections}))
	})
	if options.Ready != nil {
		close(options.Ready)
	}
	select {
	case <-ctx.Done():
	case <-background.Done(): // a background loop failed
	}
	until := time.Now().Add(options.DrainDelay + g.settings.DrainTimeout + shutdownTimeout)
	drained := g.drain(server, callerListener, options.DrainDelay)
	recorded := g.recordOutcomes(until)
	stop()
	g.upstream.Close()
	return trace.NewAggregate(group.Wait(), drained, recorded)
}

// defaultDrainDelay is how long a stopping gateway still accepts requests, so that callers can learn
// that it is leaving before it closes its port.
const defaultDrainDelay = 500 * time.Millisecond

// shutdownTimeout bounds the wait for interrupted streams to end, and for outcomes to be recorded.
const shutdownTimeout = 2 * time.Second

// idleQuietTime is how long an idle connection must have received nothing before a stopping gateway closes it.
// On a connection in use, the next answer announces to the caller that the connection will be closed.
const idleQuietTime = 2 * time.Second

// drain stops accepting requests and waits for those that have reached the gateway on any connection. Streams that
// exceed drain_timeout end with an error and a correct verdict, within shutdownTimeout.
func (g *Gateway) drain(server *fasthttp.Server, callerListener net.Listener, drainDelay time.Duration) error {
	began := time.Now()
	g.log.Info().Str(events.FieldEvent, string(events.GatewayStopping)).Int("connections", g.connections.Len()).Send()
	g.stopStartedAt.Store(int64(g.clock.now()))
	g.draining.Store(true)
	g.view.trySend(markLeaving{})
	time.Sleep(drainDelay)
	limited, cancel := context.WithTimeout(context.Background(), g.settings.DrainTimeout)
	defer cancel()
	if err := closing.CloseWhenEmpty(callerListener, g.settings.DrainTimeout); err != nil {
		g.log.Warn().Err(err).Msg("cannot close the callers' port cleanly; connections not accepted yet may be reset")
	}
	portClosed := time.Since(began)
	isClean := g.connections.CloseIdle(limited, began, idleQuietTime)
	if !isClean {
		g.callerWatcher.interruptAll(errStopping)
	}
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = server.ShutdownWithContext(shutdown) // connections still open are logged below
	g.log.Info().Str(events.FieldEvent, string(events.GatewayStopped)).Bool("clean", isClean).Dur("port_closed_ms", portClosed).
		Dur("took_ms", time.Since(began)).Int("connections", g.connections.Len()).Send()
	if !isClean {
		return trace.LimitExceeded("requests were still in flight after drain_timeout (%s)", g.settings.DrainTimeout)
	}
	return nil
}

// recordOutcomes waits until the outcomes of claims are recorded, at most until the given time.
func (g *Gateway) recordOutcomes(until time.Time) error {
	limited, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if !g.claimer.waitForFinishes(limited) {
		return trace.LimitExceeded("outcomes of claims were not recorded; resends will be answered that they may have run")
	}
	return nil
}

// ready returns nil when callers may be sent to this gateway, else the reason why not.
func (g *Gateway) ready() error {
	switch {
	case g.draining.Load():
		return trace.ConnectionProblem(nil, "the gateway is stopping")
	case g.view.snapshot.Load().Revision == 0:
		return trace.ConnectionProblem(nil, "no controller has given a configuration yet")
	case !g.view.hasDirectory.Load():
		return trace.ConnectionProblem(nil, "no controller has said yet which back ends serve")
	default:
		return nil
	}
}
