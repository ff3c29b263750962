package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/leaderwatch"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/probeserver"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/relay/origins"
	"github.com/hazelpitch/hazelpitch/internal/relay/peerhealth"
	"github.com/hazelpitch/hazelpitch/internal/relay/permits"
	"github.com/hazelpitch/hazelpitch/internal/relay/retrybudget"
	"github.com/hazelpitch/hazelpitch/internal/relay/slots"
	"github.com/hazelpitch/hazelpitch/internal/relay/speeds"
	"github.com/hazelpitch/hazelpitch/internal/relay/splitdraw"
	"github.com/hazelpitch/hazelpitch/internal/relay/workmeter"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
	"github.com/hazelpitch/hazelpitch/internal/usagereport"
)

// leaderContactSlack is how much later than expected the leader's next message may arrive before the view counts as stale.
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
	// watcher follows the leader; fleet applies the leader's updates.
	watcher *leaderwatch.Watcher
	fleet   *fleetState
	// guard keeps requests away from back ends that they would crash.
	guard *crashguard.Guard
	// datagrams, notices and placements communicate with other relays. owners says which relay owns which engines;
	// placementOwner decides on the engines that this relay owns.
	datagrams  *datagram.Socket
	notices    *loadNotices
	placements *placementClient
	// peers records which other relays answer queries.
	peers *peerhealth.Table
	// permits obtains permits for back ends that declare a limit for all relays together.
	permits *permits.Permits
	// path finds out whether this relay has lost its network path to back ends; forwarder passes requests on to other relays then.
	path      *pathWatch
	forwarder *forwarder
	// slots obtains slots of back ends where relays share them, as sharesSlots says.
	slots       *slots.Slots
	sharesSlots bool
	// slotReservations is held while a replacement of a silent answer reserves a slot, see searchFreeSlot.
	slotReservations sync.Mutex
	// slotAnswerTimeout returns how long to wait for the answer of an owner of slots.
	slotAnswerTimeout func() time.Duration
	// origins keeps which software version began each stream.
	origins        *origins.Origins
	placementOwner *placementOwner
	owners         *ownerTable
	work           *workmeter.Meter
	prefillSpeed   *prefillSpeed
	// speeds estimates how fast engines decode, and how much they are slowed down.
	speeds *speeds.Speeds
	// usage counts the tenants' requests.
	usage *usagereport.Meter
	// policy holds the parameters of placement decisions.
	policy placement.Parameters
	// mechanisms says which mechanisms are enabled.
	mechanisms mechanism.Set
	// startupWait is how long requests wait for a configuration and a list of back ends; viewReady ends that wait.
	startupWait time.Duration
	viewReady   *readySignal
	// prefillWaitSlack is how much longer than expected a request waits for another request's prefill.
	prefillWaitSlack time.Duration

	view atomic.Pointer[view]
	// areVersionsUnread is true if the last call for a statement of the leader failed.
	areVersionsUnread atomic.Bool
	// routeServices is guarded by routeServicesMutex.
	routeServices      *streamorigin.RouteServices
	routeServicesMutex sync.Mutex
	// lastContactAt is when the last message of a leader arrived.
	lastContactAt atomic.Int64
	// configurationHeardAt is when a leader has confirmed this relay's configuration last.
	configurationHeardAt atomic.Int64
	// relayCount is the number of relays as the leader sent it; 0 while unknown.
	relayCount atomic.Int64
	// stopping is true if the relay is shutting down; it then reports not ready, so that clients stop connecting.
	stopping atomic.Bool
	// stopStartedAt is when the stop began; only the goroutine that stops the relay uses it.
	stopStartedAt time.Duration
	// refuseNewAt is when a stopping relay begins to refuse new requests.
	refuseNewAt atomic.Int64
	// sendUntil is until when a stopping relay sends requests to back ends; 0 while it does not stop.
	sendUntil atomic.Int64

	connections connections
	// bodies is the memory for long bodies of clients' requests.
	bodies  *bodybudget.Budget
	random  lockedRandom
	splits  *splitdraw.Draws
	metrics *relayMetrics
	// forwardListener is the listener for requests that other relays forward; nil if it cannot be opened.
	forwardListener net.Listener
	// admin is the listener for health and metrics, nil for none; ring is the log that it serves.
	admin net.Listener
	ring  *logring.Log
}

