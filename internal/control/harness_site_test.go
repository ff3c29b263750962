package control

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// listLag is the age of the external list when it is read.
const listLag = 800 * time.Millisecond

// minimumOrderGap is the minimum time between orders of two leaders; testOrderLifetime is the lifetime of one order.
const (
	minimumOrderGap   = 3 * time.Second
	testOrderLifetime = 500 * time.Millisecond
)

// siteEngines are listed engines whose role changes appear in the list with a delay.
type siteEngines struct {
	cluster *testCluster
	roles   map[string]v1.Role
	history []listedRoles
	// orders counts the orders that engines accepted; lose drops the answers to orders.
	orders int
	lose   bool
	// ordersReceived counts all orders; fenced refuses them because of a higher fence.
	ordersReceived int
	fenced         bool
	// transitDelay is how long orders are delayed in addition to the link's delay: in a queue, in a
	// socket or in a suspended process.
	transitDelay time.Duration
	// arrivals are the orders that reached engines.
	arrivals []arrivedOrder
	// listOverride replaces the list if it is set, in pages of pageSize; reads are the reads of the list.
	listOverride []*v1.ListedBackEnd
	// zones is the number of zones over which the engines are spread; 0 means ten.
	zones    int
	pageSize int
	reads    []listRead
}

// arrivedOrder is an order that reached an engine.
type arrivedOrder struct {
	at    time.Duration
	order ChangeStage
}

type listedRoles struct {
	at    time.Duration
	roles map[string]v1.Role
}

// newSite returns engines for a cluster of controllers that know only the first three addresses. The
// first engines do prefill.
func newSite(w *testCluster, engines, prefill int) *siteEngines {
	site := &siteEngines{cluster: w, roles: map[string]v1.Role{}}
	for index := range engines {
		role := v1.Role_ROLE_DECODE
		if index < prefill {
			role = v1.Role_ROLE_PREFILL
		}
		site.roles[fmt.Sprintf("engine-%02d", index)] = role
	}
	site.recordRoles()
	w.site = site
	return site
}

func (s *siteEngines) recordRoles() {
	copied := map[string]v1.Role{}
	for id, role := range s.roles {
		copied[id] = role
	}
	s.history = append(s.history, listedRoles{at: s.cluster.now, roles: copied})
}

// list returns the list as it stood listLag ago.
func (s *siteEngines) list() []*v1.ListedBackEnd {
	if s.listOverride != nil {
		return s.listOverride
	}
	shown := s.history[0].roles
	for _, entry := range s.history {
		if entry.at <= s.cluster.now-listLag {
			shown = entry.roles
		}
	}
	var listed []*v1.ListedBackEnd
	zones := cmp.Or(s.zones, 10)
	for _, id := range sortedKeys(shown) {
		number, err := strconv.Atoi(strings.TrimPrefix(id, "engine-"))
		require.NoError(s.cluster.t, err)
		listed = append(listed, &v1.ListedBackEnd{Id: id, Service: "s", Zone: fmt.Sprint("zone-", number%zones), Slots: 32, Role: shown[id]})
	}
	return listed
}

// listRead is one read of the list.
type listRead struct {
	at    time.Duration
	calls int
}

// read reads a number of pages of the list; 0 means all.
func (s *siteEngines) read(pages int) ListingReceived {
	list := s.list()
	received := ListingReceived{BackEnds: list, Calls: 1, Complete: true}
	if s.pageSize > 0 {
		received.Calls = (len(list) + s.pageSize - 1) / s.pageSize
		if pages > 0 && pages < received.Calls {
			received = ListingReceived{BackEnds: list[:pages*s.pageSize], Calls: pages}
		}
	}
	s.reads = append(s.reads, listRead{at: s.cluster.now, calls: received.Calls})
	return received
}

// apply applies an order to its engine.
func (s *siteEngines) apply(order ChangeStage) StageChangeFinished {
	s.ordersReceived++
	s.arrivals = append(s.arrivals, arrivedOrder{at: s.cluster.now, order: order})
	if s.fenced {
		return StageChangeFinished{ID: order.BackEnd.GetId(), Outcome: StageFenced}
	}
	s.roles[order.BackEnd.GetId()] = order.Role
	s.orders++
	s.recordRoles()
	if s.lose {
		return StageChangeFinished{ID: order.BackEnd.GetId(), Outcome: StageLost}
	}
	return StageChangeFinished{ID: order.BackEnd.GetId(), Outcome: StageAccepted}
}

// receive applies an order that arrives in time, and refuses it otherwise.
func (s *siteEngines) receive(order ChangeStage) StageChangeFinished {
	if s.cluster.now > order.NotAfter {
		return StageChangeFinished{ID: order.BackEnd.GetId(), Outcome: StageRefused}
	}
	return s.apply(order)
}

func (s *siteEngines) prefill() int {
	count := 0
	for _, role := range s.roles {
		if role == v1.Role_ROLE_PREFILL {
			count++
		}
	}
	return count
}

// withSeeds configures a controller that knows only the seeds.
func withSeeds(config *Config) {
	config.Peers = nil
	config.Seeds = []string{"controller-1", "controller-2", "controller-3"}
	config.Bootstrap = true
	config.FormationSize = 3
	config.ListingInterval = 500 * time.Millisecond
	config.PriorPrefillShare = 0.67
	config.OrderWait = minimumOrderGap + testOrderLifetime
	config.OrderLifetime = testOrderLifetime
}

// handleSiteOutput carries out the outputs of a site's controller.
func (w *testCluster) handleSiteOutput(controller *testController, incarnation int, output Output) {
	switch wanted := output.(type) {
	case OrderReplicas:
		w.replicas.call(controller, incarnation, wanted)
	case ReadListing:
		if w.replicas != nil {
			w.deliver("list", controller, incarnation, ListingReceived{BackEnds: w.replicas.list(), Calls: 1, Complete: true})
			return
		}
		w.deliver("list", controller, incarnation, w.site.read(wanted.Pages))
	case DeliverUsage:
		if w.usage != nil {
			w.usage.call(controller, incarnation, wanted)
		}
	case ChangeStage:
		w.after(w.site.transitDelay+linkDelay, func() { w.deliver("engine", controller, incarnation, w.site.receive(wanted)) })
	}
}
