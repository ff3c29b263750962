package leaderwatch

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

// Guards against a node without updates because its connection to the leader is acknowledged and carries nothing, while other
// calls to the leader are under way on it all the time: closing idle connections does not close it.
func TestWatcherLeavesAConnectionThatCarriesNothingBesideOtherCalls(t *testing.T) {
	// A relay's view counts as old after 1.2 to 1.8 s without contact.
	const maximumGap = 3 * time.Second
	for name, callers := range map[string]int{"watch alone": 0, "other calls": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			listener := &silence.SwallowingListener{Listener: inner}
			routes := http.NewServeMux()
			routes.Handle(hazelpitchv1connect.NewNodeServiceHandler(&fakeController{answer: func() *v1.WatchResponse { return &v1.WatchResponse{} }}))
			server := &http.Server{Handler: routes, Protocols: new(http.Protocols)}
			server.Protocols.SetUnencryptedHTTP2(true)
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = server.Close() })
			dial, err := dialing.ToPeers("")
			require.NoError(t, err)
			node := &recordingNode{responses: make(chan *v1.WatchResponse)}
			watcher := New(Config{
				Seeds: []string{inner.Addr().String()}, Dial: dial,
				Now: func() time.Duration { return 0 }, NodeCount: func() int { return 1 }, Draw: func() float64 { return 0 }, Node: node,
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			began := time.Now()
			go watcher.Run(ctx)
			for number := range callers {
				go func() {
					time.Sleep(200*time.Millisecond + time.Duration(number)*250*time.Millisecond) // one of the calls is always under way
					for ctx.Err() == nil {
						limited, end := context.WithTimeout(ctx, 500*time.Millisecond)
						_, _ = watcher.LeaderClient().TakePermit(limited, connect.NewRequest(&v1.TakePermitRequest{}))
						end()
					}
				}()
			}
			select {
			case <-node.responses:
				t.Logf("an update after %v", time.Since(began))
				require.Less(t, time.Since(began), maximumGap)
			case <-time.After(30 * time.Second):
				t.Fatalf("no update within 30 s; %d connections accepted", listener.Accepted())
			}
		})
	}
}
