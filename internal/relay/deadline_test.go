package relay

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against clients whose deadline passes without an answer beside a silent back end: the relay refused at the client's
// deadline, counted from the arrival of the request, so that the refusal came one way there and one way back too late.
func TestRelayLeavesTimeForItsRefusalToReachTheClient(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "ok"))
	relay := newTestRelay(t, route(nil), backEnd)
	for _, timeoutMs := range []float64{100, 1000} {
		require.Equal(t, 200, relay.client(t).do("POST", "/path/", "x", fmt.Sprintf("T-Deadline: %.0f", timeoutMs)).status)
		requests := backEnd.receivedRequests()
		var left float64
		_, err := fmt.Sscan(string(requests[len(requests)-1].head.Peek("T-Deadline")), &left)
		require.NoError(t, err)
		margin := min(float64(maxAnswerMargin.Milliseconds()), timeoutMs/answerMarginDivisor)
		require.LessOrEqual(t, left, timeoutMs-margin)
	}
}

// A stream that has begun cannot be refused any more, so it may use all of the client's time.
func TestStreamThatHasBegunHasTheWholeTime(t *testing.T) {
	end := make(chan struct{})
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 X\r\nT-Id: %s\r\nT-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", request.head.Peek("T-Id"))
		<-end
		return false
	})
	relay := newTestRelay(t, route(stream(false)), backEnd)
	client := relay.client(t)
	client.send("GET", "/path/", "")
	_, err := io.ReadFull(client.reader, make([]byte, 1))
	require.NoError(t, err)
	request := relay.connections.activeRequests()[0]
	deadline := func() time.Duration {
		request.canceller.mutex.Lock()
		defer request.canceller.mutex.Unlock()
		return request.canceller.deadline
	}
	require.Eventually(t, func() bool { return deadline() == request.arrivedAt+5*time.Second }, time.Minute, time.Millisecond)
	close(end)
}

// Guards against a deadline that counts as a broken connection: the reader of answers' heads reports an error of its own for
// every timeout, so the crash guard watched back ends that were merely silent, and their slots counted as refused.
func TestSilenceUntilTheDeadlineIsNoBrokenConnection(t *testing.T) {
	end := make(chan struct{})
	defer close(end)
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(net.Conn, backEndRequest) bool {
		<-end
		return false
	})
	relay := newTestRelay(t, route(nil), backEnd)
	lines := &logLines{}
	relay.log = requestLog{logger: zerolog.New(lines)}
	require.Equal(t, 504, relay.client(t).do("POST", "/path/", "x", "T-Deadline: 50").status)
	require.Contains(t, lines.String(), errDeadline.Error())
	require.NotContains(t, lines.String(), errConnectionBroken.Error())
}
