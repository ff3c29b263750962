package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

const (
	// contactBackAfter is the time after the end of a silence by which a gateway must be in contact with the controllers again.
	contactBackAfter = time.Second
	// gatewaysInSilence is the number of gateways that a test cuts off; each is at another point of its calls.
	gatewaysInSilence = 8
	// defaultSyncInterval is the default of settings.Gateway.
	defaultSyncInterval = time.Second
)

// silentNetwork is the network between the controllers and gateways of the tests in this file.
var silentNetwork silence.Network

// startControllerAt starts a test controller on an address.
func startControllerAt(t *testing.T, ip string) *testController {
	t.Helper()
	controller := &testController{revision: 1, objects: testObjects(), directory: &v1.Directory{Version: 1}}
	listener, err := closing.Listen("tcp", net.JoinHostPort(ip, "0"))
	require.NoError(t, err)
	routes := http.NewServeMux()
	routes.Handle(hazelpitchv1connect.NewNodeServiceHandler(controller))
	server := &http.Server{Handler: routes}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	controller.address = listener.Addr().String()
	return controller
}

// setRevision changes the revision of the controller's configuration.
func (c *testController) setRevision(revision uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.revision = revision
}

// Guards against gateways that stay without contact to the controllers after a silence of the network between them.
func TestGatewaysHearControllersSoonAfterASilence(t *testing.T) {
	t.Parallel()
	for index, length := range []time.Duration{40 * time.Second, 20 * time.Second, 10 * time.Second, 4 * time.Second, time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			ip := func(number int) string { return fmt.Sprintf("127.0.%d.%d", 70+index, number) }
			var controllers []*testController
			var settingsAddresses []string
			var group, others []netip.Addr
			for number := range 3 {
				controllers = append(controllers, startControllerAt(t, ip(1+number)))
				settingsAddresses = append(settingsAddresses, controllers[number].address)
				group = append(group, netip.MustParseAddr(ip(1+number)))
			}
			var gateways []*Control
			for number := range gatewaysInSilence {
				config := testSettings(settingsAddresses...)
				config.SourceAddress, config.SyncInterval = ip(100+number), defaultSyncInterval
				others = append(others, netip.MustParseAddr(config.SourceAddress))
				control, err := NewControl(config, ControlOptions{Log: logring.New("g1", settings.Log{RingEntries: 16})})
				require.NoError(t, err)
				ctx, cancel := context.WithCancel(context.Background())
				stopped := make(chan struct{})
				go func() { defer close(stopped); control.Run(ctx) }()
				t.Cleanup(func() { cancel(); <-stopped })
				gateways = append(gateways, control)
				time.Sleep(defaultSyncInterval / gatewaysInSilence) // another point of the interval for each
			}
			awaitRevision(t, gateways, 1)
			unblockGroup, err := silentNetwork.Block(group, others)
			require.NoError(t, err)
			unblockOthers, err := silentNetwork.Block(others, group)
			require.NoError(t, err)
			for _, controller := range controllers {
				controller.setRevision(2)
			}
			time.Sleep(length)
			require.NoError(t, unblockGroup())
			require.NoError(t, unblockOthers())
			took := awaitRevision(t, gateways, 2)
			t.Logf("the new configuration is in force after %v", took)
			require.LessOrEqual(t, slices.Max(took), contactBackAfter)
		})
	}
}

// awaitRevision waits until all gateways have applied a revision. It returns how long each of them took.
func awaitRevision(t *testing.T, gateways []*Control, revision uint64) []time.Duration {
	t.Helper()
	began, took := time.Now(), make([]time.Duration, len(gateways))
	require.Eventually(t, func() bool {
		for index, control := range gateways {
			if took[index] == 0 && control.Revision() == revision {
				took[index] = time.Since(began)
			}
		}
		return !slices.Contains(took, 0)
	}, eventually, 5*time.Millisecond)
	return took
}
