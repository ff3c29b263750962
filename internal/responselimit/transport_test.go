package responselimit

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const bodyBytes = 1000

// Guards against a bound that cuts a body which just fits, or passes one that does not.
func TestBodyIsBounded(t *testing.T) {
	for size, fault := range map[int]error{0: nil, bodyBytes - 1: nil, bodyBytes: nil, bodyBytes + 1: ErrTooLong, 100 * bodyBytes: ErrTooLong} {
		for name, isChunked := range map[string]bool{"length": false, "chunks": true} {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				if isChunked {
					writer.(http.Flusher).Flush()
				}
				_, _ = io.WriteString(writer, strings.Repeat("x", size))
			}))
			client := &http.Client{Transport: NewTransport(&http.Transport{}, bodyBytes)}
			response, err := client.Get(server.URL)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.ErrorIs(t, err, fault, "%d bytes, %s", size, name)
			require.Len(t, body, min(size, bodyBytes))
			require.NoError(t, response.Body.Close())
			client.CloseIdleConnections()
			server.Close()
		}
	}
}

// Guards against a head that is read without a bound of a few kilobytes.
func TestHeadIsBounded(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"header lines": func(writer http.ResponseWriter, _ *http.Request) {
			for range 2 * MaxHeaderBytes / 100 {
				writer.Header().Add("X-Filler", strings.Repeat("x", 100))
			}
		},
		"one header line": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("X-Filler", strings.Repeat("x", 2*MaxHeaderBytes))
		},
		"informational heads": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Link", strings.Repeat("x", 100))
			for range 2 * MaxHeaderBytes / 100 {
				writer.WriteHeader(http.StatusEarlyHints)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(answer)
			t.Cleanup(server.Close)
			client := &http.Client{Transport: NewTransport(&http.Transport{}, bodyBytes)}
			response, err := client.Get(server.URL)
			if err == nil {
				_ = response.Body.Close()
			}
			require.Error(t, err)
		})
	}
}
