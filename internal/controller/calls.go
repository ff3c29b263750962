package controller

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hazelpitch/hazelpitch/internal/control"
)

// maxPendingCalls limits the number of calls that wait for the Core's answer.
const maxPendingCalls = 4096

// calls routes the Core's answers to the handlers that wait for them. It is
// safe for concurrent use.
type calls struct {
	mutex   sync.Mutex
	lastID  control.CallID
	pending map[control.CallID]chan control.Answer
}

func newCalls() *calls {
	return &calls{pending: make(map[control.CallID]chan control.Answer)}
}

// register adds a call. The returned channel receives at most one answer.
func (c *calls) register() (control.CallID, <-chan control.Answer, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.pending) >= maxPendingCalls {
		// Not ResourceExhausted: that code means that the replicated state is full.
		return 0, nil, connect.NewError(connect.CodeUnavailable,
			trace.LimitExceeded("%d calls are waiting for this controller; try again later", maxPendingCalls))
	}
	c.lastID++
	answers := make(chan control.Answer, 1)
	c.pending[c.lastID] = answers
	return c.lastID, answers, nil
}

// unregister removes a call; a later answer to it is dropped.
func (c *calls) unregister(call control.CallID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pending, call)
}

// answer passes the Core's answer to the waiting handler. It never blocks.
func (c *calls) answer(answer control.Answer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if answers, isPending := c.pending[answer.Call]; isPending {
		delete(c.pending, answer.Call)
		answers <- answer
	}
}

// do sends the input for a new call to the loop and waits for the answer or the context's end.
func (c *calls) do(ctx context.Context, loop *loop, input func(control.CallID) control.Input) (proto.Message, error) {
	call, answers, err := c.register()
	if err != nil {
		return nil, err
	}
	defer c.unregister(call)
	if err := loop.send(ctx, input(call)); err != nil {
		return nil, err
	}
	select {
	case answer := <-answers:
		return answer.Response, answer.Err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
