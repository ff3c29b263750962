package controller

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hazelpitch/hazelpitch/internal/control"
)

// pendingCallLimit bounds the calls that wait for the Core's answer.
const pendingCallLimit = 4096

// calls matches the Core's answers with the handlers that wait for them. It is
// safe for concurrent use.
type calls struct {
	mutex   sync.Mutex
	last    control.CallID
	waiting map[control.CallID]chan control.Answer
}

func newCalls() *calls {
	return &calls{waiting: make(map[control.CallID]chan control.Answer)}
}

// begin registers a call. The returned channel gets at most one answer.
func (c *calls) begin() (control.CallID, <-chan control.Answer, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.waiting) >= pendingCallLimit {
		// Not ResourceExhausted, which says that the replicated state has no room.
		return 0, nil, connect.NewError(connect.CodeUnavailable,
			trace.LimitExceeded("%d calls are waiting for this controller; try again later", pendingCallLimit))
	}
	c.last++
	answers := make(chan control.Answer, 1)
	c.waiting[c.last] = answers
	return c.last, answers, nil
}

// end forgets a call; a later answer to it is dropped.
func (c *calls) end(call control.CallID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, call)
}

// answer hands the Core's answer to the waiting handler. It never blocks.
func (c *calls) answer(answer control.Answer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if answers, waits := c.waiting[answer.Call]; waits {
		delete(c.waiting, answer.Call)
		answers <- answer
	}
}

// do sends the input made for a new call to the loop and waits for the answer.
func (c *calls) do(ctx context.Context, loop *loop, input func(control.CallID) control.Input) (proto.Message, error) {
	call, answers, err := c.begin()
	if err != nil {
		return nil, err
	}
	defer c.end(call)
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
