package leaderwatch

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

const (
	// searchDelay is the wait before another controller is tried.
	searchDelay = 40 * time.Millisecond
	// unusableResponseDelay is the wait after a response that could not be applied: the leader may have no other
	// response, and repeating the request at once would become a busy loop.
	unusableResponseDelay = 400 * time.Millisecond
	// pingAfter is the time without a frame from a controller after which a connection to it is probed, and pingTimeout how
	// long the answer is awaited before the connection is closed. A watch is answered before that, so that only a connection
	// that may carry nothing any more is probed: calls that time out on it leave it open while others are under way.
	pingAfter   = MaximumWait + responseSlack
	pingTimeout = 500 * time.Millisecond
)

// Node is the node that watches. Its methods are called by one goroutine.
type Node interface {
	// BeforeWatch is called before each request, with the known controllers.
	BeforeWatch(controllers []string)
	// WatchRequest returns the request, which states the versions that the node has.
	WatchRequest(wait time.Duration) *v1.WatchRequest
	// ApplyUpdate applies the leader's response. It returns false if a part of it could not be applied.
	ApplyUpdate(response *v1.WatchResponse) bool
	// HandleNoLeader is called after each request that no leader answered.
	HandleNoLeader(ctx context.Context)
}

// Config configures a Watcher; all fields are required.
type Config struct {
	// Seeds are the controllers named in the settings, as IP:port.
	Seeds []string
	// Dial opens connections to controllers, as dialing.ToPeers does. An attempt ends after dialing.PeerTimeout.
	Dial dialing.Dial
	// Now returns the steady time since an origin, including suspensions.
	Now func() time.Duration
	// NodeCount returns the number of nodes that watch, as far as known.
	NodeCount func() int
	// Draw returns a random number in [0, 1).
	Draw func() float64
	Node Node
}

// Watcher sends watch requests to the leader.
type Watcher struct {
	config      Config
	http        *http.Client
	controllers *controllers
	// current is the controller that got the last request.
	current atomic.Pointer[controllerClient]
	// lastLeader is the controller that last answered as the leader.
	lastLeader string
}

// New returns a Watcher that has sent no request yet.
func New(config Config) *Watcher {
	transport := &http.Transport{
		DialContext: dialing.WithTimeout(config.Dial, dialing.PeerTimeout), Protocols: new(http.Protocols),
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	watcher := &Watcher{config: config, http: &http.Client{Transport: checkedconn.CheckHTTP2(transport)}, controllers: newControllers(config.Seeds)}
	watcher.current.Store(watcher.client("")) // until the first request
	return watcher
}

// SetSeeds sets the controllers named in updated settings.
func (w *Watcher) SetSeeds(seeds []string) { w.controllers.seeds.Store(&seeds) }

// LeaderClient returns a client for the controller that got the last request: the leader, as far as known.
func (w *Watcher) LeaderClient() hazelpitchv1connect.NodeServiceClient { return w.current.Load() }

// controllerClient is a client for one controller.
type controllerClient struct {
	hazelpitchv1connect.NodeServiceClient
	address string
}

// client returns a client for a controller; it reuses the current one for the same controller.
func (w *Watcher) client(address string) *controllerClient {
	if current := w.current.Load(); current != nil && current.address == address {
		return current
	}
	return &controllerClient{NodeServiceClient: hazelpitchv1connect.NewNodeServiceClient(w.http, "http://"+address), address: address}
}

// Wait returns how long a controller currently delays the answer to a watch without updates.
func (w *Watcher) Wait() time.Duration { return WaitFor(w.config.NodeCount()) }

// Run watches until the context is done.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.config.Node.BeforeWatch(w.controllers.addresses)
		if w.watchOnce(ctx) {
			continue
		}
		w.config.Node.HandleNoLeader(ctx)
		pause.For(ctx, searchDelay)
	}
}

// watchOnce sends a request to the controller that is most likely the leader, and reports whether it is.
func (w *Watcher) watchOnce(ctx context.Context) bool {
	address := w.controllers.next()
	if w.switchesToNewLeader(address) {
		pause.For(ctx, time.Duration(w.config.Draw()*float64(spreadTime(w.config.NodeCount()))))
	}
	controller := w.client(address)
	w.current.Store(controller)
	wait := w.Wait()
	limited, cancel := context.WithTimeout(ctx, wait+responseSlack)
	defer cancel()
	sentAt := w.config.Now()
	response, err := controller.Watch(limited, connect.NewRequest(w.config.Node.WatchRequest(wait)))
	if err != nil {
		if errors.Is(limited.Err(), context.DeadlineExceeded) {
			w.http.CloseIdleConnections() // the connection may be lost; the next request opens another one
		}
		w.controllers.advanceAfterFailure()
		return false
	}
	w.controllers.applyResponse(response.Msg, address)
	if response.Msg.GetBehind() {
		return false
	}
	w.lastLeader = address
	if !w.IsResponseStale(sentAt) && !w.config.Node.ApplyUpdate(response.Msg) {
		pause.For(ctx, unusableResponseDelay)
	}
	return true // a stale response was discarded, and the leader gets the next request at once
}

// switchesToNewLeader reports whether the next request goes to a controller that was reported as the leader
// and was not the leader before. A node that has had no leader yet has no data and sends its request at once.
func (w *Watcher) switchesToNewLeader(address string) bool {
	return w.lastLeader != "" && address != w.lastLeader && address == w.controllers.leader
}

// IsResponseStale reports whether the response to a request sent at sentAt may have waited on this machine
// while it was suspended, so that its content may be out of date.
func (w *Watcher) IsResponseStale(sentAt time.Duration) bool {
	return w.config.Now()-sentAt > w.Wait()+responseSlack
}
