package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// startBackingOff starts a page service that refuses every request with a Retry-After of one hour. It returns its
// address and the number of requests that have reached it.
func startBackingOff(t *testing.T) (address string, arrived *atomic.Int64) {
	t.Helper()
	arrived = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		arrived.Add(1)
		writer.Header().Set(enginecontract.HeaderExchange, request.Header.Get(enginecontract.HeaderExchange))
		writer.Header().Set(enginecontract.HeaderRunState, enginecontract.RunStateNotRun)
		writer.Header().Set("Retry-After", "3600")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), arrived
}

// TestABackEndThatAsksForRestIsLeftAlone guards against applying Retry-After only to the exchange that returned it. A
// gateway treated such a refusal as a sign of load only and kept sending. Here a back end asks for an hour and must get
// no further request, neither alone nor beside one that serves.
func TestABackEndThatAsksForRestIsLeftAlone(t *testing.T) {
	t.Parallel()
	t.Run("the only back end", func(t *testing.T) {
		t.Parallel()
		address, arrived := startBackingOff(t)
		gateway := startGateway(t, testSettings(startController(t, pageBackEnd("p1", address)).address))
		for range 6 {
			answer := call(t, http.MethodGet, gateway.url+"/lots/7", "", nil)
			require.Equal(t, http.StatusServiceUnavailable, answer.status)
			require.Equal(t, verdict.NotRun.String(), answer.verdict)
			require.NotEmpty(t, answer.header.Get("Retry-After"))
		}
		require.EqualValues(t, 1, arrived.Load())
	})
	t.Run("another back end serves", func(t *testing.T) {
		t.Parallel()
		address, arrived := startBackingOff(t)
		serves := startPage(t, "p2", nil)
		gateway := startGateway(t, testSettings(startController(t, pageBackEnd("p1", address), pageBackEnd("p2", serves.Address())).address))
		for range 40 {
			answer := call(t, http.MethodGet, gateway.url+"/lots/7", "", nil)
			require.Equal(t, http.StatusOK, answer.status)
		}
		require.LessOrEqual(t, arrived.Load(), int64(1))
	})
}
