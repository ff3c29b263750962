package operatorclient

import (
	"context"
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// call sends a request to one controller after another until one answers for good
// or the time is up. A hint at the leader is followed at once.
func call[Request, Response any](ctx context.Context, c *Client, message *Request, method method[Request, Response]) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	failures := &UnreachableError{}
	between := firstPause
	for {
		for queue := c.order(); len(queue) > 0; {
			controller := queue[0]
			queue = queue[1:]
			response, err := once(ctx, c, controller, message, method)
			if err == nil {
				c.prefer(controller)
				return response, nil
			}
			if final := refusal(controller, err); final != nil {
				return nil, final
			}
			if ctx.Err() != nil && len(failures.Attempts) > 0 {
				return nil, failures
			}
			failures.record(controller, err)
			queue = follow(queue, controller, leaderHint(err))
		}
		if !pause.For(ctx, between) {
			return nil, failures
		}
		between = min(2*between, longestPause)
	}
}

// order lists the controllers, the one that answered last first.
func (c *Client) order() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	queue := []string{c.preferred}
	for _, controller := range c.config.Controllers {
		if controller != c.preferred {
			queue = append(queue, controller)
		}
	}
	return queue
}

// prefer remembers the controller that answered.
func (c *Client) prefer(controller string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.preferred = controller
}

// follow puts the leader that a controller named at the front of the queue.
func follow(queue []string, controller, leader string) []string {
	if leader == "" || leader == controller {
		return queue
	}
	if position := slices.Index(queue, leader); position >= 0 {
		queue = slices.Delete(slices.Clone(queue), position, position+1)
		return append([]string{leader}, queue...)
	}
	return queue
}

// record keeps the last failure at each controller.
func (e *UnreachableError) record(controller string, err error) {
	for i := range e.Attempts {
		if e.Attempts[i].Controller == controller {
			e.Attempts[i].Err = err
			return
		}
	}
	e.Attempts = append(e.Attempts, Attempt{Controller: controller, Err: err})
}
