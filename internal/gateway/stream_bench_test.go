package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// benchmarkTokens is the number of tokens of one streamed answer.
const benchmarkTokens = 500

// BenchmarkStreamedToken streams answers through a gateway over HTTP. Engine and
// caller run in the same process, so the cost of a token is visible in the profile and not in the time.
func BenchmarkStreamedToken(b *testing.B) {
	engine := startEngine(b)
	engine.tokens = make([]string, benchmarkTokens)
	for i := range engine.tokens {
		engine.tokens[i] = " word"
	}
	controller := startController(b, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
	gateway := startGateway(b, testSettings(controller.address))
	b.ResetTimer()
	for range b.N {
		require.True(b, chat(b, gateway, "matching", streamBody).isComplete)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchmarkTokens), "ns/token")
}
