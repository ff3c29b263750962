package permits

import (
	"context"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// Run announces the limits that this relay owns to other relays until the context ends. It sends changes at once, and
// repeats all limits every noticeInterval because datagrams may be lost and new relays may have started.
func (p *Permits) Run(ctx context.Context) {
	ticker := time.NewTicker(noticeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.limitsChanged:
		}
		p.sendNotices(ctx)
	}
}

// sendNotices sends one round of notices to all relays, in batches with a pause after each full batch.
func (p *Permits) sendNotices(ctx context.Context) {
	limits := fleetlimit.LimitsToWire(p.Limits())
	if len(limits) == 0 {
		return
	}
	for receivers := range slices.Chunk(p.receivers(), noticeBatchRelays) {
		for _, receiver := range receivers {
			for batch := range slices.Chunk(limits, limitsPerNotice) {
				p.config.Socket.Send(receiver, &v1.RelayDatagram{Content: &v1.RelayDatagram_LimitNotice{LimitNotice: &v1.LimitNotice{Limits: batch}}})
			}
		}
		if len(receivers) == noticeBatchRelays && !pause.For(ctx, noticeBatchPause) {
			return
		}
	}
}

// receivers returns the addresses of the other listed relays and of unlisted relays that requested permits recently.
func (p *Permits) receivers() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.config.Now()
	receivers := make([]string, 0, len(p.relays)+len(p.requesters))
	for requester, at := range p.requesters {
		if now-at >= requesterRetention {
			delete(p.requesters, requester)
		} else if !slices.Contains(p.relays, requester) {
			receivers = append(receivers, requester)
		}
	}
	for _, relay := range p.relays {
		if relay != p.config.Socket.Address {
			receivers = append(receivers, relay)
		}
	}
	return receivers
}
