package zonedelay

import (
	"sync"
	"time"
)

// PendingFlushes is what the closed connections of a process have still to send. In a network such bytes are the
// system's and outlive the process; here the process has to wait for them.
type PendingFlushes struct{ sending sync.WaitGroup }

// Wait waits until every closed connection has sent its last bytes, or until the limit.
func (u *PendingFlushes) Wait(limit time.Duration) {
	sent := make(chan struct{})
	go func() {
		u.sending.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-time.After(limit):
	}
}
