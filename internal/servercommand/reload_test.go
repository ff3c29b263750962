package servercommand

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/lifecycle"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// SIGHUP, whose default is to end the process, reads the settings again; settings that
// cannot be read leave the process as it is.
func TestSettingsAreReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte("a"), 0o600))
	signals := lifecycle.HandleSignals()
	loads := make(chan time.Time, 1024)
	ctx, cancel := context.WithCancel(t.Context())
	var watching sync.WaitGroup
	started := make(chan struct{})
	watching.Go(func() {
		close(started)
		watchSettings(ctx, path, logring.New("relay", settings.Log{RingEntries: 8}), signals.Reloads(), func() error {
			loads <- modified(path)
			return errors.New("not readable now")
		})
	})
	<-started
	require.Eventually(t, func() bool {
		return signalled(t, loads)
	}, time.Minute, 10*time.Millisecond)
	before := modified(path)
	later := before.Add(time.Hour)
	require.NoError(t, os.Chtimes(path, later, later))
	require.NotEqual(t, before, modified(path))
	for !(<-loads).Equal(modified(path)) { // loads of the signals may still wait
	}
	cancel()
	watching.Wait()
}

// signalled sends SIGHUP and reports whether the settings were read.
func signalled(t *testing.T, loads <-chan time.Time) bool {
	t.Helper()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case <-loads:
		return true
	case <-time.After(5 * time.Millisecond):
		return false
	}
}

// What was read again is handed on; what cannot be read is not, and a stopping process waits
// for nobody.
func TestReloadingHandsOnWhatWasRead(t *testing.T) {
	unread := errors.New("not readable now")
	reloaded := make(chan int, 1)
	require.NoError(t, reloading(t.Context(), func() (int, error) { return 7, nil }, reloaded)())
	require.Equal(t, 7, <-reloaded)
	require.ErrorIs(t, reloading(t.Context(), func() (int, error) { return 8, unread }, reloaded)(), unread)
	require.Empty(t, reloaded)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, reloading(ended, func() (int, error) { return 9, nil }, make(chan int))())
}
