package zonedelay

import (
	"sync"
	"time"
)

// deadline closes a channel when a time set from elsewhere has come.
type deadline struct {
	mutex *sync.Mutex
	timer *time.Timer
	done  chan struct{}
}

func newDeadline() deadline {
	return deadline{mutex: &sync.Mutex{}, done: make(chan struct{})}
}

// passed is closed once the deadline has passed.
func (d *deadline) passed() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.done
}

// set moves the deadline; the zero time is none.
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
