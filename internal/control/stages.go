package control

import (
	"math"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/cell"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/stageplan"
)

// ChangeStage orders a listed engine into a role; StageOrdered follows, or the loss of it.
type ChangeStage struct {
	BackEnd *v1.ListedBackEnd
	Role    v1.Role
	// Holder and Fence say who orders: fences of later leaders are higher.
	Holder string
	Fence  uint64
	// NotAfter is the time of Step after which the order must not reach the engine any more:
	// engines may take any fence, and a successor may order by then.
	NotAfter time.Duration
}

// StageChangeFinished is what became of ChangeStage.
type StageChangeFinished struct {
	ID      string
	Outcome StageOutcome
}

// StageOutcome is what is known of an order to a listed engine.
type StageOutcome int

// Outcomes of orders.
const (
	// StageLost orders may be carried out now, later or never.
	StageLost StageOutcome = iota
	// StageAccepted orders are being carried out, or the engine holds the role already.
	StageAccepted
	// StageRefused orders were not sent or not taken and never will be.
	StageRefused
	// StageFenced orders were refused since the engine has seen a later leader's fence.
	StageFenced
)

func (ChangeStage) isOutput()        {}
func (StageChangeFinished) isInput() {}

const (
	// stageInterval is the time between two looks at the engines' stages.
	stageInterval = 500 * time.Millisecond
	// stageOrderTimeout is how long an order may take to show in the list before the engine
	// may be ordered again.
	stageOrderTimeout = 8 * time.Second
	// stageRefusedDelay is the wait after an order that was not taken.
	stageRefusedDelay = 2 * time.Second
	// stageChangeInterval is the time between two changes under load.
	stageChangeInterval = 3 * time.Second
	// freshEngineWindow is how long after an engine was first listed it counts as one that keeps nothing yet.
	freshEngineWindow = 2 * time.Second
	// never is later than any time.
	never = time.Duration(math.MaxInt64)
	// workReportTTL is how long a relay's report of its work counts.
	workReportTTL = 4 * time.Second
)

// stageOrder is an order that does not show in the list yet.
type stageOrder struct {
	role  v1.Role
	until time.Duration
	// refused orders only keep the engine from being ordered again at once.
	refused bool
}

// relayWork is what one relay reported last, by service.
type relayWork struct {
	receivedAt time.Duration
	demands    []*v1.RoleDemand
}

// stages is the leader's view of the roles of listed engines.
type stages struct {
	// firstListedAt is when each engine was listed first, as far as this leader saw it; those of its first
	// list have served before.
	firstListedAt map[string]time.Duration
	plans         map[string]*stageplan.Plan
	orders        map[string]stageOrder
	work          map[string]relayWork
	dueAt         time.Duration
}

func newStages() stages {
	return stages{plans: map[string]*stageplan.Plan{}, orders: map[string]stageOrder{}, work: map[string]relayWork{}}
}

// recordWork takes a relay's report of its work.
func (c *Core) recordWork(request *v1.WatchRequest) {
	if len(request.GetDemands()) > 0 {
		c.stages.work[request.GetNode().GetName()] = relayWork{receivedAt: c.now, demands: request.GetDemands()}
	}
}

// tickStages orders engines into the roles that the plan wants. A new leader first lets
// the time of its predecessor's orders pass.
func (c *Core) tickStages() {
	if c.config.PriorPrefillShare <= 0 || c.listing.version == 0 || c.now-c.leadingSince < c.config.OrderWait {
		return
	}
	if !due(c.now, &c.stages.dueAt, stageInterval) {
		return
	}
	c.dropStageOrders()
	c.recordFirstListed()
	outgoing := c.outgoingServices()
	engines, members := map[string][]stageplan.Engine{}, map[string][]cell.Member{}
	for _, backEnd := range c.listing.published {
		order, ordered := c.stages.orders[backEnd.GetId()]
		role := backEnd.GetRole()
		if ordered && !order.refused {
			role = order.role // the list shows it later
		}
		if !backEnd.GetSpot() && outgoing[backEnd.GetService()] {
			continue // it leaves as soon as those are there that take its place
		}
		if stage, is := stageOf(role); is && !backEnd.GetLeaving() {
			engines[backEnd.GetService()] = append(engines[backEnd.GetService()], stageplan.Engine{
				ID: backEnd.GetId(), Group: backEnd.GetZone(), Stage: stage, Busy: ordered,
				JustStarted: c.now-c.stages.firstListedAt[backEnd.GetId()] < freshEngineWindow,
			})
			members[backEnd.GetService()] = append(members[backEnd.GetService()], memberOf(backEnd))
		}
	}
	for _, service := range sortedKeys(engines) {
		if c.config.Without.IsEnabled(mechanism.StageGroups) {
			groupByCell(service, engines[service], members[service])
		}
		c.planStages(service, engines[service])
	}
}

// recordFirstListed remembers when engines were listed first.
func (c *Core) recordFirstListed() {
	first := c.stages.firstListedAt == nil
	seenAt := make(map[string]time.Duration, len(c.listing.published))
	for _, backEnd := range c.listing.published {
		at, seen := c.stages.firstListedAt[backEnd.GetId()]
		switch {
		case !seen && first:
			at = -freshEngineWindow
		case !seen:
			at = c.now
		}
		seenAt[backEnd.GetId()] = at
	}
	c.stages.firstListedAt = seenAt
}

