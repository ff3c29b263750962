package origins

import (
	"context"
	"sync"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// statementReader asks the leader for statements. One call at a time serves all searches that began before it was sent, so that many
// streams that are taken up at once cost few calls.
type statementReader struct {
	readStatement func(ctx context.Context) *v1.VersionStatement

	mutex sync.Mutex
	// next is the call that is not sent yet; nil for none. isCalling is true while one is under way.
	next      *statementCall
	isCalling bool
}

// statementCall is one call to the leader.
type statementCall struct {
	// waiting is the number of searches that wait for it.
	waiting   int
	done      chan struct{}
	statement *v1.VersionStatement
}

// read returns a statement that the leader has made since read was called; nil if there is none, or once stop is closed.
func (r *statementReader) read(stop <-chan struct{}) *v1.VersionStatement {
	call := r.join()
	select {
	case <-call.done:
		return call.statement
	case <-stop:
		return nil
	}
}

// join returns the call that is sent next, and begins it if none is under way.
func (r *statementReader) join() *statementCall {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.next == nil {
		r.next = &statementCall{done: make(chan struct{})}
	}
	call := r.next
	call.waiting++
	if !r.isCalling {
		r.isCalling = true
		go r.run()
	}
	return call
}

// run makes calls until no search waits.
func (r *statementReader) run() {
	for {
		r.mutex.Lock()
		call := r.next
		r.next, r.isCalling = nil, call != nil
		r.mutex.Unlock()
		if call == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
		call.statement = r.readStatement(ctx)
		cancel()
		close(call.done)
	}
}
