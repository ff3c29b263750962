package gateway

import (
	"context"
	"crypto/tls"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/declaredend"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

const (
	controllerCallTimeout = 900 * time.Millisecond
	controllerIdleTimeout = 30 * time.Second
	// homeOrderDelay is the time without failures after which a gateway calls the controllers in the order of its
	// settings again. Without it, one restart of a controller would move its gateways permanently to other controllers.
	homeOrderDelay = 30 * time.Second
)

// controllers holds the clients of all controllers. It is safe for concurrent use.
type controllers struct {
	http *http.Client
	// scheme is https when the fleet uses TLS, else http.
	scheme  string
	mutex   sync.Mutex
	clients map[string]hazelpitchv1connect.NodeServiceClient
	// homeOrder is the order of the settings, followed by addresses in the order of their discovery; it spreads the
	// gateways over the controllers. order is the order of attempts for calls that any controller answers: homeOrder,
	// with the demoted controllers at the end. It returns to homeOrder once no controller has been demoted for
	// homeOrderDelay.
	homeOrder []string
	order     []string
	// demotedAt is the time of the last call of demote; zero when order equals homeOrder.
	demotedAt time.Time
	// leader is the last known address of the leader; empty when unknown.
	leader string
}

// newControllers returns the clients of the configured controllers. They use TLS when tlsConfig is not nil; dial opens their
// connections, nil means as net.Dial does.
func newControllers(config settings.Gateway, dial dialing.Dial, tlsConfig *tls.Config) *controllers {
	transport := checkedconn.NewTransport(dial, tlsConfig)
	transport.IdleConnTimeout = controllerIdleTimeout
	c := &controllers{
		http:    &http.Client{Transport: declaredend.NewTransport(transport)},
		scheme:  scheme(tlsConfig),
		clients: map[string]hazelpitchv1connect.NodeServiceClient{},
	}
	c.addAddresses(config.Controllers)
	return c
}

// addAddresses adds the addresses that are not known yet.
func (c *controllers) addAddresses(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, address := range addresses {
		if _, known := c.clients[address]; known || address == "" {
			continue
		}
		c.clients[address] = hazelpitchv1connect.NewNodeServiceClient(c.http, c.scheme+"://"+address)
		c.homeOrder = append(c.homeOrder, address)
		c.order = append(c.order, address)
	}
}

func (c *controllers) setLeader(address string) {
	c.addAddresses([]string{address})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leader = address
}

// candidates returns the controllers' addresses in the order of attempts. With leaderFirst the last known leader comes first.
func (c *controllers) candidates(leaderFirst bool) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.demotedAt.IsZero() && time.Since(c.demotedAt) >= homeOrderDelay {
		c.order, c.demotedAt = slices.Clone(c.homeOrder), time.Time{}
	}
	order := slices.Clone(c.order)
	if leaderFirst && c.leader != "" {
		order = slices.DeleteFunc(order, func(address string) bool { return address == c.leader })
		order = slices.Insert(order, 0, c.leader)
	}
	return order
}

// demote moves a failed controller's address to the end of the order of attempts. The order of the settings returns once
// no address has been demoted for homeOrderDelay.
func (c *controllers) demote(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.order = slices.DeleteFunc(c.order, func(each string) bool { return each == address })
	c.order = append(c.order, address)
	c.demotedAt = time.Now()
}

func (c *controllers) client(address string) hazelpitchv1connect.NodeServiceClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clients[address]
}

// sync sends a heartbeat to one controller.
func (c *controllers) sync(ctx context.Context, address string, request *v1.SyncRequest) (*v1.SyncResponse, error) {
	limited, cancel := context.WithTimeout(ctx, controllerCallTimeout)
	defer cancel()
	response, err := c.client(address).Sync(limited, connect.NewRequest(request))
	if err != nil {
		return nil, trace.Wrap(err, "sync with controller %s", address)
	}
	if proto.Size(response.Msg) == 0 {
		return nil, trace.ConnectionProblem(nil, "the answer of controller %s to a heartbeat is empty", address)
	}
	return response.Msg, nil
}
