package membership

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Gateway is a gateway as described by its last heartbeat.
type Gateway struct {
	Name            string
	Zone            string
	Address         string
	Incarnation     uint64
	Revision        uint64
	Leaving         bool
	LastHeartbeatAt time.Duration
}

// RecordHeartbeat records a gateway's heartbeat. A heartbeat of an older incarnation is ignored.
func (t *Tracker) RecordHeartbeat(now time.Duration, identity *v1.NodeIdentity, revision uint64, leaving bool) {
	name := identity.GetName()
	if name == "" {
		return
	}
	known := t.gateways[name]
	if known != nil && identity.Incarnation < known.Incarnation {
		return
	}
	if known == nil && len(t.gateways) >= MaximumGateways {
		t.removeOldestGateway()
	}
	t.gateways[name] = &Gateway{
		Name: name, Zone: identity.Zone, Address: identity.Address, Incarnation: identity.Incarnation,
		Revision: revision, Leaving: leaving, LastHeartbeatAt: now,
	}
}

func (t *Tracker) removeOldestGateway() {
	var oldest *Gateway
	for _, gateway := range t.Gateways() {
		if oldest == nil || gateway.LastHeartbeatAt < oldest.LastHeartbeatAt {
			oldest = gateway
		}
	}
	delete(t.gateways, oldest.Name)
}

// Gateways returns the known gateways, ordered by name.
func (t *Tracker) Gateways() []*Gateway {
	gateways := make([]*Gateway, 0, len(t.gateways))
	for _, gateway := range t.gateways {
		gateways = append(gateways, gateway)
	}
	slices.SortFunc(gateways, func(a, b *Gateway) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return gateways
}

// IsGatewayGone reports whether the gateway process is gone: a newer incarnation has the same name, or
// no heartbeat arrived for longer than GatewayTimeout. The time without heartbeats starts at the last heartbeat,
// or at the time since if that is later.
func (t *Tracker) IsGatewayGone(now, since time.Duration, name string, incarnation uint64) bool {
	gateway := t.gateways[name]
	if gateway == nil {
		return now-since > t.config.GatewayTimeout
	}
	if gateway.Incarnation > incarnation {
		return true
	}
	return now-max(since, gateway.LastHeartbeatAt) > t.config.GatewayTimeout
}
