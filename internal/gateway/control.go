package gateway

import (
	"cmp"
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// Control is the control runtime of a gateway without its request path: the view of the
// fleet and its heartbeats, the demand reports, limits, admission, routing decisions
// and claims. Every Gateway contains one; a benchmark can run many of them in one process.
// It is safe for concurrent use.
type Control struct {
	settings    settings.Gateway
	identity    *v1.NodeIdentity
	clock       clock
	safeguards  safeguard.Set
	log         *logring.Log
	registry    *prometheus.Registry
	metrics     *gatewayMetrics
	dispatcher  *dispatcher
	view        *view
	controllers *controllers
	admitter    *admitter
	claimer     *claimer
	// guard keeps quarantined requests away from back ends that they would crash.
	guard *crashguard.Guard
	// keyCheckTimeout bounds the wait for the controllers to resolve an unknown API key.
	keyCheckTimeout time.Duration
}

// ControlOptions are the options of NewControl besides the settings.
type ControlOptions struct {
	// Log receives the log entries. Required; the code that creates it must run it.
	Log *logring.Log
	// Dial opens connections to controllers and probes whether back ends accept connections; nil means dialing.ToPeers and
	// TCP, both from source_address.
	Dial dialing.Dial
	// OnRevision, when not nil, is called with each configuration revision when it is applied
	// here. It must not block.
	OnRevision func(revision uint64)
	// Safeguards is the zero Set except in tests.
	Safeguards safeguard.Set
	// KeyCheckTimeout bounds the wait for the controllers to resolve an unknown API key; 0 means 2.5 s.
	KeyCheckTimeout time.Duration
}

// NewControl returns a control runtime that has not yet received anything from a controller.
func NewControl(config settings.Gateway, options ControlOptions) (*Control, error) {
	clock := newClock()
	admitter, err := newAdmitter(clock, config.Limits)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	registry, factory := metrics.NewRegistry(role, config.Name, config.Zone)
	identity := &v1.NodeIdentity{
		Name: config.Name, Zone: config.Zone, Address: config.Listen, Incarnation: uint64(time.Now().UnixNano()),
	}
	tlsConfig, err := loadTLSConfig(config, options.Log, factory)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	dialControllers := options.Dial
	if dialControllers == nil {
		if dialControllers, err = dialing.ToPeers(config.SourceAddress); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	controllers := newControllers(config, dialControllers, tlsConfig)
	counts := newGatewayMetrics(factory)
	guard, dispatcher, err := newGuardedDispatcher(clock, config, options, &permits{controllers: controllers, identity: identity, outcomes: counts.permits}, counts)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	view := newView(clock, identity, dispatcher)
	view.onRevision = counts.revisionListener(options.OnRevision)
	return &Control{
		settings:    config,
		identity:    identity,
		clock:       clock,
		safeguards:  options.Safeguards,
		log:         options.Log,
		registry:    registry,
		metrics:     counts,
		dispatcher:  dispatcher,
		view:        view,
		controllers: controllers,
		admitter:    admitter,
		claimer:     newClaimer(clock, controllers, identity, options.Safeguards),
		guard:       guard,

		keyCheckTimeout: cmp.Or(options.KeyCheckTimeout, defaultKeyCheckTimeout),
	}, nil
}

// Run runs the loops of the control runtime until the context ends.
func (c *Control) Run(ctx context.Context) {
	var group errgroup.Group
	for _, loop := range c.loops() {
		group.Go(func() error { loop(ctx); return nil })
	}
	_ = group.Wait() // the loops return no errors
	c.controllers.http.CloseIdleConnections()
}

// loops returns the loops of the control runtime; each runs in its own goroutine.
func (c *Control) loops() []func(context.Context) {
	return []func(context.Context){c.view.run, c.syncLoop, c.reportLoop, c.admissionLoop, c.guard.Run, c.dispatcher.path.run, c.watchSuspensions}
}

// watchSuspensions logs suspensions of the machine. The clock counts them, so that state known before a suspension
// has aged by its length.
func (c *Control) watchSuspensions(ctx context.Context) {
	c.clock.steady.Watch(ctx, func(suspended time.Duration) {
		c.log.Warn().Int64("suspended_ms", suspended.Milliseconds()).Msg("the machine was suspended")
	})
}

// Revision returns the revision of the applied configuration; 0 means none.
func (c *Control) Revision() uint64 { return c.view.snapshot.Load().Revision }