// Run runs a relay until the context ends. It then completes the accepted requests and returns within the grace period of
// the settings.
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
	if options.DialControllers == nil {
		dial, err := dialing.ToPeers("")
		if err != nil {
			return trace.Wrap(err)
		}
		options.DialControllers = dial
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
	relay.listenForForwarded(options)
	go relay.applyReloadedSettings(ctx, options.Reloaded)
	if options.ReadCache != nil && options.Without.IsEnabled(mechanism.CacheQuery) {
		transport := checkedconn.NewTransport(options.Dial, nil)
		transport.DisableKeepAlives = true
		client := newCaller(transport, cacheReadTimeout)
		reader := &cacheReader{relay: relay, read: options.ReadCache, client: client, readAt: map[*prefixCache]time.Duration{}}
		go reader.run(ctx)
	}
	relay.startProber(ctx, options)
	return trace.Wrap(relay.run(ctx, listener, ready))
}

const (
	// defaultHeldBodies is the memory in MiB for long bodies of requests if the process has no memory limit; otherwise it is one
	// part in heldBodiesDivisor of the limit.
	defaultHeldBodies = 64
	heldBodiesDivisor = 4
	// defaultHeldAnswers and heldAnswersDivisor are the same for long answers and long events of back ends.
	defaultHeldAnswers = 32
	heldAnswersDivisor = 8
)

// heldBodyBytes returns the memory for long bodies of requests, in bytes, under a memory limit in MiB; 0 means no limit.
func heldBodyBytes(memoryLimit int) int64 {
	if memoryLimit <= 0 {
		return defaultHeldBodies << 20
	}
	return int64(memoryLimit) << 20 / heldBodiesDivisor
}

// heldAnswerBytes returns the memory for long answers of back ends, in bytes, under a memory limit in MiB; 0 means no limit.
func heldAnswerBytes(memoryLimit int) int64 {
	if memoryLimit <= 0 {
		return defaultHeldAnswers << 20
	}
	return int64(memoryLimit) << 20 / heldAnswersDivisor
}

