package control

import (
	"fmt"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// listLag is how old the outside list is when it is read.
const listLag = 800 * time.Millisecond

// testTurn is the least time between orders of two leaders, testOrderLife that of one order.
const (
	testTurn      = 3 * time.Second
	testOrderLife = 500 * time.Millisecond
)

// siteEngines are listed engines whose roles the list shows late.
type siteEngines struct {
	world   *world
	roles   map[string]v1.Role
	history []listedRoles
	// orders counts the orders that engines took; lose drops the answer of an order.
	orders int
	lose   bool
	// asked counts all orders, fenced refuses them for a higher fence.
	asked  int
	fenced bool
	// held is how long orders are under way beside the link's delay: in a queue, in a socket,
	// or in a process that stands still.
	held time.Duration
	// arrivals are the orders as they reached engines.
	arrivals []arrivedOrder
	// shown takes the place of the list where it is set, in pages of pageSize; readings are those of it.
	shown    []*v1.ListedBackEnd
	pageSize int
	readings []listReading
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

// newSite returns a world of controllers that know only the first three addresses and
// serve a site with engines, the first ones reading prompts.
func newSite(w *world, engines, prefill int) *siteEngines {
	site := &siteEngines{world: w, roles: map[string]v1.Role{}}
	for index := range engines {
		role := v1.Role_ROLE_DECODE
		if index < prefill {
			role = v1.Role_ROLE_PREFILL
		}
		site.roles[fmt.Sprintf("engine-%02d", index)] = role
	}
	site.note()
	w.site = site
	return site
}

func (s *siteEngines) note() {
	copied := map[string]v1.Role{}
	for id, role := range s.roles {
		copied[id] = role
	}
	s.history = append(s.history, listedRoles{at: s.world.now, roles: copied})
}

// list returns the list as it stood listLag ago.
func (s *siteEngines) list() []*v1.ListedBackEnd {
	if s.shown != nil {
		return s.shown
	}
	shown := s.history[0].roles
	for _, noted := range s.history {
		if noted.at <= s.world.now-listLag {
			shown = noted.roles
		}
	}
	var listed []*v1.ListedBackEnd
	for _, id := range sortedKeys(shown) {
		listed = append(listed, &v1.ListedBackEnd{Id: id, Service: "s", Zone: "zone-" + id[len(id)-1:], Slots: 32, Role: shown[id]})
	}
	return listed
}

// listReading is one reading of the list.
type listReading struct {
	at    time.Duration
	calls int
}

// read reads so many pages of the list, or all for 0.
func (s *siteEngines) read(pages int) ListingReceived {
	list := s.list()
	received := ListingReceived{BackEnds: list, Calls: 1, Complete: true}
	if s.pageSize > 0 {
		received.Calls = (len(list) + s.pageSize - 1) / s.pageSize
		if pages > 0 && pages < received.Calls {
			received = ListingReceived{BackEnds: list[:pages*s.pageSize], Calls: pages}
		}
	}
	s.readings = append(s.readings, listReading{at: s.world.now, calls: received.Calls})
	return received
}

// take carries out an order.
func (s *siteEngines) take(order ChangeStage) StageChangeFinished {
	s.asked++
	s.arrivals = append(s.arrivals, arrivedOrder{at: s.world.now, order: order})
	if s.fenced {
		return StageChangeFinished{ID: order.BackEnd.GetId(), Outcome: StageFenced}
	}
	s.roles[order.BackEnd.GetId()] = order.Role
	s.orders++
	s.note()
	if s.lose {
		return StageChangeFinished{ID: order.BackEnd.GetId(), Outcome: StageLost}
	}
	return StageChangeFinished{ID: order.BackEnd.GetId(), Outcome: StageAccepted}
}

// arrive carries out an order that the runtime sends in time, and no other.
func (s *siteEngines) arrive(order ChangeStage) StageChangeFinished {
	if s.world.now > order.NotAfter {
		return StageChangeFinished{ID: order.BackEnd.GetId(), Outcome: StageRefused}
	}
	return s.take(order)
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

// seeded configures a controller that knows the seeds only.
func seeded(config *Config) {
	config.Peers = nil
	config.Seeds = []string{"controller-1", "controller-2", "controller-3"}
	config.Bootstrap = true
	config.FormationSize = 3
	config.ListingInterval = 500 * time.Millisecond
	config.PriorPrefillShare = 0.67
	config.OrderWait = testTurn + testOrderLife
	config.OrderLifetime = testOrderLife
}

// carryOutSite carries out the outputs of a site's controller.
func (w *world) carryOutSite(controller *testController, life int, output Output) {
	switch wanted := output.(type) {
	case OrderReplicas:
		w.replicas.call(controller, life, wanted)
	case ReadListing:
		if w.replicas != nil {
			w.deliver("list", controller, life, ListingReceived{BackEnds: w.replicas.list(), Calls: 1, Complete: true})
			return
		}
		w.deliver("list", controller, life, w.site.read(wanted.Pages))
	case DeliverUsage:
		if w.usage != nil {
			w.usage.call(controller, life, wanted)
		}
	case ChangeStage:
		w.after(w.site.held+linkDelay, func() { w.deliver("engine", controller, life, w.site.arrive(wanted)) })
	}
}
