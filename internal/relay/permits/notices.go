package permits

import (
	"context"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// Run tells other relays of the limits whose counts are this relay's until the context ends: at once what has changed,
// and all of it again and again, since datagrams are lost and relays come.
func (p *Permits) Run(ctx context.Context) {
	ticker := time.NewTicker(noticeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.changed:
		}
		p.tell(ctx)
	}
}

// tell tells all relays once, so many at a time.
func (p *Permits) tell(ctx context.Context) {
	limits := fleetlimit.LimitsToWire(p.Limits())
	if len(limits) == 0 {
		return
	}
	for receivers := range slices.Chunk(p.receivers(), noticePace) {
		for _, receiver := range receivers {
			for told := range slices.Chunk(limits, noticeLimits) {
				p.config.Socket.Send(receiver, &v1.RelayDatagram{Content: &v1.RelayDatagram_LimitNotice{LimitNotice: &v1.LimitNotice{Limits: told}}})
			}
		}
		if len(receivers) == noticePace && !pause.For(ctx, noticePause) {
			return
		}
	}
}

// receivers are the other relays that are listed, and those that have asked this one lately.
func (p *Permits) receivers() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.config.Now()
	receivers := make([]string, 0, len(p.relays)+len(p.askers))
	for asker, at := range p.askers {
		if now-at >= askerMemory {
			delete(p.askers, asker)
		} else if !slices.Contains(p.relays, asker) {
			receivers = append(receivers, asker)
		}
	}
	for _, relay := range p.relays {
		if relay != p.config.Socket.Address {
			receivers = append(receivers, relay)
		}
	}
	return receivers
}
