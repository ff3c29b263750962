package operatorclient

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

// contactBackAfter is the time after the end of a silence by which a controller must answer an operator again.
const contactBackAfter = time.Second

// silentNetwork is the network between the operators and controllers of the tests in this file.
var silentNetwork silence.Network

// outgoingAddress is the address from which the kernel connects to loopback addresses.
var outgoingAddress = netip.MustParseAddr("127.0.0.1")

// serveAt serves a controller on a free port of an address, and returns the IP:port.
func serveAt(t *testing.T, ip string, controller *fakeController) string {
	t.Helper()
	listener, err := closing.Listen("tcp", net.JoinHostPort(ip, "0"))
	require.NoError(t, err)
	routes := http.NewServeMux()
	routes.Handle(hazelpitchv1connect.NewOperatorServiceHandler(controller))
	server := &http.Server{Handler: routes}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// callsInSilence is the number of calls of a test; each begins at another point of the silence, every other one on a connection
// that was open before.
const callsInSilence = 8

// Guards against operators that get no answer for seconds after a silence of the network between them and the controllers:
// attempts waited for the kernel's next retransmission, and the waits between them grew.
func TestOperatorsReachControllersSoonAfterASilence(t *testing.T) {
	t.Parallel()
	for index, length := range []time.Duration{40 * time.Second, 20 * time.Second, 10 * time.Second, 4 * time.Second, time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			var controllers []string
			var group []netip.Addr
			for number := range 3 {
				ip := fmt.Sprintf("127.0.%d.%d", 90+index, number+1)
				group = append(group, netip.MustParseAddr(ip))
				controllers = append(controllers, serveAt(t, ip, &fakeController{steps: []func() error{succeed}}))
			}
			var clients []*Client
			for number := range callsInSilence {
				client, err := New(Config{Controllers: controllers, Key: "key", Timeout: 2 * time.Minute})
				require.NoError(t, err)
				defer client.Close()
				if number%2 == 1 {
					require.NoError(t, apply(t, client))
				}
				clients = append(clients, client)
			}
			unblockControllers, err := silentNetwork.Block(group, []netip.Addr{outgoingAddress})
			require.NoError(t, err)
			unblockOperators, err := silentNetwork.Block([]netip.Addr{outgoingAddress}, group)
			require.NoError(t, err)
			answeredAt := make(chan time.Time, callsInSilence)
			for _, client := range clients {
				go func() {
					assert.NoError(t, apply(t, client))
					answeredAt <- time.Now()
				}()
				time.Sleep(length / callsInSilence)
			}
			require.NoError(t, unblockControllers())
			require.NoError(t, unblockOperators())
			ended := time.Now()
			var took []time.Duration
			for range clients {
				took = append(took, (<-answeredAt).Sub(ended))
			}
			t.Logf("the calls are answered after %v", took)
			require.LessOrEqual(t, slices.Max(took), contactBackAfter)
		})
	}
}

// apply makes a call that takes as many attempts as it needs.
func apply(t *testing.T, client *Client) error {
	_, err := client.Apply(t.Context(), &v1.ApplyRequest{})
	return err
}
