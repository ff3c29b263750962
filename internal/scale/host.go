package scale

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
)

// host runs one member: as a process of its own, or inside this one.
type host interface {
	// start starts the member; it does nothing while the member runs.
	start(spec Spec) error
	// send gives a command and returns once it took effect.
	send(command Command) error
	// kill ends the member at once, as far as the host can; stop lets it end in order.
	kill()
	stop()
	// pid is the member's process; 0 when it has none of its own.
	pid() int
}

// insideHost runs a member as goroutines of this process. Its kill is a stop.
type insideHost struct {
	mutex    sync.Mutex
	cancel   context.CancelFunc
	commands chan Command
	answers  chan error
	ended    chan error
}

func (h *insideHost) start(spec Spec) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.cancel != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.commands, h.answers, h.ended = cancel, make(chan Command), make(chan error), make(chan error, 1)
	go func(commands chan Command, answers, ended chan error) {
		ended <- RunMember(ctx, spec, commands, answers)
	}(h.commands, h.answers, h.ended)
	return nil
}

func (h *insideHost) send(command Command) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.cancel == nil {
		return nil
	}
	select {
	case h.commands <- command:
		return <-h.answers
	case err := <-h.ended:
		h.ended <- err
		return trace.Errorf("the member has ended: %v", err)
	}
}

func (h *insideHost) stop() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.cancel == nil {
		return
	}
	h.cancel()
	<-h.ended
	h.cancel = nil
}

func (h *insideHost) kill()    { h.stop() }
func (h *insideHost) pid() int { return 0 }
