package zonedelay

import (
	"context"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"

	"github.com/gravitational/trace"
)

// CutMode is what a cut does to outgoing connections.
type CutMode string

// Modes of cuts.
const (
	// CutHang makes connections hang: new ones are not established, open ones carry nothing in either direction.
	CutHang CutMode = "hang"
	// CutReset resets open connections and refuses new ones.
	CutReset CutMode = "reset"
	// CutRefuseNew refuses new connections; open ones live on.
	CutRefuseNew CutMode = "refuse-new"
)

// DialCuts cuts one process off from groups of addresses, by its outgoing connections. Connections that others open to the
// process are not affected. It is safe for concurrent use.
type DialCuts struct {
	mutex sync.Mutex
	cuts  []*dialCut
	// connections holds the open connections with their remote addresses.
	connections map[*cuttableConn]netip.Addr
	// changed is closed and replaced whenever a cut begins or ends.
	changed chan struct{}
}

// dialCut is one cut.
type dialCut struct {
	group []netip.Prefix
	mode  CutMode
}

func (c *dialCut) contains(address netip.Addr) bool {
	return slices.ContainsFunc(c.group, func(prefix netip.Prefix) bool { return prefix.Contains(address) })
}

// NewDialCuts returns DialCuts without cuts.
func NewDialCuts() *DialCuts {
	return &DialCuts{connections: map[*cuttableConn]netip.Addr{}, changed: make(chan struct{})}
}

// Begin cuts the process off from a group of addresses until end is called; further calls of end do nothing. Where cuts
// overlap, the first one applies.
func (d *DialCuts) Begin(group []netip.Prefix, mode CutMode) (end func(), err error) {
	if mode != CutHang && mode != CutReset && mode != CutRefuseNew {
		return nil, trace.BadParameter("there is no cut of mode %q", mode)
	}
	added := &dialCut{group: group, mode: mode}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.cuts = append(d.cuts, added)
	d.applyChange()
	return func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.cuts = slices.DeleteFunc(d.cuts, func(existing *dialCut) bool { return existing == added })
		d.applyChange()
	}, nil
}

// applyChange applies the cuts to the open connections and wakes those who wait to dial. The caller holds the mutex.
func (d *DialCuts) applyChange() {
	for connection, address := range d.connections {
		connection.apply(d.modeFor(address))
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// modeFor returns the mode of the cut that applies to an address; empty for none. The caller holds the mutex.
func (d *DialCuts) modeFor(address netip.Addr) CutMode {
	for _, cut := range d.cuts {
		if cut.contains(address) {
			return cut.mode
		}
	}
	return ""
}

// WrapDial returns a DialFunc whose connections to the port are subject to the cuts. Other connections are returned
// unchanged.
func (d *DialCuts) WrapDial(dial DialFunc, port uint16) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil || to.Port() != port {
			return dial(ctx, network, address)
		}
		if err := d.waitToDial(ctx, network, to); err != nil {
			return nil, err
		}
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return d.add(opened, to.Addr()), nil
	}
}

// waitToDial blocks while connections to an address hang. It returns an error if they are refused, or if the context ends.
func (d *DialCuts) waitToDial(ctx context.Context, network string, to netip.AddrPort) error {
	failed := func(cause error) error {
		return &net.OpError{Op: "dial", Net: network, Addr: net.TCPAddrFromAddrPort(to), Err: cause}
	}
	for {
		d.mutex.Lock()
		mode, changed := d.modeFor(to.Addr()), d.changed
		d.mutex.Unlock()
		switch mode {
		case CutReset, CutRefuseNew:
			return failed(os.NewSyscallError("connect", syscall.ECONNREFUSED))
		case CutHang:
		default:
			return nil
		}
		select {
		case <-ctx.Done():
			return failed(ctx.Err())
		case <-changed:
		}
	}
}

// add returns the connection as one that is subject to the cuts.
func (d *DialCuts) add(opened net.Conn, address netip.Addr) net.Conn {
	cuttable := &cuttableConn{Conn: opened, forget: d.remove}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.connections[cuttable] = address
	cuttable.apply(d.modeFor(address)) // of a cut that began meanwhile
	return cuttable
}

func (d *DialCuts) remove(closed *cuttableConn) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.connections, closed)
}
