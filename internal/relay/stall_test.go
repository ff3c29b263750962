package relay

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/placement"
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
	for name, secure := range map[string]reserveReplacement{
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
		declared := framing.Declaration{Kind: framing.Length, Length: 4}
		answer := &answer{
			message: &message{request: &request{}, backEnd: backEnd}, exchanger: exchanger,
			body: framing.NewAnswerBody(declared, fasthttp.MethodGet, bufio.NewReader(strings.NewReader("body")), nil),
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

// Guards against a back end that counts as sending again because the relay itself ended a stream there: other answers of the
// same silent back end were replaced later, and the back end could be selected for them.
func TestEndingAStreamDoesNotEndTheSilence(t *testing.T) {
	t.Parallel()
	var arrivedAt time.Duration
	setup := silentSetup{onArrival: func(_ *testing.T, scene *silentScene) { arrivedAt = scene.clock.now() }}
	scene, answer := setup.serveSilently(t, silentAnswers()[0])
	require.True(t, answer.isComplete)
	require.Len(t, scene.second.receivedRequests(), 1, "the stream was replaced")
	lastReceivedAt := scene.engineOf("first").currentLoad(scene.clock.now()).lastReceivedAt
	require.Less(t, lastReceivedAt-arrivedAt, minStreamStall, "the first back end has sent nothing after its first event")
}

// Guards against an answer that is ended because the relay's own process stood still: the answer had arrived meanwhile and
// was not read yet when the timer expired.
func TestStallDoesNotAbortAnAnswerThatHasArrived(t *testing.T) {
	exchanger := newStallExchanger(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer connection.Close()
	peer, err := listener.Accept()
	require.NoError(t, err)
	defer peer.Close()
	_, err = io.WriteString(peer, "answer")
	require.NoError(t, err)
	awaitBytesOrEnd(t, connection)
	backEnd := newBackEnd(serving.BackEnd{ID: "one"}, 1000)
	watch := exchanger.watchStall(connpool.NewConnection(connection, 0), backEnd, time.Hour, func(func()) bool { return true })
	defer watch.stop()
	watch.limit = time.Nanosecond // as if the limit had passed
	watch.check()
	_, err = connection.Read(make([]byte, 6))
	require.NoError(t, err)
}

// Guards against a stream that is ended, and a back end that counts as failed, because the client reads too slowly: the relay
// took the time for which it did not read itself for a silence of the back end.
func TestSlowClientIsNoSilenceOfTheBackEnd(t *testing.T) {
	t.Parallel()
	const events, eventBytes = 4000, 8 << 10 // more than the kernel buffers
	filler := strings.Repeat("x", eventBytes)
	first := startBackEnd(t, "first", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		_, _ = io.WriteString(connection, strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", "first").Replace(streamHead))
		for number := range events {
			_, _ = connection.Write(appendChunk(nil, []byte("id: "+strconv.Itoa(number+1)+"\ndata: "+filler+"\n\n")))
		}
		_, _ = io.WriteString(connection, "0\r\n\r\n")
		return true
	})
	second := startBackEnd(t, "second", serving.StageWhole, streaming("second", eventOne))
	relay := newTestRelay(t, route(func(r *serving.Route) { stream(true)(r); r.Timeout = time.Minute }), first, second).preferring("first")
	relay.engineOf("second").removeWork(placement.Work{Streams: 45}) // leaves free slots
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	time.Sleep(2 * time.Second)
	answer := client.read()
	require.True(t, answer.isComplete)
	require.Empty(t, second.receivedRequests())
	require.Zero(t, relay.engineOf("first").currentLoad(0).failures)
}
