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

// ChangeStage orders a listed engine to change its role; StageChangeFinished follows, also when the answer is lost.
type ChangeStage struct {
	BackEnd *v1.ListedBackEnd
	Role    v1.Role
	Reason  stageplan.Reason
	// Holder and Fence identify the ordering leader: later leaders have higher fences.
	Holder string
	Fence  uint64
	// NotAfter is the time of Step after which the order must no longer reach the engine: engines may
	// accept any fence, and the next leader may send orders after that time.
	NotAfter time.Duration
}

// StageChangeFinished is the result of ChangeStage.
type StageChangeFinished struct {
	ID      string
	Outcome StageOutcome
}

// StageOutcome is the known result of an order to a listed engine.
type StageOutcome int

// Results of orders.
const (
	// StageLost means that no answer came: the engine may carry out the order now, later or never.
	StageLost StageOutcome = iota
	// StageAccepted means that the engine is changing its role, or has the role already.
	StageAccepted
	// StageRefused means that the order was not sent or not accepted, and will never be carried out.
	StageRefused
	// StageFenced means that the order was refused because the engine has seen a later leader's fence.
	StageFenced
)

func (ChangeStage) isOutput()        {}
func (StageChangeFinished) isInput() {}

const (
	// stageInterval is the time between two plans of the listed engines' roles.
	stageInterval = 500 * time.Millisecond
	// stageOrderTimeout is how long an order may take to show in the list before the engine
	// may be ordered again.
	stageOrderTimeout = 8 * time.Second
	// stageRefusedDelay is the wait after a refused order before the engine is ordered again.
	stageRefusedDelay = 2 * time.Second
	// stageChangeInterval is the minimum time between two role changes of one service under load.
	stageChangeInterval = 3 * time.Second
	// freshEngineWindow is how long after its first listing an engine counts as one with an empty KV cache.
	freshEngineWindow = 2 * time.Second
	// never is a time that is not reached.
	never = time.Duration(math.MaxInt64)
	// workReportTTL is how long a relay's report of its work is valid.
	workReportTTL = 4 * time.Second
)

// stageOrder is an order to change an engine's role whose effect the list does not show yet.
type stageOrder struct {
	role  v1.Role
	until time.Duration
	// refused is true if the engine did not accept the order, which then only delays the next order to the engine.
	refused bool
}

// relayWork is the last report of a relay's work by service.
type relayWork struct {
	receivedAt time.Duration
	demands    []*v1.RoleDemand
}

// stages is the leader's view of the roles of listed engines.
type stages struct {
	// firstListedAt is the time at which this leader first saw each engine listed. Engines on the first list that this
	// leader reads count as listed for longer than freshEngineWindow.
	firstListedAt map[string]time.Duration
	plans         map[string]*stageplan.Plan
	orders        map[string]stageOrder
	work          map[string]relayWork
	speeds        engineSpeeds
	dueAt         time.Duration
}

func newStages() stages {
	return stages{plans: map[string]*stageplan.Plan{}, orders: map[string]stageOrder{}, work: map[string]relayWork{}, speeds: newEngineSpeeds()}
}

// recordWork records a relay's report of its work.
func (c *Core) recordWork(request *v1.WatchRequest) {
	if len(request.GetDemands()) > 0 {
		c.stages.work[request.GetNode().GetName()] = relayWork{receivedAt: c.now, demands: request.GetDemands()}
	}
}

