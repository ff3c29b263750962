package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// TestHeartbeatsReturnToTheirController guards against heartbeats that stay at another controller for good: a gateway
// that left the first controller of its settings must return to it.
func TestHeartbeatsReturnToTheirController(t *testing.T) {
	home, other := startController(t), startController(t)
	control, err := NewControl(testSettings(home.address, other.address), ControlOptions{Log: logring.New("g1", settings.Log{RingEntries: 16})})
	require.NoError(t, err)
	go control.view.run(t.Context())
	first := func() string { return control.controllers.candidates(false)[0] }

	home.behind.Store(true)
	require.NoError(t, control.syncOnce(t.Context()))
	require.Equal(t, home.address, first(), "a controller that is behind keeps its place")
	require.Equal(t, uint64(1), control.Revision(), "the other controller was called")

	home.behind.Store(false)
	home.down.Store(true)
	require.NoError(t, control.syncOnce(t.Context()))
	require.Equal(t, other.address, first(), "a controller that failed is demoted for a while")
	require.Equal(t, []string{other.address, home.address}, control.controllers.candidates(false))

	control.controllers.mutex.Lock()
	control.controllers.demotedAt = time.Now().Add(-homeOrderDelay)
	control.controllers.mutex.Unlock()
	require.Equal(t, home.address, first(), "and then restored")
}
