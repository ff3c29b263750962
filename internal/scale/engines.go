package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine/orders"
)

const (
	// hollowRoleChange is how long a hollow engine takes to change its role.
	hollowRoleChange = 2 * time.Second
	hollowWeightLoad = 5 * time.Second
	// hollowReadBuffer keeps thousands of control connections small.
	hollowReadBuffer = 4 << 10
	modelVersion     = "1"
)

// hollowEngine answers the control part of the engine contract. It is safe for
// concurrent use.
type hollowEngine struct {
	row     enginecontract.Machine
	model   string
	role    enginecontract.Role
	started time.Time

	mutex       sync.Mutex
	incarnation uint64
	kept        orders.Durable
	machine     *orders.Machine
	server      *fasthttp.Server
	listener    *engineListener
}

func newHollowEngine(plan Plan, replica int) *hollowEngine {
	model := replica % plan.Models
	role := enginecontract.RoleMixed
	switch turn := replica / plan.Models % 4; turn {
	case 0:
		role = enginecontract.RolePrefill
	case 1, 2:
		role = enginecontract.RoleDecode
	}
	return &hollowEngine{
		row: enginecontract.Machine{
			Name: ReplicaName(replica), Service: serviceName(model), Zone: ZoneName(plan.ReplicaZone(replica)),
			Address: plan.replicaAddress(replica), State: enginecontract.StateServing,
		},
		model: modelName(model), role: role, started: time.Now(),
	}
}

// start makes the engine answer, with what it kept of its last run.
func (e *hollowEngine) start(network *Network) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.listener != nil {
		return nil
	}
	inner, err := network.Listen("tcp", e.row.Address)
	if err != nil {
		return trace.Wrap(err, "hollow engine %s", e.row.Name)
	}
	if e.kept.Role == "" {
		e.kept = orders.Durable{Role: e.role, Model: e.model, Version: modelVersion}
	}
	e.incarnation++
	e.machine = orders.New(orders.Config{
		Engine: e.row.Name, Service: e.row.Service, Zone: e.row.Zone, Incarnation: e.incarnation,
		RoleChange: hollowRoleChange, WeightLoad: hollowWeightLoad,
	}, e.kept)
	e.listener = &engineListener{Listener: inner, conns: map[net.Conn]struct{}{}}
	e.server = &fasthttp.Server{Handler: e.handle, ReadBufferSize: hollowReadBuffer, NoDefaultServerHeader: true, Logger: silent{}}
	go func(server *fasthttp.Server, listener net.Listener) {
		_ = server.Serve(listener) // it returns when the listener closes
	}(e.server, e.listener)
	return nil
}

// stop makes the engine vanish as a killed process does.
func (e *hollowEngine) stop() {
	e.mutex.Lock()
	listener := e.listener
	if listener != nil {
		e.kept = e.machine.Durable()
		e.listener = nil
	}
	e.mutex.Unlock()
	if listener != nil {
		listener.breakAll()
	}
}

func (e *hollowEngine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	e.mutex.Lock()
	now := time.Since(e.started)
	e.machine.Advance(now, 0)
	var answer any
	switch path {
	case enginecontract.PathState:
		answer = e.machine.State(0)
	case enginecontract.PathLoad:
		answer = e.load()
	case enginecontract.PathOrders:
		var order enginecontract.Order
		if json.Unmarshal(ctx.PostBody(), &order) == nil {
			answer = e.machine.Order(now, order, 0)
		}
	case enginecontract.PathFence:
		var fence enginecontract.Fence
		if json.Unmarshal(ctx.PostBody(), &fence) == nil {
			answer = e.machine.Fence(now, fence, 0)
		}
	}
	e.mutex.Unlock()
	writeAnswer(ctx, answer)
}

func writeAnswer(ctx *fasthttp.RequestCtx, answer any) {
	if answer == nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if order, is := answer.(enginecontract.OrderAnswer); is && !order.Accepted {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	text, err := json.Marshal(answer)
	if err != nil { // the shapes always marshal
		panic(err)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

// load is a plausible load that changes with time. The mutex is held.
func (e *hollowEngine) load() enginecontract.LoadReport {
	state := e.machine.State(0)
	seconds := int(time.Since(e.started) / time.Second)
	return enginecontract.LoadReport{
		Engine: state.Engine, Incarnation: state.Incarnation, State: state.State, Role: state.Role,
		Running: 30 + seconds%30, Waiting: seconds % 3, WaitingPromptTokens: int64(seconds % 3 * 900),
		RunningOutputTokens: int64(30+seconds%30) * 200, KVCacheUsed: 0.6,
		PromptTokensDone: int64(seconds) * 2000, OutputTokensDone: int64(seconds) * 1500,
	}
}

func serviceName(model int) string { return fmt.Sprintf("service-%02d", model) }
func modelName(model int) string   { return fmt.Sprintf("model-%02d", model) }
func kindName(model int) string    { return fmt.Sprintf("kind-%02d", model) }
func onceName(model int) string    { return fmt.Sprintf("once-%02d", model) }
