package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/membership"
)

// Guards against too few poll workers: 930 engines, two thirds of them in regions 50 ms away, are
// polled once an interval with two round trips each. If polls are late, engines that answer count
// as changing. Half of the workers must be enough.
func TestPollWorkersSufficeForTheTargetFleet(t *testing.T) {
	const (
		engines   = 930
		far       = engines * 2 / 3
		roundTrip = 100 * time.Millisecond
		exchanges = 2 // state and load
	)
	busy := far * exchanges * roundTrip.Seconds() / membership.DefaultPollInterval.Seconds()
	require.LessOrEqual(t, 2*busy, float64(pollWorkers))
}
