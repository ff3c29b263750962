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
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/storage"
)

// transferTimeout is how long a stopping leader waits for another one.
const transferTimeout = 2 * time.Second

// statusInterval is the time between readings of the Core for the metrics.
const statusInterval = 100 * time.Millisecond

// Run runs a controller until the context ends; it then hands leadership over,
// finishes the calls in hand and closes the data directory. It returns an error when
// the settings cannot work here or when the disk or a listener fails.
func Run(ctx context.Context, config settings.Controller, options Options) error {
	if options.Listen == nil {
		options.Listen = net.Listen
	}
	if options.Dial == nil {
		dial, err := dialing.FromSource(config.SourceAddress, dialTimeout)
		if err != nil {
			return trace.Wrap(err)
		}
		options.Dial = dial
	}
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
	encryption  encryption
	registry    *prometheus.Registry
	instruments instruments
	dial        dialing.Dial
	listener    net.Listener
	admin       net.Listener
	peers       *http.Client
	site        *Site
	listing     *listingReader
	stageOrders *stageOrderer
	duties      *dutyCaller
	operator    net.Listener
	// halted gets why this controller must not go on.
	halted chan error
	// steady is the clock that the Core's decisions go by.
	steady *bootclock.Clock
}

// open acquires everything that can fail before the first goroutine starts.
func open(config settings.Controller, options Options) (*controller, error) {
	registry, factory := metrics.NewRegistry("controller", config.Name, config.Zone)
	c := &controller{config: config, log: options.Log, dial: options.Dial, site: options.Site, registry: registry, instruments: newInstruments(factory), calls: newCalls(), halted: make(chan error, 1)}
	var err error
	if c.encryption, err = loadEncryption(config, options.Log, factory); err != nil {
		return nil, trace.Wrap(err)
	}
	c.peers = newPeerClient(c.instruments.countingDial(options.Dial, connectionPeers), c.encryption.client)
	if err := c.openCore(); err != nil {
		return nil, trace.Wrap(err)
	}
	if c.listener, err = options.Listen("tcp", config.Listen); err != nil {
		c.close()
		return nil, trace.Wrap(err, "cannot listen on %s; check the key listen", config.Listen)
	}
	if c.admin, err = options.Listen("tcp", config.AdminListen); err != nil {
		c.close()
		return nil, trace.Wrap(err, "cannot listen on %s; check the key admin_listen", config.AdminListen)
	}
	if c.site != nil {
		if c.operator, err = options.Listen("tcp", c.site.OperatorListen); err != nil {
			c.close()
			return nil, trace.Wrap(err, "cannot listen on %s; check the key operator_listen", c.site.OperatorListen)
		}
	}
	return c, nil
}

// openCore opens the data directory and builds the Core from what it holds.
func (c *controller) openCore() error {
	disk, restored, err := storage.Open(storage.Options{Directory: c.config.DataDirectory, Fleet: c.config.Fleet, Name: c.config.Name})
	if err != nil {
		return &DiskError{cause: trace.Wrap(err)}
	}
	c.disk = disk
	c.steady = bootclock.New(0)
	origin := time.Now()
	c.core, err = control.New(coreConfig(c.config, c.site, origin), restored)
	if err != nil {
		c.close()
		return trace.Wrap(err)
	}
	c.loop = newLoop(c.core, c.steady.Now)
	return nil
}

// run starts every goroutine and waits for the end. At a planned stop leadership goes
// first, then the calls in hand are answered, and only then the loop ends.
func (c *controller) run(ctx context.Context) error {
	background := context.WithoutCancel(ctx)
	group, working := errgroup.WithContext(background)
	working, stopWorking := context.WithCancel(working)
	defer stopWorking()
	serving, stopServing := context.WithCancel(working)
	defer stopServing()
	c.startOutputs(working, group)
	c.start(group, func() error { c.loop.run(working); return nil })
	c.start(group, func() error { return c.newSyncer().run(working) })
	c.start(group, func() error { c.steady.Watch(working, c.noteSuspension); return nil })
	c.start(group, func() error { return c.awaitHalt(working) })
	c.startReaders(working, group)
	c.start(group, func() error { c.watchStatus(working); return nil })
	c.start(group, func() error { return c.serveAdmin(working) })
	c.start(group, func() error {
		defer stopWorking()
		return c.serve(serving)
	})
	c.log.Info().Str("listen", c.config.Listen).Uint("format", uint(formats.Newest)).Msg("the controller runs")
	select {
	case <-working.Done(): // something failed
	case <-ctx.Done():
		c.handOver(working)
		stopServing()
	}
	return trace.Wrap(group.Wait())
}

// startReaders starts what reads the outside lists, and on a site the operators' server.
func (c *controller) startReaders(ctx context.Context, group *errgroup.Group) {
	if c.config.MachineList != "" {
		c.start(group, func() error { c.machines.run(ctx); return nil })
	}
	if c.site == nil {
		return
	}
	c.start(group, func() error { c.listing.run(ctx); return nil })
	c.start(group, func() error { c.takeSeeds(ctx); return nil })
	for range stageOrderWorkers {
		c.start(group, func() error { c.stageOrders.run(ctx); return nil })
	}
	for range dutyWorkers {
		c.start(group, func() error { c.duties.run(ctx); return nil })
	}
	handler := c.site.OperatorHandler(documentStore{loop: c.loop, calls: c.calls})
	c.start(group, func() error { return serveHTTP(ctx, c.operator, handler, nil, newServerLogger(c.log)) })
}

// start runs the function in the group; a panic is written out before it ends the process.
func (c *controller) start(group *errgroup.Group, function func() error) {
	group.Go(func() error {
		defer c.log.DumpOnPanic()
		return function()
	})
}

// noteSuspension writes down that the machine was suspended. The Core's time has gone on meanwhile: a
// lease that ended is over with its next step.
func (c *controller) noteSuspension(suspended time.Duration) {
	c.log.Warn().Str(events.FieldEvent, string(events.MachineSuspended)).Int64("suspended_ms", suspended.Milliseconds()).Send()
}

// handOver gives leadership to another voter, if this controller has it, and waits
// for the change within transferTimeout.
func (c *controller) handOver(ctx context.Context) {
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
	c.log.Warn().Msg("leadership was not handed over in time; the others elect a leader after their timeout")
}

// close releases what open acquired. It is safe to call on a half-open controller.
func (c *controller) close() {
	for _, listener := range []net.Listener{c.listener, c.admin, c.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if c.disk != nil {
		if err := c.disk.Close(); err != nil {
			c.log.Error().Err(err).Msg("cannot close the data directory")
		}
	}
}
