package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Guards against an engine that goes on to send tokens, each of them valid: the gateway kept the text of the whole answer, without a
// bound, for a caller that wants one body, and to continue the answer of a repeatable request elsewhere.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	t.Parallel()
	const tokenBytes = 32 << 10
	const buffered = 16 << 20 // of both ends of a connection
	for name, request := range map[string]struct{ kind, body string }{
		"one body": {"once", unstreamedBody}, "repeatable, one body": {"matching", unstreamedBody}, "repeatable stream": {"matching", streamBody},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			engine := startRaw(t, func(connection net.Conn, exchange string) {
				_, err := fmt.Fprintf(connection, rawStreamHead, exchange)
				for number := 1; err == nil && sent.Load() < 8*maximumTextBytes+buffered; number++ {
					var n int
					n, err = fmt.Fprintf(connection, `data: {"id":"e","object":"chat.completion.chunk","created":1,"model":"base","exchange":%q,"offset":%d,"choices":[{"index":0,"delta":{"content":%q}}]}`+"\n\n",
						exchange, number, strings.Repeat("x", tokenBytes))
					sent.Add(int64(n))
				}
			})
			gateway := startGateway(t, testSettings(startController(t, engineBackEnd("e1", engine, v1.Role_ROLE_MIXED)).address))
			answer := call(t, http.MethodPost, gateway.url+"/v1/chat/completions", request.body, map[string]string{HeaderKind: request.kind})
			require.False(t, answer.isComplete)
			require.Less(t, sent.Load(), int64(2*maximumTextBytes+buffered), "the engine was read without a bound")
		})
	}
}
