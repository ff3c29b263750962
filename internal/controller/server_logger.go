package controller

import (
	"log"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/logring"
)

// serverLogger writes what the HTTP server has to say, such as why a peer was refused
// in the handshake, into the log ring.
type serverLogger struct{ log *logring.Log }

// newServerLogger returns the logger that net/http wants.
func newServerLogger(ring *logring.Log) *log.Logger { return log.New(serverLogger{log: ring}, "", 0) }

// Write logs one message of the server.
func (s serverLogger) Write(message []byte) (int, error) {
	s.log.Warn().Msg(strings.TrimSpace(string(message)))
	return len(message), nil
}
