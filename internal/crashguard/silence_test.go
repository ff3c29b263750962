package crashguard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// When the leader no longer supports quarantine, the last list stays valid for localQuarantineTime and then expires: nobody
// grants trials in that time, and a request that was quarantined by coincidence must be served again.
func TestHeldRequestsOutliveASilentLeaderForAWhile(t *testing.T) {
	now := time.Duration(0)
	guard := New(Options{Now: func() time.Duration { return now }, Observer: silentObserver{}})
	signature := quarantine.SignatureOf("", "", "", []byte("held"))
	requests := []*v1.HeldRequest{{Signature: signature[:]}}
	guard.ApplyQuarantine(Statement{Version: 7, Requests: requests})
	for ; now < localQuarantineTime; now += time.Second {
		guard.MarkQuarantineUnsupported()
		require.True(t, guard.IsQuarantined(quarantine.Content{Request: signature}))
	}
	require.False(t, guard.IsQuarantined(quarantine.Content{Request: signature}))
	require.Equal(t, uint64(7), guard.QuarantineVersion())
	guard.ApplyQuarantine(Statement{Version: 7})
	require.True(t, guard.IsQuarantined(quarantine.Content{Request: signature}), "the same version is sent without its content")
	guard.MarkQuarantineUnsupported()
	require.True(t, guard.IsQuarantined(quarantine.Content{Request: signature}))
	guard.ApplyQuarantine(Statement{})
	require.False(t, guard.IsQuarantined(quarantine.Content{Request: signature}))
}

type silentObserver struct{}

func (silentObserver) ReplicaCrashed(string, int)              {}
func (silentObserver) RequestQuarantined(quarantine.Signature) {}
func (silentObserver) LeaderCallFailed(error)                  {}
