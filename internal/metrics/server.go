// Package metrics provides the admin endpoint of the servers:
// the Prometheus registry and the HTTP server for health, readiness, metrics and
// the log ring.
package metrics

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/probeserver"
)

// Paths of the admin server.
const (
	PathHealth  = "/health"   // 200 while the process runs
	PathReady   = "/ready"    // 200 when it can serve, else 503 with the reason
	PathMetrics = "/metrics"  // Prometheus text format
	PathLog     = "/log"      // GET: the entries in memory
	PathLogDump = "/log/dump" // POST: dumps the ring as on an error
	pathProfile = "/debug/pprof/"
)

const (
	readTimeout     = 5 * time.Second
	idleTimeout     = 2 * time.Minute // more than the usual interval between two scrapes
	shutdownTimeout = time.Second
)

// AdminServer serves health checks, scrapes and the log ring.
type AdminServer struct {
	Registry *prometheus.Registry
	Log      *logring.Log
	// Ready returns nil when the process can serve, else the reason why not. It must be safe
	// for concurrent use.
	Ready func() error
}

// Serve serves on the listener until the context ends. It closes the listener.
func (a *AdminServer) Serve(ctx context.Context, listener net.Listener) error {
	server := probeserver.New(a.Handler(), readTimeout, idleTimeout)
	stopped := context.AfterFunc(ctx, func() {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(limited); err != nil {
			_ = server.Close()
		}
	})
	defer stopped()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err, "admin server")
	}
	return nil
}

// Handler returns the handler of all admin paths.
func (a *AdminServer) Handler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+PathHealth, func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(writer, "ok")
	})
	routes.HandleFunc("GET "+PathReady, a.serveReady)
	routes.Handle("GET "+PathMetrics, promhttp.HandlerFor(a.Registry, promhttp.HandlerOpts{}))
	routes.HandleFunc("GET "+PathLog, a.serveLog)
	routes.HandleFunc("POST "+PathLogDump, a.serveLogDump)
	routes.HandleFunc("GET "+pathProfile, pprof.Index)
	routes.HandleFunc("GET "+pathProfile+"profile", pprof.Profile)
	return routes
}

func (a *AdminServer) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if err := a.Ready(); err != nil {
		http.Error(writer, "not ready: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(writer, "ready")
}

func (a *AdminServer) serveLog(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/x-ndjson")
	// A write error means that the caller has disconnected.
	_ = a.Log.WriteRecent(writer)
}

func (a *AdminServer) serveLogDump(writer http.ResponseWriter, _ *http.Request) {
	path, err := a.Log.DumpOnRequest()
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(writer, "written to %q (empty: standard error, or nothing new)\n", path)
}
