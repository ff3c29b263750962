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

// TestSettingsAreReadAgain checks that a process that receives SIGHUP reads its settings again. Without a handler, SIGHUP
// would end the process. Settings that cannot be read must not stop the process either.
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
			loads <- modificationTime(path)
			return errors.New("not readable now")
		})
	})
	<-started
	require.Eventually(t, func() bool {
		return sendHangup(t, loads)
	}, time.Minute, 10*time.Millisecond)
	before := modificationTime(path)
	later := before.Add(time.Hour)
	require.NoError(t, os.Chtimes(path, later, later))
	require.NotEqual(t, before, modificationTime(path))
	for !(<-loads).Equal(modificationTime(path)) { // loads caused by the signals may come first
	}
	cancel()
	watching.Wait()
}

// sendHangup sends SIGHUP and reports whether the settings were read.
func sendHangup(t *testing.T, loads <-chan time.Time) bool {
	t.Helper()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case <-loads:
		return true
	case <-time.After(5 * time.Millisecond):
		return false
	}
}

// TestSendReloadedSendsLoadedSettings checks that loaded settings are sent on, that unreadable ones are not, and that
// a stopping process does not wait for a receiver.
func TestSendReloadedSendsLoadedSettings(t *testing.T) {
	errUnreadable := errors.New("not readable now")
	reloaded := make(chan int, 1)
	require.NoError(t, sendReloaded(t.Context(), func() (int, error) { return 7, nil }, reloaded)())
	require.Equal(t, 7, <-reloaded)
	require.ErrorIs(t, sendReloaded(t.Context(), func() (int, error) { return 8, errUnreadable }, reloaded)(), errUnreadable)
	require.Empty(t, reloaded)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, sendReloaded(ended, func() (int, error) { return 9, nil }, make(chan int))())
}