func newRelay(config settings.Relay, options Options) *Relay {
	steady := newClock()
	relay := &Relay{
		settings:           config,
		dialect:            options.Dialect,
		singleValueHeaders: singleValueHeaders(options.Dialect.Headers),
		bodies:             bodybudget.New(heldBodyBytes(config.MemoryLimit)),
		clock:              steady,
		log:                requestLog{logger: options.Log.Logger},
		ring:               options.Log,
		budget:             retrybudget.New(config.RetryBudget.Ratio, config.RetryBudget.Window, config.RetryBudget.Slack),
		work:               workmeter.New(),
		prefillSpeed:       newPrefillSpeed(),
		speeds:             speeds.New(),
		policy:             placement.DefaultParameters().Without(options.Without),
		mechanisms:         options.Without,
		sharesSlots:        options.Features.SlotQueues && options.Without.IsEnabled(mechanism.SlotQueues),

		prefillWaitSlack: prefillWaitSlack,
		startupWait:      startupWait,
		viewReady:        newReadySignal(),
		routeServices:    streamorigin.NewRouteServices(),
		random:           lockedRandom{source: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
	}
	relay.splits = splitdraw.New(relay.draw)
	relay.metrics = newRelayMetrics(relay, options.Log)
	relay.connections = connections{isServing: map[*clientConnection]bool{}, requests: map[*clientConnection]*request{}, tracked: closing.NewSet()}
	relay.connections.tracked.AnswerOnClose(relay.closingAnswer())
	relay.lastContactAt.Store(int64(-leaderwatch.MaximumWait - leaderContactSlack))
	relay.configurationHeardAt.Store(int64(-maxConfigurationAge))
	relay.path = newPathWatch(relay)
	relay.forwarder = newForwarder(relay)
	relay.exchanger = &exchanger{
		path:               relay.path,
		applyAnswerSignals: relay.applyAnswerSignals, acquirePermit: relay.acquirePermit, limitedSends: relay.metrics.limitedSends, dials: relay.metrics.dials, answers: relay.metrics.answers,
		names: options.Dialect.Headers, writer: newRequestWriter(options.Dialect.Headers), clock: steady, dial: options.Dial,
		mechanisms: options.Without, speeds: relay.speeds,
		reportPath: options.Dialect.ReportPath, parseReport: options.Dialect.ParseReport,
		answerMemory: bodybudget.New(heldAnswerBytes(config.MemoryLimit)), mayStillSend: relay.mayStillSend,
	}
	relay.prefillSpeed.fixed = !options.Without.IsEnabled(mechanism.MeasuredSpeeds)
	relay.view.Store(&view{byService: map[string][]*backEnd{}})
	relay.fleet = newFleetState(relay, options)
	relay.watcher = leaderwatch.New(leaderwatch.Config{
		Seeds: config.ControllerAddresses(), Dial: options.DialControllers, Now: func() time.Duration { return relay.clock.now() },
		NodeCount: func() int { return int(relay.relayCount.Load()) }, Draw: relay.draw, Node: relay.fleet,
	})
	relay.guard = newGuard(relay)
	relay.exchanger.guard = relay.guard
	relay.usage = usagereport.NewMeter(relay.fleet.incarnation)
	return relay
}

// run serves until the context ends and all accepted requests are answered.
func (r *Relay) run(ctx context.Context, listener, ready net.Listener) error {
	r.event(events.RelayStarted).Str("address", listener.Addr().String()).Uint("format", uint(formats.Newest)).Send()
	background := context.WithoutCancel(ctx)
	group, workCtx := errgroup.WithContext(background)
	workCtx, stopWorking := context.WithCancel(workCtx)
	defer stopWorking()
	readyServer := probeserver.New(r.readyHandler(), readyTimeout, readyIdle)
	group.Go(func() error {
		if err := readyServer.Serve(ready); err != http.ErrServerClosed {
			return trace.Wrap(err, "the readiness server stopped")
		}
		return nil
	})
	if r.admin != nil {
		server := &metrics.AdminServer{Registry: r.metrics.registry, Log: r.ring, Ready: r.readinessError}
		group.Go(func() error { return trace.Wrap(server.Serve(workCtx, r.admin)) })
	}
	group.Go(func() error { r.watcher.Run(workCtx); return nil })
	group.Go(func() error { r.usageReporter().Run(workCtx); return nil })
	group.Go(func() error { r.clock.steady.Watch(workCtx, r.handleSuspension); return nil })
	group.Go(func() error { r.guard.Run(workCtx); return nil })
	group.Go(func() error { r.notices.run(workCtx); return nil })
	group.Go(func() error { r.path.run(workCtx); return nil })
	group.Go(func() error { r.closeUnusableConnections(workCtx); return nil })
	if r.forwardListener != nil {
		group.Go(func() error { return r.acceptForwarded(workCtx, r.forwardListener) })
	}
	group.Go(func() error { r.permits.Run(workCtx); return nil })
	group.Go(func() error { r.origins.Run(workCtx); return nil })
	if r.sharesSlots {
		group.Go(func() error { return trace.Wrap(r.slots.Run(workCtx)) })
	}
	group.Go(func() error { r.datagrams.Receive(r.handleDatagram); return nil })
	group.Go(func() error { return r.accept(workCtx, listener) })
	select {
	case <-workCtx.Done():
	case <-ctx.Done():
		r.event(events.RelayStopping).Str("address", listener.Addr().String()).Int("serving", r.connections.servingCount()).Send()
		r.drain(workCtx, listener)
		r.awaitReported()
	}
	stopWorking()
	_ = listener.Close()
	if r.forwardListener != nil {
		_ = r.forwardListener.Close()
	}
	_ = readyServer.Close()
	_ = r.datagrams.Close()
	return trace.Wrap(group.Wait())
}

// readinessError returns why the relay cannot serve requests; nil when it can.
func (r *Relay) readinessError() error {
	if r.stopping.Load() {
		return trace.ConnectionProblem(nil, "the relay stops")
	}
	if missing := r.view.Load().missing(); missing != "" {
		return trace.ConnectionProblem(nil, "%s", missing)
	}
	return nil
}

// event begins a log line about the process.
func (r *Relay) event(event events.Event) *zerolog.Event {
	return r.log.logger.WithLevel(zerolog.WarnLevel).Str(events.FieldEvent, string(event))
}

// applyReloadedSettings applies the settings that may change while the relay runs: the controllers' addresses and the retry
// budget.
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

// accept serves each connection in its own goroutine until the listener is closed.
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
		r.log.logger.Warn().Err(err).Msg("accepting a client connection failed; retrying")
		time.Sleep(acceptPause)
	}
}

// acceptPause is the delay after a failed accept, which is mostly caused by a lack of file descriptors.
const acceptPause = 20 * time.Millisecond

// limits returns the configured limits; defaults apply to those that are not set and before the first configuration.
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

// maxContactAge returns how long after the leader's last message the view counts as fresh.
func (r *Relay) maxContactAge() time.Duration { return r.watcher.Wait() + leaderContactSlack }

// isLeaderInContact reports whether the leader's last message is recent enough for the view to count as fresh.
func (r *Relay) isLeaderInContact() bool { return r.clock.now()-r.lastContact() <= r.maxContactAge() }

// lastContact returns when the leader's last message arrived.
func (r *Relay) lastContact() time.Duration { return time.Duration(r.lastContactAt.Load()) }
