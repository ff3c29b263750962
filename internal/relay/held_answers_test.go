package relay

import (
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// heldRequests is the number of requests whose answers stop at the same time.
	heldRequests = 400
	// heldMemoryLimit is the memory limit of the relay in MiB, and heldShare the part of it that answers may take, in bytes.
	heldMemoryLimit = 64
	heldShare       = heldMemoryLimit << 20 / 8
	// heldPerRequest is what each request may take beside that: what is read of its answer without a reservation, or a piece of the
	// answer that is forwarded, and its copy in the message to the client.
	heldPerRequest = 2 * bodybudget.FreeBytes
)

// soundAnswer is the answer to requests of other clients. It is too long to be held without a reservation.
var (
	soundBody   = strings.Repeat("sound ", 10_000)
	soundAnswer = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\nContent-Length: " + strconv.Itoa(len(soundBody)) + "\r\n\r\n" + soundBody
)

// heapInUse returns the memory of all live objects, in bytes.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // what the first one has put into pools' victim caches
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// heldBy returns the memory that a process takes while the answers to many requests have stopped after a text.
func heldBy(t *testing.T, kind func(*serving.Route), text string) int64 {
	t.Helper()
	var stopped atomic.Int64
	end := make(chan struct{})
	var backEnds []*scriptedBackEnd
	for _, id := range []string{"one", "two", "three", "four"} {
		backEnds = append(backEnds, startBackEnd(t, id, serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
			if len(request.head.Peek("T-Sound")) > 0 {
				return keepingAfter(writing(soundAnswer))(connection, request) // a close that is not announced may break off an unsafe request
			}
			_, _ = io.WriteString(connection, strings.Replace(text, "ID", string(request.head.Peek("T-Id")), 1))
			stopped.Add(1)
			<-end
			return false
		}))
	}
	relay := newTestRelay(t, longTimeout(kind), backEnds...)
	relay.exchanger.answerMemory = bodybudget.New(heldAnswerBytes(heldMemoryLimit))
	clients := make([]*testClient, heldRequests)
	for number := range clients {
		clients[number] = relay.client(t)
		clients[number].send("GET", "/path/", "")
	}
	require.Eventually(t, func() bool { return stopped.Load() == heldRequests }, time.Minute, time.Millisecond)
	held := heapInUse()
	for isStable := false; !isStable; { // until the relay has read what it reads
		time.Sleep(100 * time.Millisecond)
		previous := held
		held = heapInUse()
		isStable = held>>20 == previous>>20
	}
	for range 10 { // other clients get theirs meanwhile, if that fits into what needs no reservation, or can be forwarded
		require.Equal(t, soundBody, relay.client(t).do("GET", "/path/", "", "T-Sound: 1").body)
	}
	close(end)
	for _, client := range clients {
		_ = client.connection.Close()
	}
	require.Eventually(t, func() bool { return relay.connections.servingCount() == 0 }, time.Minute, time.Millisecond)
	return held
}

// Guards against a relay that runs out of memory since many back ends send long answers, or events, that do not end: each is bounded, and
// all of them together were not.
func TestHeldAnswersAreBoundedTogether(t *testing.T) { // not parallel: it measures the memory of the process
	const longestEvent = 128 << 10
	streamBeginning := strings.ReplaceAll(streamHead, "SEAL", "seal")
	for name, test := range map[string]struct {
		kind       func(*serving.Route)
		head, body string
	}{
		"answers":           {unsafePlain, unframedHead, strings.Repeat("x", maxBufferedAnswer-1)},
		"repeatable":        {safe, unframedHead, strings.Repeat("x", maxBufferedAnswer-1)},
		"events":            {stream(false), streamBeginning, string(appendChunk(nil, []byte("data: "+strings.Repeat("x", longestEvent-100))))},
		"resumable streams": {stream(true), streamBeginning, string(appendChunk(nil, []byte("data: "+strings.Repeat("x", longestEvent-100))))},
	} {
		t.Run(name, func(t *testing.T) {
			unused := heldBy(t, test.kind, test.head)
			held := heldBy(t, test.kind, test.head+test.body)
			require.LessOrEqual(t, held-unused, int64(heldShare+heldRequests*heldPerRequest))
		})
	}
}
