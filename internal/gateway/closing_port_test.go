package gateway

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"

	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
)

// freezer simulates a frozen process: while frozen, its listeners accept and read nothing.
type freezer struct{ running atomic.Pointer[chan struct{}] }

func newFreezer() *freezer {
	created := &freezer{}
	created.thaw()
	return created
}

func (s *freezer) freeze() {
	blocked := make(chan struct{})
	s.running.Store(&blocked)
}

func (s *freezer) thaw() {
	released := make(chan struct{})
	close(released)
	if before := s.running.Swap(&released); before != nil {
		select {
		case <-*before:
		default:
			close(*before)
		}
	}
}

func (s *freezer) listen(network, address string) (net.Listener, error) {
	inner, err := closing.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return &freezableListener{Listener: inner.(*closing.Listener), freezer: s}, nil
}

type freezableListener struct {
	*closing.Listener
	*freezer
}

func (l *freezableListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	<-*l.running.Load()
	if err != nil {
		return nil, err
	}
	return &freezableConnection{Conn: connection, freezer: l.freezer}, nil
}

type freezableConnection struct {
	net.Conn
	*freezer
}

func (c *freezableConnection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	<-*c.running.Load()
	return n, err
}

// TestRequestsThatReachAClosingPortAreAnswered guards against requests without an answer that reached a stopping gateway
// while it closed its port, on connections in use, on new ones and on ones not yet accepted. They were lost when the
// gateway did not run for a moment on a busy machine.
func TestRequestsThatReachAClosingPortAreAnswered(t *testing.T) {
	t.Parallel()
	engine := startEngine(t)
	controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
	process := newFreezer()
	config := testSettings(controller.address)
	gateway := startWithOptions(t, config, Options{KeyCheckTimeout: patience, Listen: func(network, address string) (net.Listener, error) {
		if address == config.Listen {
			return process.listen(network, address)
		}
		return net.Listen(network, address) // the admin server is not frozen
	}})
	require.Eventually(t, func() bool { return gateway.probe(t, metrics.PathReady) == http.StatusOK }, eventually, often)

	request := rawRequest(http.MethodPost, "/v1/chat/completions", "matching", "", unstreamedBody)
	used, opened := dial(t, gateway, request), dial(t, gateway, "")
	usedReader := bufio.NewReader(used)
	first, err := http.ReadResponse(usedReader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, first.StatusCode)
	require.NoError(t, first.Body.Close())

	process.freeze()
	readers := []*bufio.Reader{usedReader, bufio.NewReader(opened)}
	for _, connection := range []net.Conn{used, opened} {
		_, err := connection.Write([]byte(request))
		require.NoError(t, err)
	}
	for range 20 {
		readers = append(readers, bufio.NewReader(dial(t, gateway, request)))
	}
	gateway.stop()
	require.Eventually(t, func() bool { return gateway.probe(t, metrics.PathReady) == http.StatusServiceUnavailable }, eventually, often)
	time.Sleep(50 * time.Millisecond) // longer than the drain delay of the test: the port is about to close
	process.thaw()
	for _, reader := range readers {
		answer, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.StatusCode)
		require.True(t, answer.Close, "the answer announces that its connection closes")
		require.NoError(t, answer.Body.Close())
	}
}
