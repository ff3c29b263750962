package upstream

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Guards against a refusal whose body is read without a bound of its own: a request that was not run waited for it until its
// deadline, and could not be sent elsewhere any more.
func TestEndlessBodyOfRefusalIsGivenUp(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": time.Millisecond, "nothing": time.Minute} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				echo(writer, request)
				writer.Header().Set(enginecontract.HeaderRunState, enginecontract.RunStateNotRun)
				writer.WriteHeader(http.StatusServiceUnavailable)
				for {
					writer.(http.Flusher).Flush()
					select {
					case <-time.After(pause):
					case <-request.Context().Done():
						return
					}
					_, err := writer.Write([]byte(strings.Repeat("x", 4<<10)))
					if err != nil {
						return
					}
				}
			}))
			t.Cleanup(server.Close)
			client, err := NewClient(Options{})
			require.NoError(t, err)
			t.Cleanup(client.Close)
			deadline := time.Now().Add(30 * time.Second)
			_, _, failure := client.Do(Request{
				Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Target: "/", Exchange: NewExchange(), Deadline: deadline,
			})
			require.NotNil(t, failure)
			require.Equal(t, verdict.NotRun, failure.Verdict)
			require.Equal(t, http.StatusServiceUnavailable, failure.Status)
			require.Greater(t, time.Until(deadline), 15*time.Second, "no time is left to send the request elsewhere")
		})
	}
}
