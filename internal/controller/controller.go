package controller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/hazelpitch/hazelpitch/internal/bootclock"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/peercontact"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/storage"
)

// transferTimeout is how long a stopping leader waits for another voter to take over.
const transferTimeout = 2 * time.Second

// statusInterval is the interval at which the metrics are updated from the Core's status.
const statusInterval = 100 * time.Millisecond

// Run runs a controller until the context ends. It then transfers leadership,
// finishes the calls in flight and closes the data directory. It returns an error when
// the settings cannot work on this machine or when the disk or a listener fails.
func Run(ctx context.Context, config settings.Controller, options Options) error {
	options = options.withDefaults()
	controller, err := open(config, options)
	if err != nil {
		return trace.Wrap(err)
	}
	defer controller.close()
	return trace.Wrap(controller.run(ctx))
}

// controller is one running process.
type controller struct {
	config      settings.Controller
	log         *logring.Log
	disk        *storage.Storage
	core        *control.Core
	loop        *loop
	calls       *calls
	engines     *engines
	machines    *machineReader
	tlsConfigs  tlsConfigs
	registry    *prometheus.Registry
	instruments instruments
	// dial opens connections to systems outside, peerDial those to other controllers.
	dial, peerDial dialing.Dial
	// contact records the contact with other controllers.
	contact       *peercontact.Record
	listener      net.Listener
	adminListener net.Listener
	// peerClient forwards calls to other controllers.
	peerClient       *http.Client
	site             *Site
	listing          *listingReader
	stageOrders      *stageOrderer
	duties           *dutyCaller
	operatorListener net.Listener
	// haltErrors receives the reason why this controller must stop.
	haltErrors chan error
	// bootClock is the clock of the Core's steps; it also counts the time while the machine is suspended.
	bootClock *bootclock.Clock
}

