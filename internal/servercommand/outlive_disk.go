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

// Pauses before a controller whose disk failed begins anew; they double up to the longest.
const (
	diskFirstPause   = 200 * time.Millisecond
	diskLongestPause = 2 * time.Second
)

// outliveDisk runs a controller again, from what its disk then holds, when the disk failed
// it: a full disk has room again later, and an exit would only be followed by another.
// It returns when the context ends or anything else fails.
func outliveDisk(ctx context.Context, log *logring.Log, run func() error) error {
	wait := diskFirstPause
	for {
		err := run()
		var failed *controller.DiskError
		if !errors.As(err, &failed) {
			return err
		}
		log.Warn().Str(events.FieldEvent, string(events.DiskFailed)).Err(err).Dur("pause", wait).Send()
		if !pause.For(ctx, wait) {
			return nil
		}
		wait = min(2*wait, diskLongestPause)
	}
}
