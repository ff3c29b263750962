package servercommand

import (
	"context"
	"os"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/logring"
)

// reloadPoll is the time between two looks at whether the settings file has changed.
const reloadPoll = 2 * time.Second

// watchSettings calls load, which reads the settings again and hands them on, for each wish to
// reload and whenever the file has changed. Settings that cannot be read leave those in force.
// It returns when the context ends.
func watchSettings(ctx context.Context, path string, log *logring.Log, reloads <-chan struct{}, load func() error) {
	ticker := time.NewTicker(reloadPoll)
	defer ticker.Stop()
	changedAt := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		case <-ticker.C:
			if modified(path).Equal(changedAt) {
				continue
			}
		}
		changedAt = modified(path)
		err := load()
		log.Info().Str(events.FieldEvent, string(events.SettingsReloaded)).Str("path", path).Err(err).Send()
	}
}

// refuseReloads tells, for each wish to reload, that this server takes other settings with a restart only.
func refuseReloads(ctx context.Context, log *logring.Log, reloads <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			log.Warn().Msg("this server reads its settings when it starts: restart it to put others in force")
		}
	}
}

// reloading returns a load for watchSettings that sends what it has read to a channel.
func reloading[T any](ctx context.Context, read func() (T, error), reloaded chan<- T) func() error {
	return func() error {
		again, err := read()
		if err != nil {
			return err
		}
		select {
		case reloaded <- again:
		case <-ctx.Done():
		}
		return nil
	}
}

// modified is when the file was changed last; the zero time when that cannot be told.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
