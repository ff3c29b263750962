package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/leaderwatch"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/relay/peerhealth"
	"github.com/hazelpitch/hazelpitch/internal/relay/permits"
	"github.com/hazelpitch/hazelpitch/internal/relay/retrybudget"
	"github.com/hazelpitch/hazelpitch/internal/relay/splitdraw"
	"github.com/hazelpitch/hazelpitch/internal/relay/workmeter"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/usagereport"
)

// leaderContactSlack is how long after the time for the last word of a leader the view still counts as
// fresh.
const leaderContactSlack = 800 * time.Millisecond

// Relay is one running relay process.
type Relay struct {
	settings           settings.Relay
	dialect            Dialect
	singleValueHeaders []string
	clock              clock
	log                requestLog
	exchanger          *exchanger
	budget             *retrybudget.Budget
	// watcher follows the leader; knowledge is what it tells.
	watcher *leaderwatch.Watcher
	fleet   *fleetState
	// guard keeps requests away from back ends that they would end.
	guard *crashguard.Guard
	// datagrams, notices and asker are what this relay has to do with others; owner decides on
	// the engines that owners says are this relay's.
	datagrams  *datagram.Socket
	notices    *loadNotices
	placements *placementClient
	// peers is which other relays answer.
	peers *peerhealth.Table
	// permits gives permits to send to back ends that name a limit for all relays together.
	permits *permits.Permits
	owner   *placementOwner
	owners  *ownerTable
	work    *workmeter.Meter
	pace    *prefillPace
	// usage counts what tenants use.
	usage *usagereport.Meter
	// policy holds the weights of the decisions on where requests run.
	policy placement.Parameters
	// without are mechanisms that are left out.
	without mechanism.Set
	// startupWait is how long requests wait for what the relay does not know yet, known ends that wait.
	startupWait time.Duration
	viewReady   *readySignal
	// prefillWaitSlack is how long beyond the expected a request waits for another's reading.
	prefillWaitSlack time.Duration

	view atomic.Pointer[view]
	// lastContactAt is the time of the last word of a leader.
	lastContactAt atomic.Int64
	// relayCount is the number of relays that the leader has told of.
	relayCount atomic.Int64
	// stopping tells that no new connections are wanted.
	stopping atomic.Bool
	// refuseNewAt is when a stopping relay takes no new requests any more.
	refuseNewAt atomic.Int64

	connections connections
	random      lockedRandom
	splits      *splitdraw.Draws
	metrics     *relayMetrics
	// admin is where health and metrics are told, nil for nowhere; ring is the log behind it.
	admin net.Listener
	ring  *logring.Log
}

// Run runs a relay until the context ends; it then serves what it has taken and returns
// within the settings' grace.
func Run(ctx context.Context, config settings.Relay, options Options) error {
	if options.Listen == nil {
		options.Listen = closing.Listen
	}
	if options.ListenPacket == nil {
		options.ListenPacket = net.ListenPacket
	}
	if options.Dial == nil {
		options.Dial = dialing.WithDeadPeerDetection()
	}
	relay := newRelay(config, options)
	listener, err := options.Listen("tcp", config.Listen)
	if err != nil {
		return trace.Wrap(err, "cannot listen on %s; check the key listen", config.Listen)
	}
	ready, err := options.Listen("tcp", config.ReadyListen)
	if err != nil {
		_ = listener.Close()
		return trace.Wrap(err, "cannot listen on %s; check the key ready_listen", config.ReadyListen)
	}
	socket, err := options.ListenPacket("udp", config.NoticeListen)
	if err != nil {
		_ = listener.Close()
		_ = ready.Close()
		return trace.Wrap(err, "cannot listen on %s; check the key notice_listen", config.NoticeListen)
	}
	if config.AdminListen != "" {
		if relay.admin, err = options.Listen("tcp", config.AdminListen); err != nil {
			_, _, _ = listener.Close(), ready.Close(), socket.Close()
			return trace.Wrap(err, "cannot listen on %s; check the key admin_listen", config.AdminListen)
		}
	}
	relay.initPeers(socket)
	go relay.applyReloadedSettings(ctx, options.Reloaded)
	if options.ReadCache != nil && options.Without.IsEnabled(mechanism.CacheQuery) {
		client := &http.Client{Transport: &http.Transport{DialContext: options.Dial, DisableKeepAlives: true}, Timeout: cacheReadTimeout}
		reader := &cacheReader{relay: relay, read: options.ReadCache, client: client, readAt: map[*prefixCache]time.Duration{}}
		go reader.run(ctx)
	}
	return trace.Wrap(relay.run(ctx, listener, ready))
}

