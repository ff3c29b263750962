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

// startResting starts a page service that refuses every request and asks for an hour of rest, and returns its
// address and how many requests have reached it.
func startResting(t *testing.T) (address string, arrived *atomic.Int64) {
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

// A gateway took a refusal for a sign of load and went on sending to back ends that had asked for rest: nobody
// read Retry-After beyond the exchange it came with. Here one asks for an hour and must get nothing more,
// neither as the only one nor beside one that serves.
func TestABackEndThatAsksForRestIsLeftAlone(t *testing.T) {
	t.Parallel()
	t.Run("the only one", func(t *testing.T) {
		t.Parallel()
		address, arrived := startResting(t)
		gateway := startGateway(t, testSettings(startController(t, pageBackEnd("p1", address)).address))
		for range 6 {
			answer := call(t, http.MethodGet, gateway.url+"/lots/7", "", nil)
			require.Equal(t, http.StatusServiceUnavailable, answer.status)
			require.Equal(t, verdict.NotRun.String(), answer.verdict)
			require.NotEmpty(t, answer.header.Get("Retry-After"))
		}
		require.EqualValues(t, 1, arrived.Load())
	})
	t.Run("another one serves", func(t *testing.T) {
		t.Parallel()
		address, arrived := startResting(t)
		serves := startPage(t, "p2", nil)
		gateway := startGateway(t, testSettings(startController(t, pageBackEnd("p1", address), pageBackEnd("p2", serves.Address())).address))
		for range 40 {
			answer := call(t, http.MethodGet, gateway.url+"/lots/7", "", nil)
			require.Equal(t, http.StatusOK, answer.status)
		}
		require.LessOrEqual(t, arrived.Load(), int64(1))
	})
}
