package operatorclient

import (
	"context"
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// call sends a request to one controller after another until one gives a final answer or the timeout passes. When a
// controller names the leader and the leader has not been tried in this round, it is tried next.
func call[Request, Response any](ctx context.Context, c *Client, message *Request, method serviceMethod[Request, Response]) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	failures := &UnreachableError{}
	interval := initialRetryInterval
	for {
		for queue := c.preferenceOrder(); len(queue) > 0; {
			controller := queue[0]
			queue = queue[1:]
			response, err := callOnce(ctx, c, controller, message, method)
			if err == nil {
				c.setPreferred(controller)
				return response, nil
			}
			if refused := asRefusal(controller, err); refused != nil {
				return nil, refused
			}
			if ctx.Err() != nil && len(failures.Attempts) > 0 {
				return nil, failures
			}
			failures.record(controller, err)
			queue = moveLeaderFirst(queue, controller, leaderHint(err))
		}
		if !pause.For(ctx, interval) {
			return nil, failures
		}
		interval = min(2*interval, maximumRetryInterval)
	}
}

// preferenceOrder lists the controllers, beginning with the one that answered last.
func (c *Client) preferenceOrder() []string {
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

// setPreferred records the controller that answered.
func (c *Client) setPreferred(controller string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.preferred = controller
}

// moveLeaderFirst moves the leader that a controller named to the front of the queue, if the queue contains the leader.
func moveLeaderFirst(queue []string, controller, leader string) []string {
	if leader == "" || leader == controller {
		return queue
	}
	if position := slices.Index(queue, leader); position >= 0 {
		queue = slices.Delete(slices.Clone(queue), position, position+1)
		return append([]string{leader}, queue...)
	}
	return queue
}

// record stores the last failure at a controller.
func (e *UnreachableError) record(controller string, err error) {
	for i := range e.Attempts {
		if e.Attempts[i].Controller == controller {
			e.Attempts[i].Err = err
			return
		}
	}
	e.Attempts = append(e.Attempts, Attempt{Controller: controller, Err: err})
}
