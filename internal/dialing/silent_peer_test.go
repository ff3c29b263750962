package dialing

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

// openPair returns both ends of a connection that was opened with dead peer detection.
func openPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := silence.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	dialed, err := WithDeadPeerDetection()(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	server, err = listener.AcceptTCP()
	require.NoError(t, err)
	client = dialed.(*net.TCPConn)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// echo sends what arrives on a connection back.
func echo(connection net.Conn) { _, _ = io.Copy(connection, connection) }

func requireEcho(t *testing.T, client net.Conn, text string) {
	t.Helper()
	received := make([]byte, len(text))
	_, err := io.ReadFull(client, received)
	require.NoError(t, err)
	require.Equal(t, text, string(received))
}

// Guards against dropping a connection whose peer is silent for up to 2 s and then goes on: the kernel aborted it 1 s after
// unacknowledged data was sent, and after a single keep-alive probe without an answer.
func TestConnectionOutlivesASilenceOfItsPeer(t *testing.T) {
	for _, length := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second} {
		for name, sendAfter := range map[string]time.Duration{
			"nothing sent": length, "sent at its start": 0, "sent within it": 300 * time.Millisecond, "sent near its end": length - 100*time.Millisecond,
		} {
			t.Run(length.String()+" "+name, func(t *testing.T) {
				t.Parallel()
				client, server := openPair(t)
				go echo(server)
				_, err := io.WriteString(client, "before")
				require.NoError(t, err)
				requireEcho(t, client, "before")
				time.Sleep(probeInterval - 100*time.Millisecond) // the first probe is sent at the start of the silence
				require.NoError(t, silence.Begin(server))
				time.Sleep(sendAfter)
				if sendAfter < length {
					_, err := io.WriteString(client, "into the silence")
					require.NoError(t, err)
				}
				time.Sleep(length - sendAfter)
				require.NoError(t, silence.End(server))
				if sendAfter < length {
					requireEcho(t, client, "into the silence")
				} else {
					time.Sleep(probeInterval + 100*time.Millisecond) // a connection is dropped when the next probe is due
				}
				_, err = io.WriteString(client, "after")
				require.NoError(t, err)
				requireEcho(t, client, "after")
			})
		}
	}
}

// Guards against connections that stay open for as long as the system lasts after their peer has become silent for good.
func TestConnectionToAPeerThatStaysSilentFails(t *testing.T) {
	for name, text := range map[string]string{"nothing sent": "", "data sent": "into the silence"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, server := openPair(t)
			require.NoError(t, silence.Begin(server))
			_, err := io.WriteString(client, text)
			require.NoError(t, err)
			_, err = client.Read(make([]byte, 1))
			require.ErrorIs(t, err, syscall.ETIMEDOUT)
		})
	}
}
