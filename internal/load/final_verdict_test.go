package load

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// TestFinalVerdict checks that the verdict in a stream's trailer replaces the one in its header,
// and that a cut stream keeps the one in its header.
func TestFinalVerdict(t *testing.T) {
	whole := tokenEvent(hash, 0) + tokenEvent(hash, 1) + finishEvent + usageEvent + doneEvent
	tests := []struct {
		name    string
		trailer string
		cut     bool
		want    verdict.Verdict
	}{
		{"ran", verdict.Ran.String(), false, verdict.Ran},
		{"not run after all", verdict.NotRun.String(), false, verdict.NotRun},
		{"no trailer", "", false, verdict.MayHaveRun},
		{"cut", verdict.Ran.String(), true, verdict.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set(verdict.Header, verdict.MayHaveRun.String())
				writer.Header().Set("Trailer", verdict.Trailer)
				_, _ = io.WriteString(writer, whole) // the client's check detects a short answer
				writer.(http.Flusher).Flush()
				if test.cut {
					panic(http.ErrAbortHandler)
				}
				writer.Header().Set(verdict.Trailer, test.trailer)
			}))
			defer server.Close()
			sender := newClient(Target{Gateways: []string{strings.TrimPrefix(server.URL, "http://")}})
			of := request{method: http.MethodPost, path: "/", chat: true, promptHash: hash, promptTokens: 9, outputTokens: 2, deadline: time.Minute}
			require.Equal(t, test.want.String(), sender.send(of, time.Now(), io.Discard).Verdict)
		})
	}
}
