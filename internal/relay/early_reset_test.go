package relay

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/standin/linkserver"
)

const (
	// earlyResetTries is the number of requests of which at least one must meet the race between the write of the request and the read
	// of the answer.
	earlyResetTries = 20
	// unsentBodyBytes is the size of a body that does not fit into the buffers of a connection across an ordinary link.
	unsentBodyBytes = 3 << 20
)

// startLinkedBackEnds starts three back ends behind an ordinary link.
func startLinkedBackEnds(t *testing.T, answer script, options ...linkserver.Option) []*scriptedBackEnd {
	t.Helper()
	var backEnds []*scriptedBackEnd
	for number := range 3 {
		listener, err := linkserver.Listen("127.0.0.1:0", options...)
		require.NoError(t, err)
		backEnds = append(backEnds, serveBackEndAt(t, fmt.Sprint(number), serving.StageWhole, listener, answer))
	}
	return backEnds
}

// Guards against the part of an answer without a length that a client gets as a whole one: the back end has answered before it has
// read a long request, and resets the connection while the rest of the request is being written. The kernel tells the reset to one
// of the two calls only, and the other one sees an ordinary end.
func TestResetWhileTheRequestIsWrittenBreaksTheAnswer(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		kind func(*serving.Route)
		head string
	}{"unsafe": {unsafePlain, unframedHead}, "safe": {safe, unframedHead}, "stream": {stream(false), unframedStreamHead}} {
		for _, delivery := range deliveries {
			t.Run(name+"/"+delivery.name, func(t *testing.T) {
				t.Parallel()
				early := func(connection net.Conn, request backEndRequest) bool {
					_, _ = io.WriteString(connection, strings.ReplaceAll(test.head, "ID", string(request.head.Peek("T-Id")))+eventOne)
					time.Sleep(20 * time.Millisecond)          // the relay reads the head, and waits for more
					_ = connection.(*net.TCPConn).SetLinger(0) // a reset, as by a crash with unread bytes
					return false
				}
				relay := delivery.start(t, route(test.kind), startLinkedBackEnds(t, early)...)
				body := strings.Repeat("x", unsentBodyBytes)
				for range earlyResetTries {
					answer := relay.client(t).do("POST", "/path/", body, "T-Early: 1")
					isWhole := answer.end == framing.Declared || answer.end == framing.Undeclared
					require.False(t, answer.status == 200 && isWhole, "%q looks whole: %s", answer.body, answer.end)
				}
			})
		}
	}
}
