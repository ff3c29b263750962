package silence

import (
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// CutMode is what a cut does to the connections between two groups of addresses.
type CutMode string

// Modes of cuts.
const (
	// CutSilent drops all packets between the groups.
	CutSilent CutMode = "silent"
	// CutOneWay drops the packets that the group would get from the others; the others get all that the group sends.
	CutOneWay CutMode = "one-way"
	// CutReset resets the open connections when the cut begins, and drops all packets from then on.
	CutReset CutMode = "reset"
	// CutResets resets the connections again and again, and drops nothing: new ones live for cutRefreshInterval at most.
	CutResets CutMode = "resets"
	// CutSevered makes the connections that are open when the cut begins carry nothing any more, also after its end. New ones
	// work.
	CutSevered CutMode = "severed"
)

// CutModes are all modes.
var CutModes = []CutMode{CutSilent, CutOneWay, CutReset, CutResets, CutSevered}

// cutRefreshInterval is the interval at which a cut is applied to sockets that were opened meanwhile.
const cutRefreshInterval = 20 * time.Millisecond

// Cut is a cut between two groups of addresses. An address in both groups is cut off from all others.
type Cut struct {
	Mode   CutMode      `json:"mode"`
	Group  []netip.Addr `json:"group"`
	Others []netip.Addr `json:"others"`
}

// BeginCut begins a cut, which lasts until the returned function is called. Each process with an address of either group must
// begin it.
func (n *Network) BeginCut(cut Cut) (end func() error, err error) {
	var unblocks []func() error
	apply := func(begin func(receivers, senders []netip.Addr) (func() error, error), receivers, senders []netip.Addr) error {
		end, err := begin(receivers, senders)
		unblocks = append(unblocks, end)
		return err
	}
	switch cut.Mode {
	case CutSilent, CutReset:
		err = trace.NewAggregate(apply(n.Block, cut.Group, cut.Others), apply(n.Block, cut.Others, cut.Group))
	case CutOneWay:
		err = trace.NewAggregate(apply(n.Block, cut.Group, cut.Others), apply(n.Refuse, cut.Others, cut.Group))
	case CutSevered:
		err = n.Sever(cut.Group, cut.Others)
	case CutResets:
	default:
		return nil, trace.BadParameter("a cut has no mode %q", cut.Mode)
	}
	if cut.Mode == CutReset {
		err = trace.NewAggregate(err, n.resetBetween(cut))
	}
	stop := make(chan struct{})
	var refreshing sync.WaitGroup
	refreshing.Go(func() { n.keepApplied(cut, stop) })
	var once sync.Once
	return func() error {
		once.Do(func() { close(stop) })
		refreshing.Wait()
		var problems []error
		for _, unblock := range unblocks {
			problems = append(problems, unblock())
		}
		return trace.NewAggregate(problems...)
	}, err
}

// keepApplied applies a cut to sockets that are opened meanwhile, until stop is closed.
func (n *Network) keepApplied(cut Cut, stop <-chan struct{}) {
	ticker := time.NewTicker(cutRefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			// A socket may be closed meanwhile; others are tried again at the next tick.
			if cut.Mode == CutResets {
				_ = n.resetBetween(cut)
			} else {
				_ = n.Refresh()
			}
		}
	}
}

// resetBetween resets the connections of this process between the two groups of a cut.
func (n *Network) resetBetween(cut Cut) error {
	return trace.NewAggregate(n.Reset(cut.Group, cut.Others), n.Reset(cut.Others, cut.Group))
}
