package controller

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"math"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/keys"
)

const (
	headerReadTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// peerPingAfter is the time without a frame from another controller after which a connection to it is probed, and
	// peerPingTimeout how long the answer is awaited before the connection is closed. TCP does not show a connection that
	// something on the way acknowledges without passing it on. Leaders send heartbeats more often than that.
	peerPingAfter   = 500 * time.Millisecond
	peerPingTimeout = 500 * time.Millisecond
	// maxNodeMessageBytes limits a message of a gateway or operator.
	maxNodeMessageBytes = 16 << 20
	// maxPeerMessageBytes limits a message between controllers; a snapshot is one message.
	maxPeerMessageBytes = 256 << 20
	// compressMinBytes is the size from which answers are compressed: heartbeats and
	// reports are smaller, whole configurations and directories are larger.
	compressMinBytes = 4 << 10
	// shutdownTimeout is how long a stopping controller waits for calls in flight. Calls that are not done by callGrace are
	// cancelled, so that they are answered with an error before their connections close.
	shutdownTimeout = time.Second
	callGrace       = 800 * time.Millisecond
)

// protocols returns HTTP/1.1 and HTTP/2, the latter also without TLS: HTTP/2 compresses the
// repeated headers of calls to a few bytes and needs one connection per peer.
func protocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// newPeerClient returns an HTTP client for other controllers.
func newPeerClient(dial dialing.Dial, tlsConfig *tls.Config) *http.Client {
	transport := &http.Transport{
		DialContext:     dial,
		TLSClientConfig: tlsConfig,
		IdleConnTimeout: idleTimeout,
		Protocols:       new(http.Protocols),
		HTTP2:           &http.HTTP2Config{SendPingTimeout: peerPingAfter, PingTimeout: peerPingTimeout},
	}
	transport.Protocols.SetHTTP2(tlsConfig != nil)
	transport.Protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	return &http.Client{Transport: checkedconn.CheckHTTP2(transport)}
}

// peerURL returns a function that returns the base URL of a controller.
func peerURL(encrypted bool) func(address string) string {
	scheme := "http://"
	if encrypted {
		scheme = "https://"
	}
	return func(address string) string { return scheme + address }
}

// handler routes the three services. With TLS, each is restricted to the roles that need it.
// Controllers may call all of them, because they forward calls to the leader.
func handler(fleet string, interceptor connect.Interceptor, consensus consensusService, node nodeService, operator operatorService) http.Handler {
	routes := http.NewServeMux()
	intercepted := connect.WithHandlerOptions(connect.WithInterceptors(interceptor), connect.WithCompressMinBytes(compressMinBytes))
	path, service := hazelpitchv1connect.NewConsensusServiceHandler(consensus, connect.WithReadMaxBytes(maxPeerMessageBytes), intercepted)
	routes.Handle(path, keys.RequireRole(service, fleet, keys.RoleController))
	path, service = hazelpitchv1connect.NewNodeServiceHandler(node, connect.WithReadMaxBytes(maxNodeMessageBytes), intercepted,
		connect.WithConditionalHandlerOptions(withoutCompressionOfWatches))
	routes.Handle(path, keys.RequireRole(service, fleet, keys.RoleGateway, keys.RoleController))
	// Operators authenticate with a key in every call, with or without a certificate.
	routes.Handle(hazelpitchv1connect.NewOperatorServiceHandler(operator, connect.WithReadMaxBytes(maxNodeMessageBytes), intercepted))
	return routes
}

// withoutCompressionOfWatches returns the options of a procedure of the node service. What is large in an answer to a watch is
// packed once for all relays; compressing it again for each of them takes the processor from the leader's heartbeats.
func withoutCompressionOfWatches(spec connect.Spec) []connect.HandlerOption {
	if spec.Procedure != hazelpitchv1connect.NodeServiceWatchProcedure {
		return nil
	}
	return []connect.HandlerOption{connect.WithCompressMinBytes(math.MaxInt)}
}

// serveHTTP serves on the listener until the context ends, and then finishes or cancels the
// calls in flight within shutdownTimeout. It closes the listener. The logger receives
// the reasons why peers were refused in the TLS handshake.
func serveHTTP(ctx context.Context, listener net.Listener, routes http.Handler, tlsConfig *tls.Config, logger *log.Logger) error {
	calls, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCalls()
	server := &http.Server{
		Handler:           routes,
		BaseContext:       func(net.Listener) context.Context { return calls },
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       idleTimeout,
		Protocols:         protocols(),
		TLSConfig:         tlsConfig,
		ErrorLog:          logger,
	}
	served := make(chan error, 1)
	go func() {
		if tlsConfig != nil {
			served <- server.ServeTLS(listener, "", "")
			return
		}
		served <- server.Serve(listener)
	}()
	select {
	case err := <-served:
		return trace.Wrap(err, "the server of peers, nodes and operators stopped")
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	defer time.AfterFunc(callGrace, cancelCalls).Stop()
	if err := server.Shutdown(limited); err != nil {
		_ = server.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}
