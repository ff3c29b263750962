package dialing

import (
	"net"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
)

// Connections must have the given source address.
func TestFromSourceUsesSourceAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dial, err := FromSource("127.0.0.5", 0)
	require.NoError(t, err)
	connection, err := dial(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer connection.Close()
	host, _, err := net.SplitHostPort(connection.LocalAddr().String())
	require.NoError(t, err)
	require.Equal(t, "127.0.0.5", host)
}

func TestFromSourceRejectsInvalidAddress(t *testing.T) {
	_, err := FromSource("front", 0)
	require.True(t, trace.IsBadParameter(err), err)
	require.ErrorContains(t, err, `"front"`)
}
