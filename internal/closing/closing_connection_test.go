package closing

import (
	"io"
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
