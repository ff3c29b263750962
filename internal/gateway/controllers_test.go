package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// TestHeartbeatsStayAtTheirController: gateways are spread over the controllers by their
// settings, and what moves one of them has to move it back.
func TestHeartbeatsStayAtTheirController(t *testing.T) {
	home, other := startController(t), startController(t)
	control, err := NewControl(testSettings(home.address, other.address), ControlOptions{Log: logring.New("g1", settings.Log{RingEntries: 16})})
	require.NoError(t, err)
	go control.view.run(t.Context())
	first := func() string { return control.controllers.inOrder(false)[0] }

	home.behind.Store(true)
	require.NoError(t, control.syncOnce(t.Context()))
	require.Equal(t, home.address, first(), "behind for a moment")
	require.Equal(t, uint64(1), control.Revision(), "the other one was asked")

	home.behind.Store(false)
	home.down.Store(true)
	require.NoError(t, control.syncOnce(t.Context()))
	require.Equal(t, other.address, first(), "failed: not asked first for a while")
	require.Equal(t, []string{other.address, home.address}, control.controllers.inOrder(false))

	control.controllers.mutex.Lock()
	control.controllers.postponedAt = time.Now().Add(-homeAfter)
	control.controllers.mutex.Unlock()
	require.Equal(t, home.address, first(), "and then again")
}
