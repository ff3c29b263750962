package controller

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/control"
)

// batchWriter writes batches of the replicated log to disk.
type batchWriter interface {
	// Write writes the batches in order and returns after one sync of all of them.
	Write(batches []control.Persist) error
}

// syncer writes the batches that the Core wants persisted. Batches that arrive during a
// sync are written together with the next one.
type syncer struct {
	writer batchWriter
	loop   *loop
	// observe receives the number of batches of a write and its duration.
	observe func(batches int, took time.Duration)
}

// run writes until the context ends or the disk fails. A disk error ends the
// process: the contents of the disk are unknown, and a restart reads them again.
func (s *syncer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case batches := <-s.loop.persist:
			started := time.Now()
			if err := s.writer.Write(batches); err != nil {
				return &DiskError{cause: trace.Wrap(err, "cannot write the log; check the disk behind data_directory")}
			}
			s.observe(len(batches), time.Since(started))
			select {
			case s.loop.persisted <- batches[len(batches)-1].Batch:
			case <-ctx.Done():
				return nil
			}
		}
	}
}
