package scale

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

// reading is all counters at one time.
type reading struct {
	at          time.Time
	controllers []scrape
	processor   []time.Duration // of controllers
	engines     time.Duration
	own         time.Duration
	nodes       []nodeReading
}

type nodeReading struct{ received, sent, dials int64 }

func (f *Fleet) read(ctx context.Context) (*reading, error) {
	taken := &reading{
		controllers: make([]scrape, len(f.controllers)), processor: make([]time.Duration, len(f.controllers)),
		nodes: make([]nodeReading, len(f.Nodes)),
	}
	var group errgroup.Group
	for controller, member := range f.controllers {
		group.Go(func() error {
			var err error
			if taken.controllers[controller], err = f.scrapeController(ctx, controller); err != nil {
				return trace.Wrap(err)
			}
			if pid := member.pid(); pid != 0 {
				taken.processor[controller], err = processorTime(pid)
			}
			return trace.Wrap(err)
		})
	}
	if err := group.Wait(); err != nil {
		return nil, trace.Wrap(err)
	}
	if pid := f.engines.pid(); pid != 0 {
		var err error
		if taken.engines, err = processorTime(pid); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	for number, node := range f.Nodes {
		taken.nodes[number] = nodeReading{node.received.Load(), node.sent.Load(), node.dials.Load()}
	}
	taken.own, taken.at = ownProcessorTime(), time.Now()
	return taken, nil
}
