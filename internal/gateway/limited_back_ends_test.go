package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// limitedService is a page service that answers every request and sets a limit of one request a second until it is lifted.
type limitedService struct {
	address string
	lifted  atomic.Bool

	mutex   sync.Mutex
	arrived []time.Time
}

func startLimited(t *testing.T) *limitedService {
	t.Helper()
	service := &limitedService{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		service.mutex.Lock()
		service.arrived = append(service.arrived, time.Now())
		service.mutex.Unlock()
		writer.Header().Set(enginecontract.HeaderExchange, request.Header.Get(enginecontract.HeaderExchange))
		if !service.lifted.Load() {
			writer.Header().Set(enginecontract.HeaderRequestLimit, "1")
		}
		writer.Header().Set("Content-Length", "2")
		_, _ = writer.Write([]byte("ok")) // an error shows at the gateway, which reads the body
	}))
	t.Cleanup(server.Close)
	service.address = strings.TrimPrefix(server.URL, "http://")
	return service
}

// maximumInFourSeconds returns the largest number of requests that arrived within four seconds, without the first skipped ones.
func (s *limitedService) maximumInFourSeconds(skipped int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	most, first := 0, skipped
	for last := skipped; last < len(s.arrived); last++ {
		for s.arrived[last].Sub(s.arrived[first]) > 4*time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestALimitForAllGatewaysTogetherHolds guards against gateways that apply a back end's limit separately, so that they exceed it
// together. A back end allows one request a second, and each of three gateways that know the limit gets forty requests.
func TestALimitForAllGatewaysTogetherHolds(t *testing.T) {
	t.Parallel()
	service := startLimited(t)
	controller := startController(t, pageBackEnd("p1", service.address))
	var gateways []*testGateway
	for _, name := range []string{"g1", "g2", "g3"} {
		config := testSettings(controller.address)
		config.Name = name
		gateways = append(gateways, startGateway(t, config))
	}
	send := func(gateway *testGateway) int { return call(t, http.MethodGet, gateway.url+"/lots/7", "", nil).status }
	for _, gateway := range gateways {
		require.Eventually(t, func() bool { return send(gateway) == http.StatusOK }, eventually, often)
	}
	service.mutex.Lock()
	warmUp := len(service.arrived)
	service.mutex.Unlock()
	for range 40 {
		for _, gateway := range gateways {
			send(gateway)
		}
	}
	const allowed = 1.5*1*4 + 5
	require.LessOrEqual(t, float64(service.maximumInFourSeconds(warmUp)), allowed)
	require.Eventually(t, func() bool {
		send(gateways[1])
		service.mutex.Lock()
		defer service.mutex.Unlock()
		return len(service.arrived) >= warmUp+4
	}, eventually, often, "the limit is used")
	require.LessOrEqual(t, float64(service.maximumInFourSeconds(warmUp)), allowed)

	service.lifted.Store(true)
	require.Eventually(t, func() bool {
		for range 10 {
			for _, gateway := range gateways {
				if send(gateway) != http.StatusOK {
					return false
				}
			}
		}
		return true
	}, eventually, often, "the back end is used as before")
}
