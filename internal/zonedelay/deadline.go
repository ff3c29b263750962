package zonedelay

import (
	"sync"
	"time"
)

// deadline is a deadline that can be changed while others wait for it.
type deadline struct {
	mutex *sync.Mutex
	timer *time.Timer
	done  chan struct{}
}

func newDeadline() deadline {
	return deadline{mutex: &sync.Mutex{}, done: make(chan struct{})}
}

// expired returns a channel that is closed once the deadline has passed.
func (d *deadline) expired() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.done
}

// set changes the deadline; the zero time means none.
func (d *deadline) set(at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	select {
	case <-d.done:
		d.done = make(chan struct{})
	default:
	}
	if at.IsZero() {
		return
	}
	done := d.done
	d.timer = time.AfterFunc(time.Until(at), func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if done != d.done {
			return
		}
		select {
		case <-done:
		default:
			close(done)
		}
	})
}
