package controller

import (
	"log"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/logring"
)

// serverLogger writes the messages of the HTTP server to the log ring, for example why it refused a peer
// in the TLS handshake.
type serverLogger struct{ log *logring.Log }

// newServerLogger returns a logger for net/http that writes to the log ring.
func newServerLogger(ring *logring.Log) *log.Logger { return log.New(serverLogger{log: ring}, "", 0) }

// Write logs one message of the server.
func (s serverLogger) Write(message []byte) (int, error) {
	s.log.Warn().Msg(strings.TrimSpace(string(message)))
	return len(message), nil
}
