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
	// generousMs is the deadline of kinds in tests that do not test deadlines. Only a hung
	// request comes near it, also on a busy machine.
	generousMs = 60_000
	// lateMs is the deadline of the kind whose answers are late, and late the delay, which exceeds it.
	lateMs = 4000
	late   = lateMs + 500
	// briskMs is the deadline of the kind whose deadline limits the wait for a prefill engine.
	briskMs = 8000
	// patience is the read and write timeout in tests without slow callers.
	patience = time.Minute
)

// hostsOfRun counts the addresses that ownAddress has returned.
var hostsOfRun atomic.Uint32

// ownAddress returns a free port at an IP address that no other test of this run uses. After
// its listener stops, no other test can reuse the port, so that connections stay refused.
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

// testObjects returns a small configuration: two tenants, a repeatable and a non-repeatable chat
// kind, and a repeatable and a non-repeatable page kind.
func testObjects() []*v1.Object {
	tenant := func(name, key, salt string) *v1.Object {
		created := object(1, v1.ObjectType_OBJECT_TYPE_TENANT, name)
		created.Spec = &v1.Object_Tenant{Tenant: &v1.Tenant{ApiKeyHashes: []string{hashOf(key)}, Weight: 1, CacheSalt: salt}}
		return created
	}
	kind := func(name string, spec *v1.Kind) *v1.Object {
		created := object(1, v1.ObjectType_OBJECT_TYPE_KIND, name)
		created.Spec = &v1.Object_Kind{Kind: spec}
		return created
	}
	service := func(name string, spec *v1.Service) *v1.Object {
		created := object(1, v1.ObjectType_OBJECT_TYPE_SERVICE, name)
		created.Spec = &v1.Object_Service{Service: spec}
		return created
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

// engineBackEnd returns the directory entry of an engine.
func engineBackEnd(name, address string, role v1.Role) *v1.BackEnd {
	return &v1.BackEnd{
		Name: name, Service: "engines", Zone: "z1", Address: address, Role: role, Model: "base", Version: "v1",
		Adapters: []string{"tuned"}, State: v1.BackEndState_BACK_END_STATE_SERVING,
	}
}

// pageBackEnd returns the directory entry of a page service.
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
	// cut means that the test expects the stop to interrupt requests in flight.
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

// startGateway starts a gateway and waits until it is ready.
func startGateway(t testing.TB, config settings.Gateway) *testGateway {
	running := startWithOptions(t, config, Options{Listen: net.Listen, KeyCheckTimeout: patience})
	require.Eventually(t, func() bool { return running.probe(t, metrics.PathReady) == http.StatusOK }, eventually, often)
	return running
}

// startUnready starts a gateway without waiting until it is ready.
func startUnready(t testing.TB, config settings.Gateway) *testGateway {
	return startWithOptions(t, config, Options{Listen: net.Listen})
}

// startWithOptions starts a gateway with the given options, without waiting until it is ready.
func startWithOptions(t testing.TB, config settings.Gateway, options Options) *testGateway {
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

// probe returns the HTTP status of a path of the admin server, or 0 when the server does not answer.
func (g *testGateway) probe(t testing.TB, path string) int {
	answer, err := http.Get("http://" + g.admin + path)
	if err != nil {
		return 0
	}
	require.NoError(t, answer.Body.Close())
	return answer.StatusCode
}
