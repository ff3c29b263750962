package scale

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/language"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// claimedBody is the recorded answer of a claimed request: 467 tokens of 4 bytes.
const claimedBody = 4 * outputTokens

// replicatedState is the state of a plan's declarations with finished claims.
func replicatedState(t testing.TB, tenants, claims int) *controlstate.State {
	plan := smallPlan()
	plan.Tenants = tenants
	state := controlstate.New(safeguard.Set{})
	index := uint64(0)
	apply := func(command *v1.Command) {
		index++
		command.ProposedAtMs = time.Hour.Milliseconds()
		require.NoError(t, state.Apply(index, command).Err)
	}
	for _, file := range Declarations(plan) {
		objects, err := language.ParseDeclarations([]*v1.SourceFile{file})
		require.NoError(t, err)
		apply(&v1.Command{Body: &v1.Command_ApplyDeclaration{ApplyDeclaration: &v1.ApplyDeclaration{
			Operator: "bench", RequestId: file.Name, Objects: objects, SaltSeed: make([]byte, 32),
		}}})
	}
	body := []byte(strings.Repeat("x", claimedBody))
	for number := range claims {
		key := fmt.Sprintf("key-%d", number)
		apply(&v1.Command{Body: &v1.Command_BeginClaim{BeginClaim: &v1.BeginClaim{
			Tenant: TenantName(number % tenants), Kind: onceName(0), Key: key, Attempt: key, Gateway: NodeName(0),
			GatewayIncarnation: 1, BodyHash: make([]byte, 32), ExpiresAtMs: 2 * time.Hour.Milliseconds(),
		}}})
		apply(&v1.Command{Body: &v1.Command_FinishClaim{FinishClaim: &v1.FinishClaim{
			Tenant: TenantName(number % tenants), Kind: onceName(0), Key: key, Attempt: key, Status: 200,
			ContentType: "application/json", Body: body,
		}}})
	}
	return state
}

// BenchmarkSnapshot measures writing and reading the replicated state against tenants
// and claims; the core does nothing else meanwhile.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ tenants, claims int }{{1000, 0}, {10_000, 0}, {33_000, 0}, {33_000, 10_000}, {33_000, 108_000}} {
		b.Run(fmt.Sprintf("tenants=%d/claims=%d", size.tenants, size.claims), func(b *testing.B) {
			state := replicatedState(b, size.tenants, size.claims)
			var data []byte
			b.ResetTimer()
			for range b.N {
				var err error
				data, err = state.Snapshot()
				require.NoError(b, err)
			}
			b.StopTimer()
			began := time.Now()
			_, err := controlstate.Restore(data, safeguard.Set{})
			require.NoError(b, err)
			b.ReportMetric(float64(time.Since(began).Milliseconds()), "restore-ms")
			b.ReportMetric(float64(len(data))/1e6, "MB")
		})
	}
}
