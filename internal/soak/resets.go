package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// longestResetGap is the longest time between two resets of a share of the connections, longestSettingsGap between two changes of settings.
	longestResetGap    = 4 * time.Second
	longestSettingsGap = 2 * time.Second
)

// resetClients resets the connections of a share of the clients, or of a share of the back ends, again and again until the context ends.
func (f *faults) resetClients(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 13000))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(longestResetGap))))
		if random.IntN(2) == 0 {
			for _, replica := range f.site.faultTargets() {
				if random.Float64() < resetShareOfClients {
					f.inject(history.Reset, replica.Identity(), false, replica.ResetConnections)
				}
			}
			continue
		}
		f.count(history.ResetClients, "clients")
		f.traffic.mutex.Lock()
		clients := f.traffic.clients
		f.traffic.mutex.Unlock()
		for _, client := range clients {
			if random.Float64() < resetShareOfClients {
				client.ResetConnections()
			}
		}
	}
}

// changeSettings changes the settings of relays that may change while they run, the controllers that they know and the retry budget, and
// has them read again, until the context ends.
func (f *faults) changeSettings(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 14000))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(longestSettingsGap))))
		relay := f.site.relays[random.IntN(len(f.site.relays))]
		config, seeds := f.site.configs[relay.Name], append([]string(nil), f.site.seeds()...)
		random.Shuffle(len(seeds), func(a, b int) { seeds[a], seeds[b] = seeds[b], seeds[a] })
		config["controllers"] = seeds[:1+random.IntN(len(seeds))]
		slack := bounds.RetrySlack - float64(random.IntN(5))
		config["retry_budget"] = map[string]any{"ratio": bounds.RetryRatio, "window": bounds.RetryWindow.String(), "slack": slack}
		if replaceSettings(relay.SettingsPath, config) == nil {
			f.inject(history.Reload, relay.Name, false, func() { f.sendReloads(relay.Process) })
		}
	}
}

// replaceSettings replaces a settings file at once, so that a process that starts meanwhile reads a whole one.
func replaceSettings(path string, config map[string]any) error {
	content, err := yaml.Marshal(config)
	if err != nil {
		return err
	}
	written := filepath.Join(filepath.Dir(path), "."+filepath.Base(path))
	if err := os.WriteFile(written, content, 0o600); err != nil {
		return err
	}
	return os.Rename(written, path)
}
