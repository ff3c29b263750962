// Package logstream writes log lines to a process's standard output without ever holding
// up who logs: lines wait in a bounded ring for one writer, and are dropped when it is
// full. Ordinary lines go first: they may take only a part of the ring. How many lines of
// each level were dropped is itself written.
package logstream

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/events"
)

const (
	// ringLines bounds the lines that wait for the writer.
	ringLines = 1024
	// ordinaryLines is the part of the ring that lines below the warning level may take.
	ordinaryLines = ringLines * 3 / 4
	// batchBytes bounds what is written with one call.
	batchBytes = 32 << 10
)

// Stream is a zerolog.LevelWriter. It is safe for concurrent use.
type Stream struct {
	out   io.Writer
	lines chan []byte
	// dropped counts the lines dropped since the last count was written.
	droppedOrdinary atomic.Int64
	droppedUrgent   atomic.Int64
	// total counts every line dropped.
	total atomic.Int64
}

// New returns a stream to the writer; Run writes what is logged.
func New(out io.Writer) *Stream {
	return &Stream{out: out, lines: make(chan []byte, ringLines)}
}

// Write takes a line without a level.
func (s *Stream) Write(line []byte) (int, error) { return s.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel takes a line. It never blocks and never fails.
func (s *Stream) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	ordinary := level < zerolog.WarnLevel
	if ordinary && len(s.lines) >= ordinaryLines {
		s.drop(&s.droppedOrdinary)
		return len(line), nil
	}
	held := append(make([]byte, 0, len(line)), line...)
	select {
	case s.lines <- held:
	default:
		if ordinary {
			s.drop(&s.droppedOrdinary)
		} else {
			s.drop(&s.droppedUrgent)
		}
	}
	return len(line), nil
}

func (s *Stream) drop(count *atomic.Int64) {
	count.Add(1)
	s.total.Add(1)
}

// Dropped returns how many lines were dropped so far.
func (s *Stream) Dropped() int64 { return s.total.Load() }

// Run writes lines until the context ends, and then those that wait. A writer that fails
// loses the lines: there is no better place to tell.
func (s *Stream) Run(ctx context.Context) {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-ctx.Done():
			select {
			case line := <-s.lines:
				s.write(line)
			default:
				return
			}
		}
	}
}

// write writes a line with others that wait, and the number of lines dropped before them.
func (s *Stream) write(batch []byte) {
	for len(batch) < batchBytes {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	_, _ = s.out.Write(s.appendDropped(batch))
}

// appendDropped appends a line on lines dropped, if there were any.
func (s *Stream) appendDropped(batch []byte) []byte {
	ordinary, urgent := s.droppedOrdinary.Swap(0), s.droppedUrgent.Swap(0)
	if ordinary+urgent == 0 {
		return batch
	}
	counted := writerFunc(func(line []byte) (int, error) {
		batch = append(batch, line...)
		return len(line), nil
	})
	logger := zerolog.New(counted)
	logger.Warn().Str(events.FieldEvent, string(events.LogLinesDropped)).Int64("ordinary", ordinary).Int64("urgent", urgent).Send()
	return batch
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(line []byte) (int, error) { return w(line) }
