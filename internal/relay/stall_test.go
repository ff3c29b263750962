package relay

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// deadlineRecorder counts the deadlines that are set on a connection.
type deadlineRecorder struct {
	net.Conn
	set int
}

func (d *deadlineRecorder) SetDeadline(time.Time) error { d.set++; return nil }

func newStallExchanger(t *testing.T) *exchanger {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	steady := newClock()
	return &exchanger{path: newPathWatch(nil), clock: steady, notices: newLoadNotices(&Relay{clock: steady}, datagram.New(socket, nil), 1)}
}

// A stopped watch must not change anything, even when its check is in progress: the connection may carry another request by
// then.
func TestStoppedStallWatchTouchesNothing(t *testing.T) {
	exchanger := newStallExchanger(t)
	for name, lastReceivedAt := range map[string]time.Duration{"silent": -time.Hour, "recently active": time.Hour} {
		recorder := &deadlineRecorder{}
		backEnd := newBackEnd(serving.BackEnd{ID: "one"}, 1000)
		backEnd.recordReceived(lastReceivedAt)
		watch := exchanger.watchStall(connpool.NewConnection(recorder), backEnd, time.Hour, true)
		watch.stop()
		watch.check()
		require.Zero(t, recorder.set, name)
		require.Zero(t, backEnd.currentLoad(0).failures, name)
		require.False(t, watch.timer.Stop(), "%s: the timer was restarted", name)
	}
}

func TestStallAbortsOnlyRequestsThatMayRunElsewhere(t *testing.T) {
	for mayAbort, deadlines := range map[bool]int{true: 1, false: 0} {
		exchanger := newStallExchanger(t)
		synctest.Test(t, func(t *testing.T) {
			exchanger.clock = newClock()
			recorder := &deadlineRecorder{}
			backEnd := newBackEnd(serving.BackEnd{ID: "one"}, 1000)
			watch := exchanger.watchStall(connpool.NewConnection(recorder), backEnd, time.Second, mayAbort)
			time.Sleep(time.Second + time.Millisecond)
			synctest.Wait()
			watch.stop()
			require.Equal(t, deadlines, recorder.set)
			require.Equal(t, 1, backEnd.currentLoad(0).failures)
		})
	}
}
