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

// stillness is a process that stands still: while it does, nothing is accepted and nothing read.
type stillness struct{ moving atomic.Pointer[chan struct{}] }

func newStillness() *stillness {
	made := &stillness{}
	made.resume()
	return made
}

func (s *stillness) stand() {
	still := make(chan struct{})
	s.moving.Store(&still)
}

func (s *stillness) resume() {
	moves := make(chan struct{})
	close(moves)
	if before := s.moving.Swap(&moves); before != nil {
		select {
		case <-*before:
		default:
			close(*before)
		}
	}
}

func (s *stillness) listen(network, address string) (net.Listener, error) {
	inner, err := closing.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return &stillListener{Listener: inner.(*closing.Listener), stillness: s}, nil
}

type stillListener struct {
	*closing.Listener
	*stillness
}

func (l *stillListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	<-*l.moving.Load()
	if err != nil {
		return nil, err
	}
	return &stillConnection{Conn: connection, stillness: l.stillness}, nil
}

type stillConnection struct {
	net.Conn
	*stillness
}

func (c *stillConnection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	<-*c.moving.Load()
	return n, err
}

// Guards against requests that had reached a stopping gateway as it closed its port, on connections in use, on new ones and on
// ones that it had not accepted yet, and got no answer: seen when the machine was so busy that the gateway stood still.
func TestRequestsThatReachAClosingPortAreAnswered(t *testing.T) {
	t.Parallel()
	engine := startEngine(t)
	controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
	still := newStillness()
	config := testSettings(controller.address)
	gateway := startWith(t, config, Options{KeyCheckTimeout: patience, Listen: func(network, address string) (net.Listener, error) {
		if address == config.Listen {
			return still.listen(network, address)
		}
		return net.Listen(network, address) // administration moves on
	}})
	require.Eventually(t, func() bool { return gateway.probe(t, metrics.PathReady) == http.StatusOK }, eventually, often)

	sent := rawRequest(http.MethodPost, "/v1/chat/completions", "matching", "", wholeBody)
	used, opened := dial(t, gateway, sent), dial(t, gateway, "")
	usedReader := bufio.NewReader(used)
	first, err := http.ReadResponse(usedReader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, first.StatusCode)
	require.NoError(t, first.Body.Close())

	still.stand()
	readers := []*bufio.Reader{usedReader, bufio.NewReader(opened)}
	for _, connection := range []net.Conn{used, opened} {
		_, err := connection.Write([]byte(sent))
		require.NoError(t, err)
	}
	for range 20 {
		readers = append(readers, bufio.NewReader(dial(t, gateway, sent)))
	}
	gateway.stop()
	require.Eventually(t, func() bool { return gateway.probe(t, metrics.PathReady) == http.StatusServiceUnavailable }, eventually, often)
	time.Sleep(50 * time.Millisecond) // longer than the test's notice: the port is about to close
	still.resume()
	for _, reader := range readers {
		answer, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.StatusCode)
		require.True(t, answer.Close, "the caller is told that its connection ends")
		require.NoError(t, answer.Body.Close())
	}
}