func newRelay(config settings.Relay, options Options) *Relay {
	steady := newClock()
	relay := &Relay{
		settings:           config,
		dialect:            options.Dialect,
		singleValueHeaders: singleValueHeaders(options.Dialect.Headers),
		clock:              steady,
		log:                requestLog{logger: options.Log.Logger},
		ring:               options.Log,
		budget:             retrybudget.New(config.RetryBudget.Ratio, config.RetryBudget.Window, config.RetryBudget.Slack),
		work:               workmeter.New(),
		pace:               newPrefillPace(),
		policy:             placement.DefaultParameters().Without(options.Without),
		without:            options.Without,

		prefillWaitSlack: prefillWaitSlack,
		startupWait:      startupWait,
		viewReady:        newReadySignal(),
		random:           lockedRandom{source: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
	}
	relay.splits = splitdraw.New(relay.draw)
	relay.metrics = newRelayMetrics(relay, options.Log)
	relay.connections = connections{isServing: map[*clientConnection]bool{}, requests: map[*clientConnection]*request{}, tracked: closing.NewSet()}
	relay.lastContactAt.Store(int64(-leaderwatch.MaximumWait - leaderContactSlack))
	relay.exchanger = &exchanger{
		applyAnswerSignals: relay.applyAnswerSignals, acquirePermit: relay.acquirePermit, limitedSends: relay.metrics.limitedSends,
		names: options.Dialect.Headers, writer: newRequestWriter(options.Dialect.Headers), clock: steady, dial: options.Dial,
		without: options.Without,
	}
	relay.pace.fixed = !options.Without.IsEnabled(mechanism.MeasuredPace)
	relay.view.Store(&view{byService: map[string][]*backEnd{}})
	relay.fleet = newFleetState(relay, options)
	relay.watcher = leaderwatch.New(leaderwatch.Config{
		Seeds: config.ControllerAddresses(), Dial: options.Dial, Now: func() time.Duration { return relay.clock.now() },
		NodeCount: func() int { return int(relay.relayCount.Load()) }, Draw: relay.draw, Node: relay.fleet,
	})
	relay.guard = newGuard(relay)
	relay.exchanger.guard = relay.guard
	relay.usage = usagereport.NewMeter(relay.fleet.incarnation)
	return relay
}

// run serves until the context ends and everything taken is answered.
func (r *Relay) run(ctx context.Context, listener, ready net.Listener) error {
	r.event(events.RelayStarted).Str("address", listener.Addr().String()).Uint("format", uint(formats.Newest)).Send()
	background := context.WithoutCancel(ctx)
	group, working := errgroup.WithContext(background)
	working, stopWorking := context.WithCancel(working)
	defer stopWorking()
	readyServer := &http.Server{Handler: r.readyHandler(), ReadHeaderTimeout: readyTimeout, IdleTimeout: readyIdle}
	group.Go(func() error {
		if err := readyServer.Serve(ready); err != http.ErrServerClosed {
			return trace.Wrap(err, "the readiness server stopped")
		}
		return nil
	})
	if r.admin != nil {
		server := &metrics.AdminServer{Registry: r.metrics.registry, Log: r.ring, Ready: r.readinessError}
		group.Go(func() error { return trace.Wrap(server.Serve(working, r.admin)) })
	}
	group.Go(func() error { r.watcher.Run(working); return nil })
	group.Go(func() error { r.usageReporter().Run(working); return nil })
	group.Go(func() error { r.clock.steady.Watch(working, r.handleSuspension); return nil })
	group.Go(func() error { r.guard.Run(working); return nil })
	group.Go(func() error { r.notices.run(working); return nil })
	group.Go(func() error { r.permits.Run(working); return nil })
	group.Go(func() error { r.datagrams.Receive(r.handleDatagram); return nil })
	group.Go(func() error { return r.accept(working, listener) })
	select {
	case <-working.Done():
	case <-ctx.Done():
		r.event(events.RelayStopping).Str("address", listener.Addr().String()).Int("serving", r.connections.servingCount()).Send()
		r.drain(working, listener)
		r.awaitUsageReported()
	}
	stopWorking()
	_ = listener.Close()
	_ = readyServer.Close()
	_ = r.datagrams.Close()
	return trace.Wrap(group.Wait())
}

// readinessError tells why the relay cannot serve; nil when it can.
func (r *Relay) readinessError() error {
	if r.stopping.Load() {
		return trace.ConnectionProblem(nil, "the relay stops")
	}
	if missing := r.view.Load().missing(); missing != "" {
		return trace.ConnectionProblem(nil, "%s", missing)
	}
	return nil
}

// event begins a line on the process.
func (r *Relay) event(event events.Event) *zerolog.Event {
	return r.log.logger.WithLevel(zerolog.WarnLevel).Str(events.FieldEvent, string(event))
}

// applyReloadedSettings puts in force what may change while the relay runs: the controllers and the
// retry budget.
func (r *Relay) applyReloadedSettings(ctx context.Context, reloaded <-chan settings.Relay) {
	for {
		select {
		case <-ctx.Done():
			return
		case updated := <-reloaded:
			r.watcher.SetSeeds(updated.ControllerAddresses())
			r.budget.SetBounds(updated.RetryBudget.Ratio, updated.RetryBudget.Window, updated.RetryBudget.Slack)
		}
	}
}

// accept serves each connection in a goroutine of its own until the listener closes.
func (r *Relay) accept(ctx context.Context, listener net.Listener) error {
	for {
		connection, err := listener.Accept()
		if err == nil {
			go r.serveConnection(newClientConnection(r.connections.tracked.Track(connection), r.limits().HeaderBytes))
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		r.log.logger.Warn().Err(err).Msg("a connection could not be accepted")
		time.Sleep(acceptPause)
	}
}

// acceptPause is the wait after a failed accept, which is mostly for want of descriptors.
const acceptPause = 20 * time.Millisecond

// limits returns the operator's limits, or the defaults before the first configuration.
func (r *Relay) limits() serving.Limits {
	limits := serving.Limits{HeaderBytes: clientBufferBytes, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	table := r.view.Load().table
	if table == nil {
		return limits
	}
	configured := table.Configuration.Limits
	if configured.HeaderBytes > 0 {
		limits.HeaderBytes = configured.HeaderBytes
	}
	if configured.BodyBytes > 0 {
		limits.BodyBytes = configured.BodyBytes
	}
	if configured.HeaderTimeout > 0 {
		limits.HeaderTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		limits.IdleTimeout = configured.IdleTimeout
	}
	return limits
}

// maxContactAge is how long after the last word of a leader the view still counts as fresh.
func (r *Relay) maxContactAge() time.Duration { return r.watcher.Wait() + leaderContactSlack }

// lastContact is the time of the last word of a leader.
func (r *Relay) lastContact() time.Duration { return time.Duration(r.lastContactAt.Load()) }
