package servercommand

import (
	"context"
	"os"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/logring"
)

// reloadPollInterval is the time between two checks for a change of the settings file.
const reloadPollInterval = 2 * time.Second

// watchSettings calls load, which reads the settings again and passes them on, for each reload
// signal and whenever the file has changed. When load fails, the applied settings stay.
// It returns when the context ends.
func watchSettings(ctx context.Context, path string, log *logring.Log, reloads <-chan struct{}, load func() error) {
	ticker := time.NewTicker(reloadPollInterval)
	defer ticker.Stop()
	changedAt := modificationTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		case <-ticker.C:
			if modificationTime(path).Equal(changedAt) {
				continue
			}
		}
		changedAt = modificationTime(path)
		err := load()
		log.Info().Str(events.FieldEvent, string(events.SettingsReloaded)).Str("path", path).Err(err).Send()
	}
}

// warnOnReload logs, for each reload signal, that this server applies changed settings only after a restart.
func warnOnReload(ctx context.Context, log *logring.Log, reloads <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			log.Warn().Msg("this server reads its settings only at start; restart it to apply changed settings")
		}
	}
}

// sendReloaded returns a load function for watchSettings that reads the settings and sends them to the channel. The load
// function fails when read fails.
func sendReloaded[T any](ctx context.Context, read func() (T, error), reloaded chan<- T) func() error {
	return func() error {
		loaded, err := read()
		if err != nil {
			return err
		}
		select {
		case reloaded <- loaded:
		case <-ctx.Done():
		}
		return nil
	}
}

// modificationTime returns the time of the last change of the file, or the zero time when it is unknown.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
