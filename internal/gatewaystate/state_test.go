package gatewaystate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// TestRevisionInForce guards against a node that applies an older configuration than it had, also after
// a restart.
func TestRevisionInForce(t *testing.T) {
	answer := func(revision uint64, behind bool) *v1.SyncResponse {
		return &v1.SyncResponse{Revision: revision, Behind: behind, Full: true}
	}
	rows := []struct {
		name    string
		answers []*v1.SyncResponse
		want    uint64
		// unguarded is the resulting revision without SafeguardOrderedRevisions.
		unguarded uint64
	}{
		{"first answer of the leader", []*v1.SyncResponse{answer(4, false)}, 4, 4},
		{"first answer of a controller that may be behind", []*v1.SyncResponse{answer(4, true)}, 0, 4},
		{"a later answer after it", []*v1.SyncResponse{answer(4, true), answer(5, false)}, 5, 5},
		{"newer revision of a controller that may be behind", []*v1.SyncResponse{answer(4, false), answer(5, true)}, 5, 5},
		{"older", []*v1.SyncResponse{answer(4, false), answer(3, false)}, 4, 3},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			for _, guarded := range []bool{true, false} {
				config, want := Config{Identity: &v1.NodeIdentity{Name: "gateway-1"}}, row.want
				if !guarded {
					config.Safeguards, want = safeguard.Without(SafeguardOrderedRevisions), row.unguarded
				}
				state := New(config)
				for i, response := range row.answers {
					now := time.Duration(i) * time.Second
					before := state.Revision()
					result := state.ApplySync(now, now, state.SyncRequest(now), response)
					require.Equal(t, response.Behind || response.Revision < before, result.Behind)
				}
				require.Equal(t, want, state.Revision(), "guarded: %t", guarded)
			}
		})
	}
}
