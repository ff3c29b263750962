package leaderwatch

import (
	"context"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// Guards against an answer of a controller that stops within its head, or before the end of its stream, or whose head is none, and is applied as an update
// without content, or taken for the confirmation of a report.
func TestHalfAnswerIsNoUpdate(t *testing.T) {
	t.Parallel()
	for _, way := range append(halfhead.HTTP2Ways(), halfhead.SpoiltHTTP2Heads()...) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			server, err := halfhead.StartHTTP2(way)
			require.NoError(t, err)
			t.Cleanup(server.Close)
			node := &recordingNode{responses: make(chan *v1.WatchResponse, 1)}
			watcher := New(Config{
				Seeds: []string{server.Address()}, Dial: (&net.Dialer{}).DialContext,
				Now: func() time.Duration { return 0 }, NodeCount: func() int { return 1 }, Draw: func() float64 { return 0 }, Node: node,
			})
			require.Equal(t, way.IsWhole, watcher.watchOnce(t.Context()))
			require.Len(t, node.responses, map[bool]int{true: 1, false: 0}[way.IsWhole])
			watcher.http.CloseIdleConnections() // the server has closed the connection, unless the answer was whole
			ctx, cancel := context.WithTimeout(t.Context(), responseSlack)
			defer cancel()
			_, err = watcher.LeaderClient().ReportUsage(ctx, connect.NewRequest(&v1.ReportUsageRequest{}))
			require.Equal(t, way.IsWhole, err == nil)
			require.GreaterOrEqual(t, server.Requests(), 2)
		})
	}
}
