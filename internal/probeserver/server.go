// Package probeserver sets up the HTTP servers of health checks, metrics and other queries, whose requests have no bodies. It
// bounds what such a server reads of a request, in bytes and in time.
package probeserver

import (
	"net/http"
	"time"
)

// maxHeadBytes bounds the head of a request. net/http adds 4 KB.
const maxHeadBytes = 16 << 10

// New returns a server. A request must arrive whole within the read timeout; a connection may be idle for the idle timeout.
func New(handler http.Handler, readTimeout, idleTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
	}
}
