package gateway

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

const (
	controllerCallTimeout = 900 * time.Millisecond
	controllerIdleTimeout = 30 * time.Second
	// homeAfter is how long after the last failure a gateway goes back to the order of
	// its settings: without it one restart of a controller moves its gateways for good.
	homeAfter = 30 * time.Second
)

// controllers holds the connections to all controllers. It is safe for concurrent use.
type controllers struct {
	http *http.Client
	// scheme is https when the fleet uses TLS.
	scheme  string
	mutex   sync.Mutex
	clients map[string]hazelpitchv1connect.NodeServiceClient
	// home is the order of the settings, then of learning; it spreads the gateways over
	// the controllers. order is the order of trying for calls that any controller answers:
	// home, with those that lately failed at the end.
	home  []string
	order []string
	// postponedAt is when a controller last failed.
	postponedAt time.Time
	// leader is the address last known to lead; empty when unknown.
	leader string
}

// newControllers calls with TLS when encryption is not nil.
func newControllers(config settings.Gateway, dial dialing.Dial, encryption *tls.Config) *controllers {
	if dial == nil {
		dialer := &net.Dialer{Timeout: controllerCallTimeout}
		if config.SourceAddress != "" {
			dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(config.SourceAddress)}
		}
		dial = dialer.DialContext
	}
	transport := &http.Transport{DialContext: dial, IdleConnTimeout: controllerIdleTimeout, TLSClientConfig: encryption}
	c := &controllers{
		http:    &http.Client{Transport: transport},
		scheme:  scheme(encryption),
		clients: map[string]hazelpitchv1connect.NodeServiceClient{},
	}
	c.learn(config.Controllers)
	return c
}

// learn adds addresses that are not known yet.
func (c *controllers) learn(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, address := range addresses {
		if _, known := c.clients[address]; known || address == "" {
			continue
		}
		c.clients[address] = hazelpitchv1connect.NewNodeServiceClient(c.http, c.scheme+"://"+address)
		c.home = append(c.home, address)
		c.order = append(c.order, address)
	}
}

func (c *controllers) setLeader(address string) {
	c.learn([]string{address})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leader = address
}

// inOrder returns the addresses to try, the leader first when it is needed.
func (c *controllers) inOrder(leaderFirst bool) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.postponedAt.IsZero() && time.Since(c.postponedAt) >= homeAfter {
		c.order, c.postponedAt = slices.Clone(c.home), time.Time{}
	}
	order := slices.Clone(c.order)
	if leaderFirst && c.leader != "" {
		order = slices.DeleteFunc(order, func(address string) bool { return address == c.leader })
		order = slices.Insert(order, 0, c.leader)
	}
	return order
}

// postpone makes an address that failed the last to be tried, for homeAfter.
func (c *controllers) postpone(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.order = slices.DeleteFunc(c.order, func(each string) bool { return each == address })
	c.order = append(c.order, address)
	c.postponedAt = time.Now()
}

func (c *controllers) client(address string) hazelpitchv1connect.NodeServiceClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clients[address]
}

// sync asks one controller.
func (c *controllers) sync(ctx context.Context, address string, request *v1.SyncRequest) (*v1.SyncResponse, error) {
	limited, cancel := context.WithTimeout(ctx, controllerCallTimeout)
	defer cancel()
	response, err := c.client(address).Sync(limited, connect.NewRequest(request))
	if err != nil {
		return nil, trace.Wrap(err, "sync with controller %s", address)
	}
	return response.Msg, nil
}
