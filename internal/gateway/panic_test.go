package gateway

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/stream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// TestPanicEndsOneStream shows that a panic in the middle of a stream ends that stream with a correct
// verdict and does not end the process.
func TestPanicEndsOneStream(t *testing.T) {
	t.Parallel()
	gateway, err := newGateway(testSettings(), Options{Log: logring.New("g1", settings.Log{RingEntries: 16})})
	require.NoError(t, err)
	broken := &completion{gateway: gateway, sequence: stream.NewSequence(false, safeguard.Set{})} // without an interrupter, next panics
	broken.target.kind = &gatewaystate.Kind{Name: "matching", Spec: &v1.Kind{}}
	header := &fasthttp.ResponseHeader{}
	require.NoError(t, header.SetTrailer(verdict.Trailer))
	reader := &chatStream{completion: broken, header: header, writer: stream.NewWriter(stream.Identity{}, false)}
	text, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Contains(t, string(text), codeInternal)
	require.NotContains(t, string(text), "[DONE]")
	require.Equal(t, verdict.MayHaveRun.String(), string(header.Peek(verdict.Trailer)))
}
