package load

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const deployments = "../../deploy"

func TestTrafficIsDeclaredAndDeterministic(t *testing.T) {
	for _, name := range []string{"rawabi", "empleandes"} {
		traffic, kinds, err := loadDescription(filepath.Join(deployments, name))
		require.NoError(t, err)
		require.Len(t, traffic.Requests, 5)
		once := 0
		for _, request := range traffic.Requests {
			if !kinds[request.Kind].Repeatable {
				once++
				require.True(t, request.Page.Once, "%s may not be repeated", request.Kind)
			}
		}
		require.Equal(t, 1, once)

		arrivals := drawArrivals(traffic, time.Minute, 1, 7)
		require.Equal(t, arrivals, drawArrivals(traffic, time.Minute, 1, 7))
		require.NotEqual(t, arrivals, drawArrivals(traffic, time.Minute, 1, 8))
		require.InDelta(t, 2*len(arrivals), len(drawArrivals(traffic, time.Minute, 2, 7)), 0.2*float64(len(arrivals)))
		for index := 1; index < len(arrivals); index++ {
			require.LessOrEqual(t, arrivals[index-1].at, arrivals[index].at)
		}
	}
}

func TestSwingsShiftTheMix(t *testing.T) {
	traffic, err := LoadTraffic(filepath.Join(deployments, "rawabi"))
	require.NoError(t, err)
	quarter := traffic.Requests[0].Swing.Period / 4
	assessment, question := traffic.Requests[0], traffic.Requests[1]
	require.Greater(t, assessment.rateAt(quarter), assessment.rateAt(3*quarter))
	require.Less(t, question.rateAt(quarter), question.rateAt(3*quarter))
}

func TestInvalidTraffic(t *testing.T) {
	for _, text := range []string{
		"requests: [{kind: a}]",
		"requests: [{kind: a, rate: -1, page: {path: /}}]",
		"requests: [{kind: a, rate: 1, swing: {amplitude: 0.5}, page: {path: /}}]",
		"requests: [{kind: a, chat: {prompt_tokens: {low: 2, high: 1}}}]",
		"requests: [{kind: a, speed: 1}]",
	} {
		directory := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(directory, TrafficFile), []byte(text), 0o644))
		_, err := LoadTraffic(directory)
		require.ErrorContains(t, err, directory, text)
	}
	_, err := LoadTraffic(t.TempDir())
	require.ErrorContains(t, err, "--deployment")
}
