package logstream

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// stalledWriter blocks until it is released.
type stalledWriter struct {
	mutex   sync.Mutex
	written bytes.Buffer
	release chan struct{}
}

func (s *stalledWriter) Write(line []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written.Write(line)
}

func TestStalledReaderDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledWriter{release: make(chan struct{})}
		stream := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { stream.Run(ctx) })
		logger := zerolog.New(stream)
		for range 2 * queueLines {
			logger.Info().Msg("ordinary")
		}
		for range queueLines {
			logger.Warn().Msg("urgent")
		}
		require.Greater(t, stream.Dropped(), int64(0))
		close(out.release)
		cancel()
		running.Wait()
		lines := out.written.String()
		require.LessOrEqual(t, strings.Count(lines, "\n"), 2*queueLines, "the queue is bounded")
		require.GreaterOrEqual(t, strings.Count(lines, `"urgent"`), queueLines-ordinaryLines-1, "urgent lines have capacity that ordinary lines cannot use")
		require.Contains(t, lines, "log_lines_dropped")
	})
}

func TestLinesComeInOrder(t *testing.T) {
	out := &bytes.Buffer{}
	stream := New(out)
	logger := zerolog.New(stream)
	logger.Info().Int("n", 1).Send()
	logger.Error().Int("n", 2).Send()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	stream.Run(ctx)
	require.Equal(t, "{\"level\":\"info\",\"n\":1}\n{\"level\":\"error\",\"n\":2}\n", out.String())
}
