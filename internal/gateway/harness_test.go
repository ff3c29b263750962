package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

const (
	testKey      = "key-of-tenant-one"
	otherTestKey = "key-of-tenant-two"
	// generousMs is the deadline of kinds whose tests aren't about deadlines: only a hung
	// request comes near it, however busy the machine is.
	generousMs = 60_000
	// lateMs is the deadline of the kind that is answered late, late the delay beyond it.
	lateMs = 4000
	late   = lateMs + 500
	// briskMs is the deadline of the kind whose deadline bounds the wait for a prefill engine.
	briskMs = 8000
	// patience bounds reading and writing in tests that aren't about slow callers.
	patience = time.Minute
)

// hostsOfRun counts the addresses that ownAddress has given.
var hostsOfRun atomic.Uint32

// ownAddress is a free port of an address that nobody else in this run listens on: what
// stops listening there is down, since no other test can take its port.
func ownAddress() string {
	number := hostsOfRun.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 33+os.Getpid()%31, number>>8&0xff, number&0xff)
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func object(revision uint64, kind v1.ObjectType, name string) *v1.Object {
	return &v1.Object{Key: &v1.ObjectKey{Type: kind, Name: name}, Revision: revision}
}

// testObjects is a small configuration: two tenants, a repeatable and a once-only chat
// kind, and a repeatable and a once-only page kind.
func testObjects() []*v1.Object {
	tenant := func(name, key, salt string) *v1.Object {
		made := object(1, v1.ObjectType_OBJECT_TYPE_TENANT, name)
		made.Spec = &v1.Object_Tenant{Tenant: &v1.Tenant{ApiKeyHashes: []string{hashOf(key)}, Weight: 1, CacheSalt: salt}}
		return made
	}
	kind := func(name string, spec *v1.Kind) *v1.Object {
		made := object(1, v1.ObjectType_OBJECT_TYPE_KIND, name)
		made.Spec = &v1.Object_Kind{Kind: spec}
		return made
	}
	service := func(name string, spec *v1.Service) *v1.Object {
		made := object(1, v1.ObjectType_OBJECT_TYPE_SERVICE, name)
		made.Spec = &v1.Object_Service{Service: spec}
		return made
	}
	model := object(1, v1.ObjectType_OBJECT_TYPE_MODEL, "base")
	model.Spec = &v1.Object_Model{Model: &v1.Model{Version: "v1"}}
	adapter := object(1, v1.ObjectType_OBJECT_TYPE_ADAPTER, "tuned")
	adapter.Spec = &v1.Object_Adapter{Adapter: &v1.Adapter{Model: "base", Version: "v1", Tenants: []string{"two"}}}
	return []*v1.Object{
		tenant("one", testKey, "salt-one"), tenant("two", otherTestKey, "salt-two"), model, adapter,
		service("engines", &v1.Service{Type: v1.ServiceType_SERVICE_TYPE_ENGINE, Model: "base"}),
		service("portal", &v1.Service{Type: v1.ServiceType_SERVICE_TYPE_PAGE}),
		kind("matching", &v1.Kind{Worth: 5, DeadlineMs: generousMs, Repeatable: true, Service: "engines", Priority: 7}),
		kind("brisk", &v1.Kind{Worth: 5, DeadlineMs: briskMs, Repeatable: true, Service: "engines"}),
		kind("once", &v1.Kind{Worth: 5, DeadlineMs: generousMs, Service: "engines"}),
		kind("listing", &v1.Kind{Worth: 1, DeadlineMs: generousMs, Repeatable: true, Service: "portal", Path: "/lots"}),
		kind("registration", &v1.Kind{Worth: 9, DeadlineMs: generousMs, Service: "portal", Path: "/registrations"}),
		kind("urgent", &v1.Kind{Worth: 9, DeadlineMs: lateMs, Service: "portal", Path: "/urgent"}),
	}
}

// engineBackEnd is a directory row of an engine.
func engineBackEnd(name, address string, role v1.Role) *v1.BackEnd {
	return &v1.BackEnd{
		Name: name, Service: "engines", Zone: "z1", Address: address, Role: role, Model: "base", Version: "v1",
		Adapters: []string{"tuned"}, State: v1.BackEndState_BACK_END_STATE_SERVING,
	}
}

// pageBackEnd is a directory row of a page service.
func pageBackEnd(name, address string) *v1.BackEnd {
	return &v1.BackEnd{Name: name, Service: "portal", Zone: "z1", Address: address, State: v1.BackEndState_BACK_END_STATE_SERVING}
}

// testGateway is a running gateway.
type testGateway struct {
	url     string
	address string
	admin   string
	stop    context.CancelFunc
	done    chan error
	// cut tells that the test expects a stop that cuts what is in flight.
	cut bool
}

func testSettings(controllers ...string) settings.Gateway {
	return settings.Gateway{
		Name: "g1", Fleet: "test", Zone: "z1", Listen: ownAddress(), AdminListen: ownAddress(), Controllers: controllers,
		SyncInterval: 100 * time.Millisecond, DrainTimeout: 10 * time.Second,
		Limits: settings.GatewayLimits{
			HeaderBytes: 16384, BodyBytes: 1 << 20, InFlight: 256, QueueLength: 64,
			ReadTimeout: patience, WriteTimeout: patience,
		},
		Log: settings.Log{RingEntries: 256},
	}
}

// startGateway starts a gateway and waits until callers may be sent there.
func startGateway(t testing.TB, config settings.Gateway) *testGateway {
	running := startWith(t, config, Options{Listen: net.Listen, KeyCheckTimeout: patience})
	require.Eventually(t, func() bool { return running.probe(t, metrics.PathReady) == http.StatusOK }, eventually, often)
	return running
}

// startUnready starts a gateway that may not have heard of a controller yet.
func startUnready(t testing.TB, config settings.Gateway) *testGateway {
	return startWith(t, config, Options{Listen: net.Listen})
}

// startWith starts one with options of the test's.
func startWith(t testing.TB, config settings.Gateway, options Options) *testGateway {
	running := &testGateway{done: make(chan error, 1)}
	var addresses []string
	listen := options.Listen
	options.Listen = func(network, address string) (net.Listener, error) {
		listener, err := listen(network, address)
		if err == nil {
			addresses = append(addresses, listener.Addr().String())
		}
		return listener, err
	}
	started := make(chan struct{})
	options.Ready = started
	options.DrainDelay = time.Millisecond
	ctx, stop := context.WithCancel(context.Background())
	running.stop = stop
	go func() { running.done <- Run(ctx, config, options) }()
	<-started
	running.address, running.admin = addresses[0], addresses[1]
	running.url = "http://" + running.address
	t.Cleanup(func() {
		stop()
		err := <-running.done
		require.Equal(t, running.cut, err != nil, "%v", err)
	})
	return running
}

// probe returns the status of a path of the admin server, 0 when it does not answer.
func (g *testGateway) probe(t testing.TB, path string) int {
	answer, err := http.Get("http://" + g.admin + path)
	if err != nil {
		return 0
	}
	require.NoError(t, answer.Body.Close())
	return answer.StatusCode
}
