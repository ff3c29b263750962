package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Relays do not get list entries of services that the configuration does not name, and these back ends get no orders.
// Back ends of a service that a new configuration names are published soon after that configuration is in force.
func TestBackEndsOfServicesThatNobodyNamesAreLeftAlone(t *testing.T) {
	w := newTestCluster(t, 3, func(config *Config) {
		withSeeds(config)
		config.NamedServices = func(content []byte) []string { return strings.Fields(string(content)) }
	})
	site := newSite(w, 0, 0)
	list := func(service string, count int) {
		for number := range count {
			id := fmt.Sprintf("%s-%d", service, number)
			site.listOverride = append(site.listOverride, &v1.ListedBackEnd{Id: id, Service: service, Zone: "z", Address: id, Role: v1.Role_ROLE_DECODE, Slots: 32})
		}
	}
	list("nobody's", 6)
	list("s", 6)
	list("t", 1)
	published := func() map[string]int {
		services := map[string]int{}
		for _, entry := range w.waitLeader().core.listing.backEnds {
			services[entry.GetService()]++
		}
		return services
	}
	require.NoError(t, w.putDocument(w.waitLeader(), 1, "s").Err)
	w.run(20 * time.Second)
	require.Equal(t, map[string]int{"s": 6}, published())
	require.NotZero(t, len(site.arrivals))
	for _, arrived := range site.arrivals {
		require.Equal(t, "s", arrived.order.BackEnd.GetService())
	}
	require.NoError(t, w.putDocument(w.waitLeader(), 2, "s t").Err)
	w.run(time.Second)
	require.Equal(t, map[string]int{"s": 6, "t": 1}, published())
	require.NoError(t, w.putDocument(w.waitLeader(), 3, "").Err)
	w.run(time.Second)
	require.Equal(t, map[string]int{"nobody's": 6, "s": 6, "t": 1}, published(), "a document that names no services does not filter the list")
}