// open acquires the resources that may be unavailable, before any goroutine starts.
func open(config settings.Controller, options Options) (*controller, error) {
	registry, factory := metrics.NewRegistry("controller", config.Name, config.Zone)
	c := &controller{config: config, log: options.Log, site: options.Site, registry: registry, instruments: newInstruments(factory), calls: newCalls(), haltErrors: make(chan error, 1), bootClock: bootclock.New(0)}
	c.contact = peercontact.NewRecord(c.bootClock.Now)
	factory.Register(func(prefix string) prometheus.Collector { return peercontact.NewCollector(c.contact, prefix) })
	steps := startSteps{log: options.Log, now: c.bootClock.Now}
	err := steps.run("load the certificates", func() (err error) {
		c.tlsConfigs, err = loadTLSConfigs(config, options.Log, factory)
		return err
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := c.openDials(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := c.openCore(steps); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := c.openListeners(steps, options); err != nil {
		c.close()
		return nil, trace.Wrap(err)
	}
	return c, nil
}

// openListeners opens the ports.
func (c *controller) openListeners(steps startSteps, options Options) error {
	open := func(listener *net.Listener, address, key string) error {
		return steps.run("listen on "+address, func() (err error) {
			*listener, err = options.Listen("tcp", address)
			return trace.Wrap(err, "cannot listen on %s; check the key %s", address, key)
		})
	}
	if err := open(&c.listener, c.config.Listen, "listen"); err != nil {
		return err
	}
	if err := open(&c.adminListener, c.config.AdminListen, "admin_listen"); err != nil {
		return err
	}
	if c.site == nil {
		return nil
	}
	return open(&c.operatorListener, c.site.OperatorListen, "operator_listen")
}

// openDials prepares the connections to other controllers and to systems outside.
func (c *controller) openDials() error {
	toPeers, err := dialing.ToPeers(c.config.SourceAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	c.peerDial = c.contact.Dial(c.instruments.countingDial(toPeers, connectionPeers))
	c.peerClient = newPeerClient(c.peerDial, c.tlsConfigs.client)
	c.dial, err = dialing.FromSource(c.config.SourceAddress, outsideDialTimeout)
	return trace.Wrap(err)
}

// openCore opens the data directory and builds the Core from its contents.
func (c *controller) openCore(steps startSteps) error {
	var restored consensus.Restored
	err := steps.run("read the data directory", func() (err error) {
		c.disk, restored, err = storage.Open(storage.Options{Directory: c.config.DataDirectory, Fleet: c.config.Fleet, Name: c.config.Name})
		return err
	})
	if err != nil {
		return &DiskError{cause: trace.Wrap(err)}
	}
	err = steps.run("restore the state", func() (err error) {
		c.core, err = control.New(coreConfig(c.config, c.site, time.Now()), restored)
		return err
	})
	if err != nil {
		c.close()
		return trace.Wrap(err)
	}
	c.loop = newLoop(c.core, c.bootClock.Now)
	return nil
}

// run starts all goroutines and waits until they end. On a planned stop it first transfers
// leadership, then answers the calls in flight, and stops the loop last.
func (c *controller) run(ctx context.Context) error {
	background := context.WithoutCancel(ctx)
	group, workContext := errgroup.WithContext(background)
	workContext, stopWorking := context.WithCancel(workContext)
	defer stopWorking()
	serveContext, stopServing := context.WithCancel(workContext)
	defer stopServing()
	c.startOutputs(workContext, group)
	c.spawn(group, func() error { c.loop.run(workContext); return nil })
	c.spawn(group, func() error { return c.newSyncer().run(workContext) })
	c.spawn(group, func() error { c.bootClock.Watch(workContext, c.logSuspension); return nil })
	c.spawn(group, func() error { return c.awaitHalt(workContext) })
	c.startReaders(workContext, group)
	c.spawn(group, func() error { c.watchStatus(workContext); return nil })
	c.spawn(group, func() error { return c.serveAdmin(workContext) })
	c.spawn(group, func() error {
		defer stopWorking()
		return c.serve(serveContext)
	})
	c.log.Info().Str("listen", c.config.Listen).Uint("format", uint(formats.Newest)).Msg("the controller runs")
	select {
	case <-workContext.Done(): // a goroutine failed
	case <-ctx.Done():
		c.transferLeadership(workContext)
		stopServing()
	}
	return trace.Wrap(group.Wait())
}

// startReaders starts the readers of the external lists, and the operators' server if there is a site.
func (c *controller) startReaders(ctx context.Context, group *errgroup.Group) {
	if c.config.MachineList != "" {
		c.spawn(group, func() error { c.machines.run(ctx); return nil })
	}
	if c.site == nil {
		return
	}
	c.spawn(group, func() error { c.listing.run(ctx); return nil })
	c.spawn(group, func() error { c.forwardSeeds(ctx); return nil })
	for range stageOrderWorkers {
		c.spawn(group, func() error { c.stageOrders.run(ctx); return nil })
	}
	for range dutyWorkers {
		c.spawn(group, func() error { c.duties.run(ctx); return nil })
	}
	handler := c.site.OperatorHandler(documentStore{loop: c.loop, calls: c.calls})
	c.spawn(group, func() error { return serveHTTP(ctx, c.operatorListener, handler, nil, newServerLogger(c.log)) })
}

// spawn runs the function in the group; a panic dumps the log before it ends the process.
func (c *controller) spawn(group *errgroup.Group, function func() error) {
	group.Go(func() error {
		defer c.log.DumpOnPanic()
		return function()
	})
}

// logSuspension logs that the machine was suspended. The Core's time includes the suspension: a
// lease that expired during it is invalid from the Core's next step on.
func (c *controller) logSuspension(suspended time.Duration) {
	c.log.Warn().Str(events.FieldEvent, string(events.MachineSuspended)).Int64("suspended_ms", suspended.Milliseconds()).Send()
}

// transferLeadership transfers leadership to another voter if this controller leads, and waits
// up to transferTimeout for the change.
func (c *controller) transferLeadership(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if c.loop.send(limited, control.StopRequested{}) != nil {
		return
	}
	for limited.Err() == nil {
		status, err := c.status(limited)
		if err != nil || status.Consensus.Role != consensus.RoleLeader {
			return
		}
		pause.For(limited, control.TickInterval)
	}
	c.log.Warn().Msg("leadership was not transferred in time; the other controllers will elect a leader after their election timeout")
}

// close releases what open acquired. It is safe to call after a partial open.
func (c *controller) close() {
	for _, listener := range []net.Listener{c.listener, c.adminListener, c.operatorListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if c.disk != nil {
		if err := c.disk.Close(); err != nil {
			c.log.Error().Err(err).Msg("failed to close the data directory")
		}
	}
}
