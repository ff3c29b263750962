package benchcommand

import (
	"context"
	"io"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
)

// startFleet starts the fleet of a deployment for one run and waits until its gateways are ready. The
// run's files go to the directory, or to a temporary one if it is empty. stop stops the fleet and removes
// a temporary directory.
func startFleet(ctx context.Context, deployment, directory string, progress io.Writer) (started *fleet.Fleet, stop func(), err error) {
	directory, remove, err := prepareDirectory(directory)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	started, err = fleet.Start(fleet.Options{Deployment: deployment, Directory: directory, Serve: serveArguments})
	if err != nil {
		remove()
		return nil, nil, trace.Wrap(err)
	}
	stop = func() {
		started.Close()
		remove()
	}
	if err := boot(ctx, started, true, progress); err != nil {
		stop()
		return nil, nil, trace.Wrap(err)
	}
	return started, stop, nil
}
