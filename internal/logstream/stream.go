// Package logstream writes log lines to a process's standard output without ever blocking
// the code that logs: lines wait in a bounded queue for a single writer, and are dropped when it is
// full. Lines below the warning level may use only a part of the queue, so that they are dropped first.
// The number of dropped lines of each class is written to the output.
package logstream

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/events"
)

const (
	// queueLines is the capacity of the queue in lines.
	queueLines = 1024
	// ordinaryLines is the part of the queue that lines below the warning level may use.
	ordinaryLines = queueLines * 3 / 4
	// batchBytes is the size at which a batch of lines is written.
	batchBytes = 32 << 10
)

// Stream is a zerolog.LevelWriter. It is safe for concurrent use.
type Stream struct {
	out   io.Writer
	lines chan []byte
	// droppedOrdinary counts the lines below the warning level, droppedUrgent all others, that were dropped since the
	// last counts were written.
	droppedOrdinary atomic.Int64
	droppedUrgent   atomic.Int64
	// total counts all dropped lines.
	total atomic.Int64
}

// New returns a stream to the writer. Run must be called for lines to be written.
func New(out io.Writer) *Stream {
	return &Stream{out: out, lines: make(chan []byte, queueLines)}
}

// Write queues a line without a level.
func (s *Stream) Write(line []byte) (int, error) { return s.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel queues a line or drops it. It never blocks and never returns an error.
func (s *Stream) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	ordinary := level < zerolog.WarnLevel
	if ordinary && len(s.lines) >= ordinaryLines {
		s.drop(&s.droppedOrdinary)
		return len(line), nil
	}
	copied := append(make([]byte, 0, len(line)), line...)
	select {
	case s.lines <- copied:
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

// Dropped returns the number of lines dropped so far.
func (s *Stream) Dropped() int64 { return s.total.Load() }

// Run writes lines until the context ends, and then the lines still in the queue. Lines are lost
// when the writer fails: there is no other output to report it on.
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

// write writes a line together with other waiting lines, and then the number of lines dropped.
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

// appendDropped appends a line with the numbers of dropped lines, if there are any.
func (s *Stream) appendDropped(batch []byte) []byte {
	ordinary, urgent := s.droppedOrdinary.Swap(0), s.droppedUrgent.Swap(0)
	if ordinary+urgent == 0 {
		return batch
	}
	lineBuffer := writerFunc(func(line []byte) (int, error) {
		batch = append(batch, line...)
		return len(line), nil
	})
	logger := zerolog.New(lineBuffer)
	logger.Warn().Str(events.FieldEvent, string(events.LogLinesDropped)).Int64("ordinary", ordinary).Int64("urgent", urgent).Send()
	return batch
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(line []byte) (int, error) { return w(line) }
