package weightstore

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

func start(t *testing.T, bytesPerSecond int) *Server {
	t.Helper()
	store, err := Start(Config{
		Address: "127.0.0.1:0", BytesPerSecond: bytesPerSecond, MaxReaders: 1,
		Weights: map[string]int64{"m/1": 3 * chunkBytes, "huge/1": 1 << 40},
	})
	require.NoError(t, err)
	t.Cleanup(store.Close)
	return store
}

func get(t *testing.T, store *Server, path string) *http.Response {
	t.Helper()
	response, err := http.Get("http://" + store.Address() + path)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func TestReadersShareOneRateLimit(t *testing.T) {
	const rate = 1 << 20
	store := start(t, rate)
	began := time.Now()
	sent, err := io.Copy(io.Discard, get(t, store, enginecontract.PathWeights+"m/1").Body)
	require.NoError(t, err)
	require.Equal(t, int64(3*chunkBytes), sent)
	// The first chunk uses the limiter's burst; the other two wait for the rate.
	require.GreaterOrEqual(t, time.Since(began), time.Second*2*chunkBytes/rate*9/10)
	var status Status
	require.NoError(t, json.NewDecoder(get(t, store, enginecontract.PathWeightsStatus).Body).Decode(&status))
	require.Equal(t, int64(3*chunkBytes), status.BytesSent)
}

func TestRefusals(t *testing.T) {
	store := start(t, chunkBytes)
	require.Equal(t, http.StatusNotFound, get(t, store, enginecontract.PathWeights+"m/9").StatusCode)
	require.Equal(t, http.StatusNotFound, get(t, store, "/else").StatusCode)
	reading := get(t, store, enginecontract.PathWeights+"huge/1")
	busy := get(t, store, enginecontract.PathWeights+"m/1")
	require.Equal(t, http.StatusTooManyRequests, busy.StatusCode)
	require.NotEmpty(t, busy.Header.Get("Retry-After"))
	require.NoError(t, reading.Body.Close())
	require.Eventually(t, func() bool { return store.Status().Readers == 0 }, time.Minute, time.Millisecond)
	_, err := Start(Config{Address: "127.0.0.1:0"})
	require.ErrorContains(t, err, "above 0")
}
