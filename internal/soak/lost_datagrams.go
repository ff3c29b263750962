package soak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// longestLossGap is the longest time between two periods in which datagrams are lost, longestLoss the longest one. largestLoss is the
	// largest share that each relay loses, of those that it sends and of those that it gets.
	longestLossGap = 4 * time.Second
	longestLoss    = 4 * time.Second
	largestLoss    = 0.4
	// lossNumber identifies the loss in the commands to a process: cuts have other numbers.
	lossNumber = 2_000_000
)

// loseDatagrams loses a share of the datagrams among all relays for a time, again and again until the context ends.
func (f *faults) loseDatagrams(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 16000))
	relays := []netip.Prefix{groupPrefix(groupRelays)}
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(longestLossGap))))
		share, length := largestLoss*random.Float64(), time.Duration(random.Int64N(int64(longestLoss)))
		f.count(history.LostDatagrams, "relays")
		var ends []func() error
		for _, relay := range f.site.relays {
			if end, err := relay.LoseDatagrams(lossNumber, relays, share); err == nil {
				ends = append(ends, end)
			}
		}
		sleep(ctx, length)
		for _, end := range ends {
			_ = end() // an error means that the process has exited, and the loss with it
		}
	}
}
