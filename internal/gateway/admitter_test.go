package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/limits"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
)

// TestTenantReturnsAfterIdleTime guards against refusing a tenant whose shares expired while it was
// idle: its next request must wait for a new share and then run.
func TestTenantReturnsAfterIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admitter, err := newAdmitter(newClock(), settings.GatewayLimits{InFlight: 8, QueueLength: 8})
		require.NoError(t, err)
		wanted := admissionRequest{
			service: "engines", limit: limits.Limit{TokensPerSecond: 12_800, Concurrency: 100},
			request: admission.Request{Tenant: "one", PromptTokens: 1000, OutputTokens: 10, Weight: 1, Worth: 1, Deadline: time.Hour},
		}
		grant := func(demands []*v1.ShareDemand, at time.Duration) {
			require.Len(t, demands, 1)
			time.Sleep(5 * time.Millisecond) // the round trip to the leader
			admitter.applyShares(at, []*v1.Share{{Tenant: "one", TokensPerSecond: 12_800, Concurrency: 100, ValidMs: 4000}})
		}
		first, fault := admitter.admit(wanted, &upstream.Interrupter{})
		require.Nil(t, fault)
		time.Sleep(time.Second)
		grant(admitter.demands())
		first.finish(admission.Result{PromptTokens: 1000, OutputTokens: 10})

		time.Sleep(2 * time.Minute)
		demands, _ := admitter.demands()
		require.Empty(t, demands, "an idle tenant is not reported")
		second := make(chan *refusal, 1)
		go func() {
			_, fault := admitter.admit(wanted, &upstream.Interrupter{})
			second <- fault
		}()
		synctest.Wait()
		require.Len(t, admitter.wakeReport, 1, "the request waits for a share")
		grant(admitter.urgentDemands())
		time.Sleep(100 * time.Millisecond) // the share accumulates tokens meanwhile
		admitter.expire()
		require.Nil(t, <-second)
	})
}
