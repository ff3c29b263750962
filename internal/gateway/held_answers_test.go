package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/linkserver"
)

// startRaw starts a server that passes each request's exchange and its connection to a function, and closes the connection then.
func startRaw(t *testing.T, answer func(connection net.Conn, exchange string)) string {
	t.Helper()
	listener, err := net.Listen("tcp", ownAddress())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go linkserver.Serve(listener, func(connection *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			answer(connection, request.Header.Get(enginecontract.HeaderExchange))
		}
	})
	return listener.Addr().String()
}

// rawStreamHead is the head of an event stream that ends with its connection; the exchange stands for %s.
const rawStreamHead = "HTTP/1.1 200 OK\r\n" + enginecontract.HeaderExchange + ": %s\r\nContent-Type: text/event-stream\r\n\r\n"

const (
	// heldRequests is the number of requests whose answers stop at the same time.
	heldRequests = 48
	// heldAnswerBytes is the memory for answers in the tests' gateways.
	heldAnswerBytes = 8 << 20
)

// heapInUse returns the memory of all live objects, in bytes, without what calls between the gateway and its controller use for a few
// milliseconds: it is the least of several measurements in a row.
func heapInUse() int64 {
	const measurements = 10
	least := int64(math.MaxInt64)
	for range measurements {
		runtime.GC()
		runtime.GC() // what the first one has put into pools' victim caches
		stats := runtime.MemStats{}
		runtime.ReadMemStats(&stats)
		least = min(least, int64(stats.HeapAlloc))
	}
	return least
}

// mostInUse measures the memory of all live objects until it is stable, and returns the largest value.
func mostInUse() (most int64) {
	held := heapInUse()
	for isStable := false; !isStable; {
		time.Sleep(100 * time.Millisecond)
		previous := held
		held = heapInUse()
		most = max(most, previous, held)
		isStable = held>>20 == previous>>20
	}
	return most
}

// heldBy returns the memory that the process takes for the bodies of many answers that stop after a text, beyond what it takes for the
// same requests when only the heads have arrived.
func heldBy(t *testing.T, path, body, kind, head, text string) int64 {
	t.Helper()
	var withHead, withText atomic.Int64
	sendText, end := make(chan struct{}), make(chan struct{})
	stop := func(connection net.Conn, exchange string) {
		_, _ = fmt.Fprintf(connection, head, exchange)
		withHead.Add(1)
		<-sendText
		_, _ = io.WriteString(connection, text)
		withText.Add(1)
		<-end
	}
	var backEnds []*v1.BackEnd
	for number := range 4 {
		backEnds = append(backEnds, pageBackEnd(fmt.Sprint("p", number), startRaw(t, stop)), engineBackEnd(fmt.Sprint("e", number), startRaw(t, stop), v1.Role_ROLE_MIXED))
	}
	config := testSettings(startController(t, backEnds...).address)
	config.Limits.AnswerBytes = heldAnswerBytes
	gateway := startGateway(t, config)
	var group sync.WaitGroup
	for range heldRequests {
		group.Go(func() {
			_ = call(t, http.MethodPost, gateway.url+path, body, map[string]string{HeaderKind: kind})
		})
	}
	require.Eventually(t, func() bool { return withHead.Load() >= heldRequests }, eventually, often)
	unused := mostInUse()
	close(sendText)
	require.Eventually(t, func() bool { return withText.Load() >= heldRequests }, eventually, often)
	held := mostInUse() // until the gateway has read what it reads
	close(end)
	group.Wait()
	return held - unused
}

// Guards against a gateway that runs out of memory since many back ends send long pages, or events, that do not end: each is bounded, and
// all of them together were not.
func TestHeldAnswersAreBoundedTogether(t *testing.T) { // not parallel: it measures the memory of the process
	const size = 1 << 20
	page := "HTTP/1.1 200 OK\r\n" + enginecontract.HeaderExchange + ": %s\r\nContent-Length: 4000000\r\n\r\n"
	for name, test := range map[string]struct{ path, body, kind, head, text string }{
		"pages":  {"/registrations", "x", "", page, strings.Repeat("x", size)},
		"events": {"/v1/chat/completions", streamBody, "once", rawStreamHead, "data: " + strings.Repeat("x", size-100)},
	} {
		t.Run(name, func(t *testing.T) {
			held := heldBy(t, test.path, test.body, test.kind, test.head, test.text)
			require.LessOrEqual(t, held, int64(heldAnswerBytes+heldRequests*bodybudget.FreeBytes))
		})
	}
}
