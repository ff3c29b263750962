package controller

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/control"
)

// batchWriter is the disk of the replicated log.
type batchWriter interface {
	// Write writes the batches in order and returns after one sync of all of them.
	Write(batches []control.Persist) error
}

// syncer writes what the Core wants persisted. Batches that come up while a sync
// runs are written together with the next one.
type syncer struct {
	writer batchWriter
	loop   *loop
	// observe is told how many batches were written together and how long it took.
	observe func(batches int, took time.Duration)
}

// run writes until the context ends or the disk fails. A failed disk ends the
// process: what it holds is unknown, and a restart reads it again.
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
