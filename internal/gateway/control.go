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
// fleet and its heartbeats, the demand reports, the limits, admission, routing decisions
// and claims. A Gateway runs on one; the bench runs many of them alone in one process.
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
	// guard keeps requests away from back ends that they would end.
	guard *crashguard.Guard
	// keyCheckTimeout bounds the wait for controllers to say whose key it is.
	keyCheckTimeout time.Duration
}

// ControlOptions are what a process may give NewControl besides the settings.
type ControlOptions struct {
	// Log receives the log. Required; whoever made it runs it.
	Log *logring.Log
	// Dial opens the connections to controllers, and looks whether back ends serve; nil means TCP from
	// source_address.
	Dial dialing.Dial
	// OnRevision, when not nil, is called with each revision as it comes into force
	// here; it must not block.
	OnRevision func(revision uint64)
	// Safeguards is the zero Set but in tests.
	Safeguards safeguard.Set
	// KeyCheckTimeout bounds the wait for controllers to say whose key it is; 0 means 2.5 s.
	KeyCheckTimeout time.Duration
}

// NewControl returns a control runtime that has heard of no controller.
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
	encryption, err := loadEncryption(config, options.Log, factory)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	controllers := newControllers(config, options.Dial, encryption)
	counts := newGatewayMetrics(factory)
	guard, dispatcher, err := newGuardedDispatcher(clock, config, options, &permits{controllers: controllers, identity: identity, outcomes: counts.permits}, counts)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	view := newView(clock, identity, dispatcher)
	view.onRevision = counts.tellRevision(options.OnRevision)
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

// Run carries out the control duties until the context ends.
func (c *Control) Run(ctx context.Context) {
	var group errgroup.Group
	for _, duty := range c.duties() {
		group.Go(func() error { duty(ctx); return nil })
	}
	_ = group.Wait() // no duty fails
	c.controllers.http.CloseIdleConnections()
}

// duties are the loops of the control runtime, one goroutine each.
func (c *Control) duties() []func(context.Context) {
	return []func(context.Context){c.view.run, c.syncLoop, c.reportLoop, c.admissionLoop, c.guard.Run, c.watchSuspensions}
}

// watchSuspensions writes down that the machine was suspended. What is believed has aged by then, since
// the clock counts suspensions.
func (c *Control) watchSuspensions(ctx context.Context) {
	c.clock.steady.Watch(ctx, func(suspended time.Duration) {
		c.log.Warn().Int64("suspended_ms", suspended.Milliseconds()).Msg("the machine was suspended")
	})
}

// Revision returns the revision of the configuration in force; 0 is none.
func (c *Control) Revision() uint64 { return c.view.snapshot.Load().Revision }
