package servercommand

import (
	"context"
	"errors"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/controller"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// Delays before a controller restarts after a disk failure; they double up to the maximum.
const (
	minimumDiskPause = 200 * time.Millisecond
	maximumDiskPause = 2 * time.Second
)

// restartOnDiskError runs a controller and runs it again, from the data on its disk, after a disk
// failure: a full disk may have space again later, and a process that exits would only fail again when restarted.
// It returns when the context ends or run returns without a disk failure.
func restartOnDiskError(ctx context.Context, log *logring.Log, run func() error) error {
	wait := minimumDiskPause
	for {
		err := run()
		var diskError *controller.DiskError
		if !errors.As(err, &diskError) {
			return err
		}
		log.Warn().Str(events.FieldEvent, string(events.DiskFailed)).Err(err).Dur("pause", wait).Send()
		if !pause.For(ctx, wait) {
			return nil
		}
		wait = min(2*wait, maximumDiskPause)
	}
}
