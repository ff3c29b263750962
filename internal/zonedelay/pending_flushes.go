package zonedelay

import (
	"sync"
	"time"
)

// PendingFlushes counts the closed connections of a process that still have data to send. In a real
// network the operating system sends such data even after the process has exited; here the process has
// to wait.
type PendingFlushes struct{ running sync.WaitGroup }

// Wait blocks until every closed connection has sent its data, or until the limit has passed.
func (p *PendingFlushes) Wait(limit time.Duration) {
	flushed := make(chan struct{})
	go func() {
		p.running.Wait()
		close(flushed)
	}()
	select {
	case <-flushed:
	case <-time.After(limit):
	}
}
