package fleet

import (
	"net/netip"

	"github.com/hazelpitch/hazelpitch/internal/zonedelay"
)

// CutDials cuts the process off from a group of addresses, by the connections that it opens, until heal is called. number
// identifies the cut in the commands to the process. The cut ends with the process: it must be repeated after a restart.
func (p *Process) CutDials(number int, group []netip.Prefix, mode zonedelay.CutMode) (heal func() error, err error) {
	err = sendCutCommand([]*Process{p}, cutCommand{Number: number, Group: group, Mode: mode})
	return func() error { return sendCutCommand([]*Process{p}, cutCommand{Number: number}) }, err
}
