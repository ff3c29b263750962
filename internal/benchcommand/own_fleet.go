package benchcommand

import (
	"context"
	"io"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
)

// ownFleet starts the fleet of a deployment for one run and waits until it serves. The
// run's files go to the directory, or to a temporary one when that is empty; end stops
// the fleet and removes the temporary one.
func ownFleet(ctx context.Context, deployment, directory string, progress io.Writer) (started *fleet.Fleet, end func(), err error) {
	directory, remove, err := runDirectory(directory)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	started, err = fleet.Start(fleet.Options{Deployment: deployment, Directory: directory, Serve: serveArguments})
	if err != nil {
		remove()
		return nil, nil, trace.Wrap(err)
	}
	end = func() {
		started.Close()
		remove()
	}
	if err := boot(ctx, started, true, progress); err != nil {
		end()
		return nil, nil, trace.Wrap(err)
	}
	return started, end, nil
}