// tickStages orders engines into the roles that the plan requires. A new leader first waits until the
// previous leader's orders can no longer arrive.
func (c *Core) tickStages() {
	if c.config.PriorPrefillShare <= 0 || c.listing.version == 0 || c.now-c.leadingSince < c.config.OrderWait {
		return
	}
	if !due(c.now, &c.stages.dueAt, stageInterval) {
		return
	}
	c.dropStageOrders()
	c.recordFirstListed()
	c.stages.speeds.dropOutdated(c.now, c.listing.published)
	outgoing := c.outgoingServices()
	engines, members := map[string][]stageplan.Engine{}, map[string][]cell.Member{}
	for _, backEnd := range c.listing.published {
		order, ordered := c.stages.orders[backEnd.GetId()]
		role := backEnd.GetRole()
		if ordered && !order.refused {
			role = order.role // the list will show it later
		}
		if !backEnd.GetSpot() && outgoing[backEnd.GetService()] {
			continue // it leaves as soon as its replacements serve
		}
		if stage, isEngine := stageOf(role); isEngine && !backEnd.GetLeaving() {
			member := memberOf(backEnd)
			speed := c.stages.speeds.byEngine[member.Hash]
			engines[backEnd.GetService()] = append(engines[backEnd.GetService()], stageplan.Engine{
				ID: backEnd.GetId(), Group: backEnd.GetZone(), Stage: stage, Busy: ordered,
				JustStarted: c.now-c.stages.firstListedAt[backEnd.GetId()] < freshEngineWindow,
				MissesGap:   speed.missesGap, KeepsGap: speed.keepsGap, StepTime: speed.stepTime,
			})
			members[backEnd.GetService()] = append(members[backEnd.GetService()], member)
		}
	}
	for _, service := range sortedKeys(engines) {
		if c.config.Without.IsEnabled(mechanism.StageGroups) {
			groupByCell(service, engines[service], members[service])
		}
		c.planStages(service, engines[service])
	}
}

// recordFirstListed records when engines were first listed.
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

// memberOf converts an engine to a member of the relays' division into cells.
func memberOf(backEnd *v1.ListedBackEnd) cell.Member {
	return cell.Member{Hash: cell.HashEngine(serving.BackEndFromProto(backEnd).ExpectedID()), Zone: backEnd.GetZone()}
}

// groupByCell sets each engine's group to its zone and cell, because the relay that owns a cell needs engines
// of both stages in that cell.
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
		return // engines that are not published yet are added when one stage turns out to be short
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

// reportedWork is the work of a service that relays have reported, as the number of back ends that it keeps busy.
type reportedWork struct {
	stageplan.Work
	// unstaged is the work of requests that are not divided into prefill and decode.
	unstaged float64
}

// busy returns the number of back ends that all of the reported work keeps busy.
func (w reportedWork) busy() float64 { return w.Prefill + w.Decode + w.unstaged }

// serviceWork sums the work of a service that relays have reported within workReportTTL.
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

// orderStage orders one engine to change its stage, and marks it so that relays send it no work during the change.
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
		if change.Reason == stageplan.BySpeed {
			c.movesBySpeed++
		}
		c.emit(ChangeStage{
			BackEnd: backEnd, Role: role, Reason: change.Reason, Holder: c.config.Name, Fence: c.leadingTerm, NotAfter: c.now + c.config.OrderLifetime,
		})
	}
	c.refreshListing()
}

// handleStageChangeFinished processes the result of an order. After a refused order, relays may use the
// engine again, and it may be ordered again after a delay. A lost order counts as accepted until the
// list shows its effect.
func (c *Core) handleStageChangeFinished(received StageChangeFinished) {
	order, ordered := c.stages.orders[received.ID]
	if !ordered {
		return
	}
	switch received.Outcome {
	case StageRefused:
		order.refused, order.until = true, c.now+stageRefusedDelay
	case StageFenced:
		order.refused, order.until = true, never // a fence never decreases, so the engine refuses all orders of this term
	default:
		return
	}
	c.stages.orders[received.ID] = order
	c.refreshListing()
}

// dropStageOrders drops orders whose effect the list shows or that have timed out.
func (c *Core) dropStageOrders() {
	if len(c.stages.orders) == 0 {
		return
	}
	listed := map[string]v1.Role{}
	for _, backEnd := range c.listing.published {
		listed[backEnd.GetId()] = backEnd.GetRole()
	}
	for id, order := range c.stages.orders {
		role, isListed := listed[id]
		if !isListed || role == order.role && !order.refused || c.now >= order.until {
			delete(c.stages.orders, id)
		}
	}
	c.refreshListing()
}

// markChangingRoles returns the back ends, with Changing set on those whose role is being changed.
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

// stageOf converts a role to a stage; it returns false for back ends that are not engines.
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
