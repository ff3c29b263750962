package closing

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a reset that destroys an answer: the connection was closed while its client was still sending.
func TestAnswerBeforeTheCloseIsNotReset(t *testing.T) {
	set := NewSet()
	client, server := connectedPair(t, set)
	server.SetState(Serving)
	_, err := client.Write(make([]byte, 1<<10))
	require.NoError(t, err)
	_, err = io.WriteString(server, "answer")
	require.NoError(t, err)
	require.NoError(t, server.Close())
	for range 100 {
		_, err = client.Write(make([]byte, 1<<10))
		require.NoError(t, err)
	}
	received, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, "answer", string(received))
	require.Zero(t, set.Len())
	require.False(t, set.isEmpty(), "a stopping server waits for the client")
	require.NoError(t, client.Close())
	require.True(t, set.CloseIdle(t.Context(), time.Now(), 0))
	require.True(t, set.isEmpty())
}

// A client that does not close its connection after the last answer holds it for a limited time.
func TestConnectionOfAClientThatNeverClosesIsClosed(t *testing.T) {
	set := NewSet()
	client, server := connectedPair(t, set)
	server.SetState(Serving)
	require.NoError(t, server.Close())
	_, err := client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.True(t, set.CloseIdle(t.Context(), time.Now(), 0))
	require.Eventually(t, func() bool { _, err := client.Write([]byte("x")); return err != nil }, time.Minute, time.Millisecond)
}

// Guards against a request without an answer: it was on its way when its idle connection was closed, and got a reset.
func TestRequestThatCrossesTheCloseIsAnswered(t *testing.T) {
	for name, state := range map[string]State{"fresh": Fresh, "idle": Idle} {
		t.Run(name, func(t *testing.T) {
			set := NewSet()
			set.AnswerOnClose([]byte("408"))
			client, server := connectedPair(t, set)
			server.SetState(state)
			server.requestClose(time.Now())
			_, err := server.Read(make([]byte, 1))
			require.Error(t, err)
			_, err = io.WriteString(client, "request")
			require.NoError(t, err)
			_, err = io.WriteString(server, "another answer")
			require.ErrorIs(t, err, net.ErrClosed, "there is only one answer")
			_, err = server.Read(make([]byte, 1))
			require.ErrorIs(t, err, net.ErrClosed, "the request is never run")
			require.NoError(t, server.Close())
			received, err := io.ReadAll(client)
			require.NoError(t, err)
			require.Equal(t, "408", string(received))
		})
	}
}

// An idle connection whose time is over, without a stop, is closed without an answer.
func TestIdleTimeoutIsNotAnswered(t *testing.T) {
	set := NewSet()
	set.AnswerOnClose([]byte("408"))
	client, server := connectedPair(t, set)
	server.SetState(Idle)
	require.NoError(t, server.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err := server.Read(make([]byte, 1))
	var timeout net.Error
	require.True(t, errors.As(err, &timeout) && timeout.Timeout())
	require.NoError(t, server.Close())
	received, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Empty(t, received)
	require.True(t, set.isEmpty())
}
