package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// TestRequestsThatCrossTheCloseOfTheirConnectionAreAnswered guards against requests that were on their way when a stopping
// gateway closed their connection: it closed a used one without a word, so that the caller got a reset, and told a new one
// that its request could not be read.
func TestRequestsThatCrossTheCloseOfTheirConnectionAreAnswered(t *testing.T) {
	t.Parallel()
	engine := startEngine(t)
	controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
	gateway := startGateway(t, testSettings(controller.address))
	request := rawRequest(http.MethodPost, "/v1/chat/completions", "matching", "", unstreamedBody)
	used, opened := dial(t, gateway, request), dial(t, gateway, "")
	usedReader := bufio.NewReader(used)
	first, err := http.ReadResponse(usedReader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, first.StatusCode)
	_, err = io.Copy(io.Discard, first.Body)
	require.NoError(t, err)
	gateway.stop()
	for _, connection := range []net.Conn{used, opened} {
		awaitBytesOrEnd(t, connection)
		_, err := io.WriteString(connection, request)
		require.NoError(t, err)
	}
	for _, reader := range []*bufio.Reader{usedReader, bufio.NewReader(opened)} {
		answer, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestTimeout, answer.StatusCode)
		require.Equal(t, verdict.MayHaveRun.String(), answer.Header.Get(verdict.Header), "an earlier attempt with the same idempotency key may have run")
		require.True(t, answer.Close)
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(t, err)
		_, err = reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
	runs, _, _ := engine.counts()
	require.Equal(t, 1, runs)
}

// TestRefusalReachesACallerThatIsStillSending guards against a refusal that its caller never reads: the gateway closed the
// connection while the rest of the body was on its way, which resets the connection.
func TestRefusalReachesACallerThatIsStillSending(t *testing.T) {
	t.Parallel()
	gateway := startGateway(t, testSettings(startController(t).address))
	connection := dial(t, gateway, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 6000000\r\n\r\n")
	piece := strings.Repeat("x", 1<<20)
	for range 5 {
		_, err := io.WriteString(connection, piece)
		require.NoError(t, err)
	}
	reader := bufio.NewReader(connection)
	answer, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, answer.StatusCode)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// awaitBytesOrEnd blocks until bytes or the end of the stream have arrived on a connection, and reads none.
func awaitBytesOrEnd(t *testing.T, connection net.Conn) {
	t.Helper()
	raw, err := connection.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	}))
}
