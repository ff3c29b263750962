package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	standin "github.com/hazelpitch/hazelpitch/internal/standin/engine"
)

const (
	overheadTokens = 200
	// overheadSpeed makes the engine so fast that transport takes most of the time.
	overheadSpeed = 1000
)

// BenchmarkStream streams answers of a stand-in engine directly and through a
// gateway, and reports ns/token and µs to the first token of both. Everything runs in one
// process, so the differences are the overhead of the gateway.
func BenchmarkStream(b *testing.B) {
	engine, err := standin.Start(standin.Config{
		Name: "e1", Service: "engines", Zone: "z1", Address: "127.0.0.1:0", Model: "base", Version: "v1",
		Profile: enginemodel.DefaultProfile().Faster(overheadSpeed),
	})
	require.NoError(b, err)
	b.Cleanup(engine.Close)
	controller := startController(b, engineBackEnd("e1", engine.Address(), v1.Role_ROLE_MIXED))
	gateway := startGateway(b, testSettings(controller.address))
	body := fmt.Appendf(nil, `{"model":"base","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"grade the lot"}]}`, overheadTokens)
	b.Run("direct", func(b *testing.B) { streamAnswers(b, "http://"+engine.Address(), body) })
	b.Run("gateway", func(b *testing.B) { streamAnswers(b, gateway.url, body) })
}

// streamAnswers requests answers one after the other and reads each to its end.
func streamAnswers(b *testing.B, url string, body []byte) {
	first, number := time.Duration(0), 0
	for b.Loop() {
		number++
		request, err := http.NewRequest(http.MethodPost, url+enginecontract.PathChat, bytes.NewReader(body))
		require.NoError(b, err)
		request.Header.Set("Authorization", "Bearer "+testKey)
		request.Header.Set("X-Request-Kind", "matching")
		request.Header.Set(enginecontract.HeaderExchange, fmt.Sprintf("%016x%016x", time.Now().UnixNano(), number))
		began := time.Now()
		response, err := http.DefaultClient.Do(request)
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, response.StatusCode)
		first += readStream(b, response, began)
	}
	perAnswer := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
	b.ReportMetric(perAnswer/overheadTokens, "ns/token")
	b.ReportMetric(float64(first.Microseconds())/float64(number), "us/first")
}

// readStream reads an answer to its end and returns the time to its first token.
func readStream(b *testing.B, response *http.Response, began time.Time) time.Duration {
	defer func() { _ = response.Body.Close() }()
	first, events := time.Duration(0), 0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		switch {
		case !bytes.HasPrefix(lines.Bytes(), []byte("data: ")):
		case bytes.Equal(lines.Bytes(), []byte("data: [DONE]")):
			require.GreaterOrEqual(b, events, overheadTokens)
			return first
		default:
			if events == 0 {
				first = time.Since(began)
			}
			events++
		}
	}
	b.Fatal("the stream has no end")
	return 0
}
