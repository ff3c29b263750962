package leaderwatch

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

const (
	// searchPause is the wait before another controller is asked.
	searchPause = 40 * time.Millisecond
	// unusedPause is the wait after an answer that could not be used: the leader may have nothing else to tell, and
	// asking at once would go on without end.
	unusedPause = 400 * time.Millisecond
)

// Node is the node that watches. Its methods are called by one goroutine.
type Node interface {
	// BeforeWatch is called before each question, with the controllers that are known.
	BeforeWatch(controllers []string)
	// WatchRequest tells what the node holds.
	WatchRequest(wait time.Duration) *v1.WatchRequest
	// ApplyUpdate takes what the leader told; false where something of it could not be used.
	ApplyUpdate(told *v1.WatchResponse) bool
	// HandleNoLeader is called after a question that no leader answered.
	HandleNoLeader(ctx context.Context)
}

// Config is what a Watcher needs; all fields are required.
type Config struct {
	// Seeds are the controllers that the settings name, as IP:port.
	Seeds []string
	Dial  dialing.Dial
	// Now is the steady time since an origin, in which suspensions count.
	Now func() time.Duration
	// NodeCount is how many nodes watch, as far as that is known.
	NodeCount func() int
	// Draw returns a random number in [0, 1).
	Draw func() float64
	Node Node
}

// Watcher follows the leader.
type Watcher struct {
	config      Config
	http        *http.Client
	controllers *controllers
	// asked is the controller that is asked now or was asked last.
	asked atomic.Pointer[controllerClient]
	// led is the controller that led last.
	led string
}

// New returns a Watcher that has asked nobody yet.
func New(config Config) *Watcher {
	transport := &http.Transport{DialContext: dialing.WithTimeout(config.Dial, dialing.PeerTimeout), Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	watcher := &Watcher{config: config, http: &http.Client{Transport: transport}, controllers: newControllers(config.Seeds)}
	watcher.asked.Store(watcher.client("")) // until the first question
	return watcher
}

// SetSeeds takes the controllers that the settings name now.
func (w *Watcher) SetSeeds(seeds []string) { w.controllers.seeds.Store(&seeds) }

// LeaderClient calls the controller that led last, as far as is known here.
func (w *Watcher) LeaderClient() hazelpitchv1connect.NodeServiceClient { return w.asked.Load() }

// controllerClient calls one controller.
type controllerClient struct {
	hazelpitchv1connect.NodeServiceClient
	address string
}

// client returns a client for a controller, the one in use where it is the same.
func (w *Watcher) client(address string) *controllerClient {
	if current := w.asked.Load(); current != nil && current.address == address {
		return current
	}
	return &controllerClient{NodeServiceClient: hazelpitchv1connect.NewNodeServiceClient(w.http, "http://"+address), address: address}
}

// Wait is how long a controller lets a watch wait now.
func (w *Watcher) Wait() time.Duration { return WaitFor(w.config.NodeCount()) }

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.config.Node.BeforeWatch(w.controllers.known)
		if w.watchOnce(ctx) {
			continue
		}
		w.config.Node.HandleNoLeader(ctx)
		pause.For(ctx, searchPause)
	}
}

// watchOnce asks the controller that most likely leads; it reports whether that one led.
func (w *Watcher) watchOnce(ctx context.Context) bool {
	address := w.controllers.next()
	if w.turnsToNewLeader(address) {
		pause.For(ctx, time.Duration(w.config.Draw()*float64(spreadFor(w.config.NodeCount()))))
	}
	controller := w.client(address)
	w.asked.Store(controller)
	wait := w.Wait()
	limited, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	asked := w.config.Now()
	response, err := controller.Watch(limited, connect.NewRequest(w.config.Node.WatchRequest(wait)))
	if err != nil {
		w.controllers.failed()
		return false
	}
	w.controllers.learn(response.Msg, address)
	if response.Msg.GetBehind() {
		return false
	}
	w.led = address
	if !w.IsResponseStale(asked) && !w.config.Node.ApplyUpdate(response.Msg) {
		pause.For(ctx, unusedPause)
	}
	return true // where it was late the leader is asked again at once
}

// turnsToNewLeader reports whether a controller that is about to be asked is told to lead, and did not
// before. A node that has not heard of any leader yet holds nothing and asks at once.
func (w *Watcher) turnsToNewLeader(address string) bool {
	return w.led != "" && address != w.led && address == w.controllers.leader
}

// IsResponseStale reports whether the answer to a question can have lain at this machine while it stood still: what
// it says may be old by now.
func (w *Watcher) IsResponseStale(asked time.Duration) bool {
	return w.config.Now()-asked > w.Wait()+slack
}
