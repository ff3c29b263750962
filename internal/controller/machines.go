package controller

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/logring"
)

// maxMachineListBytes limits the size of the machine list.
const maxMachineListBytes = 8 << 20

// machineReader reads the platform's machine list at a fixed interval.
type machineReader struct {
	client   *fasthttp.Client
	address  string
	interval time.Duration
	deliver  func(context.Context, control.Input) error
	log      *logring.Log
}

// run reads the list until the context ends. A failed read delivers nothing: the Core
// knows the age of its last list.
func (m *machineReader) run(ctx context.Context) {
	ticker := time.NewTicker(m.interval)
	defer ticker.Stop()
	failing := false
	for {
		list := enginecontract.MachineList{}
		err := get(m.client, m.address, enginecontract.PathMachines, &list)
		if err == nil {
			err = m.deliver(ctx, control.MachineListReceived{List: list})
		}
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			m.log.Info().Bool("failing", failed).Err(err).Msg("reading the machine list started or stopped failing")
			failing = failed
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