// memberOf is an engine as relays divide engines into cells.
func memberOf(backEnd *v1.ListedBackEnd) cell.Member {
	return cell.Member{Hash: cell.HashEngine(serving.BackEndFromProto(backEnd).ExpectedID()), Zone: backEnd.GetZone()}
}

// groupByCell adds the engines' cells to their zones: an owner that decides on one cell needs
// engines of both stages there.
func groupByCell(service string, engines []stageplan.Engine, members []cell.Member) {
	division := cell.Divide(service, members)
	for index, member := range members {
		if number, known := division.CellOf(member.Hash); known {
			engines[index].Group = member.Zone + "/" + strconv.Itoa(number)
		}
	}
}

func (c *Core) planStages(service string, engines []stageplan.Engine) {
	work := c.serviceWork(service).Work
	if !work.Known && c.listing.partial() {
		return // engines that nobody knows yet are brought in where one stage turns out to be short
	}
	plan := c.stages.plans[service]
	if plan == nil {
		plan = stageplan.New(stageplan.Config{PriorPrefillShare: c.config.PriorPrefillShare, MinChangeInterval: stageChangeInterval, Without: c.config.Without})
		c.stages.plans[service] = plan
	}
	for _, change := range plan.Next(c.now, engines, work) {
		c.orderStage(change)
	}
}

// reportedWork is how many back ends of a service the work that relays report would keep busy.
type reportedWork struct {
	stageplan.Work
	// unstaged is the same for requests that are answered unstaged.
	unstaged float64
}

// busy is how many back ends the work would keep busy.
func (w reportedWork) busy() float64 { return w.Prefill + w.Decode + w.unstaged }

// serviceWork sums what relays reported of a service lately.
func (c *Core) serviceWork(service string) reportedWork {
	work := reportedWork{}
	for _, name := range sortedKeys(c.stages.work) {
		reported := c.stages.work[name]
		if c.now-reported.receivedAt > workReportTTL {
			delete(c.stages.work, name)
			continue
		}
		for _, demand := range reported.demands {
			if demand.GetService() != service || demand.GetWindowMs() == 0 {
				continue
			}
			work.Known = true
			work.Prefill += float64(demand.GetPrefillMs()) / float64(demand.GetWindowMs())
			work.Decode += float64(demand.GetDecodeMs()) / float64(demand.GetWindowMs())
			work.unstaged += float64(demand.GetWholeMs()) / float64(demand.GetWindowMs())
		}
	}
	return work
}

// orderStage orders one engine, and keeps relays from sending it work meanwhile.
func (c *Core) orderStage(change stageplan.Change) {
	role := v1.Role_ROLE_DECODE
	if change.Stage == stageplan.StagePrefill {
		role = v1.Role_ROLE_PREFILL
	}
	for _, backEnd := range c.listing.published {
		if backEnd.GetId() != change.Engine {
			continue
		}
		c.stages.orders[change.Engine] = stageOrder{role: role, until: c.now + stageOrderTimeout}
		c.emit(ChangeStage{
			BackEnd: backEnd, Role: role, Holder: c.config.Name, Fence: c.leadingTerm, NotAfter: c.now + c.config.OrderLifetime,
		})
	}
	c.refreshListing()
}

// handleStageChangeFinished takes the outcome of an order. One that was refused gives the engine
// back to the relays and lets it be ordered again after a pause; one that was lost counts
// as taken until the list shows what became of it.
func (c *Core) handleStageChangeFinished(received StageChangeFinished) {
	order, ordered := c.stages.orders[received.ID]
	if !ordered {
		return
	}
	switch received.Outcome {
	case StageRefused:
		order.refused, order.until = true, c.now+stageRefusedDelay
	case StageFenced:
		order.refused, order.until = true, never // this leader's fence will not rise
	default:
		return
	}
	c.stages.orders[received.ID] = order
	c.refreshListing()
}

// dropStageOrders forgets orders that show in the list or have taken too long.
func (c *Core) dropStageOrders() {
	if len(c.stages.orders) == 0 {
		return
	}
	listed := map[string]v1.Role{}
	for _, backEnd := range c.listing.published {
		listed[backEnd.GetId()] = backEnd.GetRole()
	}
	for id, order := range c.stages.orders {
		role, is := listed[id]
		if !is || role == order.role && !order.refused || c.now >= order.until {
			delete(c.stages.orders, id)
		}
	}
	c.refreshListing()
}

// markChangingRoles returns the back ends with those markChangingRoles whose role is being changed.
func (c *Core) markChangingRoles(backEnds []*v1.ListedBackEnd) []*v1.ListedBackEnd {
	if len(c.stages.orders) == 0 {
		return backEnds
	}
	marked := make([]*v1.ListedBackEnd, len(backEnds))
	for index, backEnd := range backEnds {
		marked[index] = backEnd
		order, ordered := c.stages.orders[backEnd.GetId()]
		if !ordered || order.refused || order.role == backEnd.GetRole() {
			continue
		}
		changing := proto.CloneOf(backEnd)
		changing.Changing = true
		marked[index] = changing
	}
	return marked
}

// stageOf translates a role; it reports false for back ends that are no engines.
func stageOf(role v1.Role) (stageplan.Stage, bool) {
	switch role {
	case v1.Role_ROLE_PREFILL:
		return stageplan.StagePrefill, true
	case v1.Role_ROLE_DECODE:
		return stageplan.StageDecode, true
	default:
		return 0, false
	}
}
