package metrics_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

func TestAdminServer(t *testing.T) {
	registry, factory := metrics.NewRegistry("gateway", "g1", "z1")
	factory.Counter("requests_total", "Requests.").Add(3)
	log := logring.New("g1", settings.Log{RingEntries: 4, DumpDirectory: t.TempDir()})
	log.Info().Msg("hello")
	readiness := errors.New("no controller has answered yet")
	server := metrics.AdminServer{Registry: registry, Log: log, Ready: func() error { return readiness }}
	for _, row := range []struct {
		method, path string
		status       int
		want         string
	}{
		{"GET", metrics.PathHealth, 200, "ok"},
		{"GET", metrics.PathReady, 503, "no controller has answered yet"},
		{"GET", metrics.PathMetrics, 200, `hazelpitch_gateway_requests_total{name="g1",role="gateway",zone="z1"} 3`},
		{"GET", metrics.PathMetrics, 200, "process_cpu_seconds_total"},
		{"GET", metrics.PathLog, 200, `"hello"`},
		{"POST", metrics.PathLogDump, 200, "g1-"},
		{"GET", metrics.PathLogDump, 405, ""},
		{"GET", "/else", 404, ""},
	} {
		answer := httptest.NewRecorder()
		server.Handler().ServeHTTP(answer, httptest.NewRequest(row.method, row.path, nil))
		require.Equal(t, row.status, answer.Code, row.path)
		require.Contains(t, answer.Body.String(), row.want, row.path)
	}
	readiness = nil
	answer := httptest.NewRecorder()
	server.Handler().ServeHTTP(answer, httptest.NewRequest("GET", metrics.PathReady, nil))
	require.Equal(t, 200, answer.Code)
}

func TestServeStopsWithTheContext(t *testing.T) {
	registry, _ := metrics.NewRegistry("gateway", "g1", "z1")
	server := metrics.AdminServer{Registry: registry, Ready: func() error { return nil }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	answer, err := http.Get("http://" + listener.Addr().String() + metrics.PathReady)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	cancel()
	require.NoError(t, <-served)
}
