package servercommand

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/controller"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

func TestControllerOutlivesAFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logring.New("controller", settings.Log{RingEntries: 8})
		runs, began := 0, time.Now()
		err := restartOnDiskError(t.Context(), log, func() error {
			runs++
			if runs < 4 {
				return trace.Wrap(fmt.Errorf("wrapped: %w", &controller.DiskError{}))
			}
			return nil
		})
		require.NoError(t, err)
		require.Equal(t, 4, runs)
		require.Equal(t, 1400*time.Millisecond, time.Since(began))
	})
}

func TestOtherErrorsEndTheController(t *testing.T) {
	failure := errors.New("address in use")
	err := restartOnDiskError(t.Context(), logring.New("controller", settings.Log{RingEntries: 8}), func() error { return failure })
	require.Equal(t, failure, err)
}
