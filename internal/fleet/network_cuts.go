package fleet

import "github.com/hazelpitch/hazelpitch/internal/standin/silence"

// CutNetwork begins a cut at the process's sockets, which lasts until end is called. number identifies the cut in the commands
// to the process. The cut ends with the process: it must be repeated after a restart.
func (p *Process) CutNetwork(number int, cut silence.Cut) (end func() error, err error) {
	err = sendCutCommand([]*Process{p}, cutCommand{Number: number, Network: &cut})
	return func() error { return sendCutCommand([]*Process{p}, cutCommand{Number: number}) }, err
}
