package relay

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

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
		watch := exchanger.watchStall(connpool.NewConnection(recorder, 0), backEnd, time.Hour, func(func()) bool { return true })
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
			watch := exchanger.watchStall(connpool.NewConnection(recorder, 0), backEnd, time.Second, func(func()) bool { return mayAbort })
			time.Sleep(time.Second + time.Millisecond)
			synctest.Wait()
			watch.stop()
			require.Equal(t, deadlines, recorder.set)
			require.Equal(t, 1, backEnd.currentLoad(0).failures)
		})
	}
}

// Guards against a silent answer that is never replaced because no replacement was possible at first, and against a silence
// that counts as several failures.
func TestStallWatchAsksAgainWhileTheSilenceLasts(t *testing.T) {
	exchanger := newStallExchanger(t)
	synctest.Test(t, func(t *testing.T) {
		exchanger.clock = newClock()
		recorder := &deadlineRecorder{}
		backEnd := newBackEnd(serving.BackEnd{ID: "one"}, 1000)
		var askedAt []time.Duration
		watch := exchanger.watchStall(connpool.NewConnection(recorder, 0), backEnd, time.Second, func(func()) bool {
			askedAt = append(askedAt, exchanger.clock.now())
			return len(askedAt) == 3
		})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		watch.stop()
		require.Equal(t, []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second}, askedAt)
		require.Equal(t, 1, recorder.set)
		require.Equal(t, 1, backEnd.currentLoad(0).failures)
	})
}

// Guards against a back end that counts as silent because of its idle time, or after its exchanges have ended.
func TestOnlyAwaitedBackEndsAreSilent(t *testing.T) {
	backEnd := newBackEnd(serving.BackEnd{ID: "one"}, 1000)
	silentFor := func(now time.Duration) time.Duration { return backEnd.currentLoad(now).silentFor(now) }
	require.Zero(t, silentFor(time.Hour))
	backEnd.beginAwaiting(time.Hour)
	backEnd.beginAwaiting(time.Hour + time.Second)
	require.Equal(t, 3*time.Second, silentFor(time.Hour+3*time.Second))
	backEnd.recordReceived(time.Hour + 3*time.Second)
	require.Equal(t, time.Second, silentFor(time.Hour+4*time.Second))
	backEnd.endAwaiting()
	require.Equal(t, time.Second, silentFor(time.Hour+4*time.Second))
	backEnd.endAwaiting()
	require.Zero(t, silentFor(time.Hour+4*time.Second))
}

// Guards against new requests that are sent to a silent back end again while its silence lasts: it was avoided for 0.25 s
// only, however long the silence.
func TestSilentBackEndIsAvoidedWhileItsSilenceLasts(t *testing.T) {
	for name, secure := range map[string]secureReplacement{
		"no replacement":      func(func()) bool { return false },
		"must not be aborted": nil,
	} {
		exchanger := newStallExchanger(t)
		synctest.Test(t, func(t *testing.T) {
			exchanger.clock = newClock()
			backEnd := newBackEnd(serving.BackEnd{ID: "one"}, 1000)
			watch := exchanger.watchStall(connpool.NewConnection(&deadlineRecorder{}, 0), backEnd, time.Second, secure)
			time.Sleep(time.Second + time.Millisecond)
			for range 50 {
				require.Positive(t, backEnd.avoidanceLeft(exchanger.clock.now()), "%s: after %s", name, exchanger.clock.now())
				time.Sleep(100 * time.Millisecond)
			}
			watch.recordReceived()
			time.Sleep(900 * time.Millisecond)
			require.Zero(t, backEnd.avoidanceLeft(exchanger.clock.now()), name)
			require.Equal(t, 1, backEnd.currentLoad(0).failures, name)
			watch.stop()
		})
	}
}

// Guards against a back end that counts as silent while it sends the body of a plain answer to another request.
func TestBodyOfAPlainAnswerEndsTheSilence(t *testing.T) {
	exchanger := newStallExchanger(t)
	synctest.Test(t, func(t *testing.T) {
		exchanger.clock = newClock()
		backEnd := newBackEnd(serving.BackEnd{ID: "one"}, 1000)
		head := &fasthttp.ResponseHeader{}
		head.SetContentLength(4)
		answer := &answer{
			message: &message{request: &request{}, backEnd: backEnd}, exchanger: exchanger,
			body: newFramedBody(head, fasthttp.MethodGet, bufio.NewReader(strings.NewReader("body"))),
		}
		time.Sleep(time.Second)
		n, _ := answer.Read(make([]byte, 2))
		require.Equal(t, 2, n)
		require.Equal(t, time.Second, backEnd.currentLoad(0).lastReceivedAt)
		time.Sleep(time.Second)
		_, _ = io.ReadAll(answer)
		require.Equal(t, 2*time.Second, backEnd.currentLoad(0).lastReceivedAt)
	})
}

// Guards against new connections to a back end that is slow with one answer but sends others.
func TestStallMakesConnectionsSuspectOnlyIfTheBackEndIsSilent(t *testing.T) {
	for name, isTalking := range map[string]bool{"silent": false, "talking": true} {
		exchanger := newStallExchanger(t)
		synctest.Test(t, func(t *testing.T) {
			exchanger.clock = newClock()
			backEnd := newBackEnd(serving.BackEnd{ID: "one"}, 1000)
			near, _ := net.Pipe()
			backEnd.pool.Put(connpool.NewConnection(near, exchanger.clock.now()), exchanger.clock.now())
			watch := exchanger.watchStall(connpool.NewConnection(&deadlineRecorder{}, 0), backEnd, time.Second, nil)
			defer watch.stop()
			time.Sleep(time.Second - time.Millisecond)
			if isTalking {
				backEnd.recordReceived(exchanger.clock.now())
			}
			time.Sleep(2 * time.Millisecond)
			synctest.Wait()
			require.Equal(t, isTalking, backEnd.pool.HasIdle(exchanger.clock.now(), time.Hour), name)
		})
	}
}
