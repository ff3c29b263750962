package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnrenewedShareHalves checks how a share that is not renewed shrinks.
func TestUnrenewedShareHalves(t *testing.T) {
	shares := leasedShares{
		granted: lease{tokensPerSecond: 1024, concurrency: 8, expiresAt: 10 * time.Second, period: 4 * time.Second},
		initial: lease{tokensPerSecond: 100, concurrency: 1, expiresAt: 3 * time.Second, period: 3 * time.Second},
	}
	rows := []struct {
		at          time.Duration
		rate        float64
		concurrency int
	}{
		{0, 1024, 8},
		{10*time.Second - 1, 1024, 8},
		{10 * time.Second, 512, 4},
		{14 * time.Second, 256, 2},
		{18 * time.Second, 128, 1},
		{22 * time.Second, 64, 0},
		{50*time.Second - 1, 1, 0},
		{50 * time.Second, 0, 0},
		{time.Hour, 0, 0},
	}
	for _, row := range rows {
		require.Equal(t, row.rate, shares.rate(row.at), "rate at %v", row.at)
		require.Equal(t, row.concurrency, shares.concurrency(row.at), "concurrency at %v", row.at)
	}
	beyond := shares.tokens(10*time.Second, time.Hour)
	require.LessOrEqual(t, beyond, 1024*4.0, "beyond its lease a share yields less than one more period of it")
	require.InDelta(t, 1024*4.0, beyond, 4.1)
}
