package gateway

import (
	"context"
	"sync/atomic"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
)

// viewQueueLength bounds the commands waiting for the view's owner. A full queue blocks
// the sync and report loops and drops outcomes, which only thin the demand report.
const viewQueueLength = 1024

// view owns the gatewaystate.State in one goroutine and publishes its snapshots.
type view struct {
	clock      clock
	state      *gatewaystate.State
	dispatcher *dispatcher
	commands   chan viewCommand
	snapshot   atomic.Pointer[gatewaystate.Snapshot]
	// wakeSync asks the sync loop for a heartbeat before its time.
	wakeSync chan struct{}
	waiting  map[string][]chan gatewaystate.KeyStatus
	// onRevision, when not nil, is told each revision that comes into force.
	onRevision func(revision uint64)
	// knowsBackEnds is set once a controller has said which back ends serve.
	knowsBackEnds atomic.Bool
}

// viewCommand is one thing for the owner to do.
type viewCommand interface{ run(*view) }

func newView(clock clock, identity *v1.NodeIdentity, dispatcher *dispatcher) *view {
	v := &view{
		clock:      clock,
		state:      gatewaystate.New(gatewaystate.Config{Identity: identity}),
		dispatcher: dispatcher,
		commands:   make(chan viewCommand, viewQueueLength),
		wakeSync:   make(chan struct{}, 1),
		waiting:    map[string][]chan gatewaystate.KeyStatus{},
	}
	v.snapshot.Store(v.state.Snapshot())
	return v
}

// run carries out commands until the context ends.
func (v *view) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-v.commands:
			command.run(v)
		}
	}
}

// send hands a command to the owner; it gives up when the context ends.
func (v *view) send(ctx context.Context, command viewCommand) bool {
	select {
	case v.commands <- command:
		return true
	case <-ctx.Done():
		return false
	}
}

// offer hands a command to the owner or drops it.
func (v *view) offer(command viewCommand) {
	select {
	case v.commands <- command:
	default:
	}
}

// buildSync asks for the next heartbeat.
type buildSync struct{ reply chan *v1.SyncRequest }

func (c buildSync) run(v *view) { c.reply <- v.state.SyncRequest(v.clock.now()) }

// applySync hands over a controller's answer.
type applySync struct {
	sentAt   time.Duration
	request  *v1.SyncRequest
	response *v1.SyncResponse
	reply    chan gatewaystate.SyncResult
}

func (c applySync) run(v *view) {
	result := v.state.ApplySync(c.sentAt, v.clock.now(), c.request, c.response)
	switch {
	case result.DirectoryChanged:
		v.dispatcher.setBackEnds(v.state.BackEnds())
	case result.DirectoryConfirmed:
		v.dispatcher.confirm(result.ConfirmedAt)
	}
	if result.DirectoryConfirmed {
		v.knowsBackEnds.Store(true)
	}
	snapshot := v.state.Snapshot()
	before := v.snapshot.Swap(snapshot)
	if v.onRevision != nil && snapshot.Revision != before.Revision {
		v.onRevision(snapshot.Revision)
	}
	v.answerWaiting(c.request.GetUnknownKeyHashes(), snapshot, result.Behind)
	c.reply <- result
}

// answerWaiting tells the requests that wait for the asked keys. A controller that may be
// behind knows whom a key belongs to, but not that it belongs to no one.
func (v *view) answerWaiting(asked []string, snapshot *gatewaystate.Snapshot, behind bool) {
	for _, keyHash := range asked {
		_, status := snapshot.Tenant(keyHash)
		if behind && status != gatewaystate.KeyAccepted {
			continue
		}
		for _, reply := range v.waiting[keyHash] {
			reply <- status
		}
		delete(v.waiting, keyHash)
	}
}

// meetKey asks the controllers about an API key; the reply channel has room for one.
type meetKey struct {
	keyHash string
	reply   chan gatewaystate.KeyStatus
}

func (c meetKey) run(v *view) {
	if _, status := v.snapshot.Load().Tenant(c.keyHash); status != gatewaystate.KeyUnknown {
		c.reply <- status
		return
	}
	if len(v.waiting[c.keyHash]) >= maximumWaitingPerKey || !v.state.RequestKeyLookup(c.keyHash) {
		c.reply <- gatewaystate.KeyUnknown
		return
	}
	v.waiting[c.keyHash] = append(v.waiting[c.keyHash], c.reply)
	select {
	case v.wakeSync <- struct{}{}:
	default:
	}
}

// maximumWaitingPerKey bounds the requests that wait for one unknown key.
const maximumWaitingPerKey = 64

// forgetWaiting drops a request that no longer waits for a key.
type forgetWaiting struct {
	keyHash string
	reply   chan gatewaystate.KeyStatus
}

func (c forgetWaiting) run(v *view) {
	replies := v.waiting[c.keyHash]
	for i, reply := range replies {
		if reply == c.reply {
			v.waiting[c.keyHash] = append(replies[:i], replies[i+1:]...)
			break
		}
	}
	if len(v.waiting[c.keyHash]) == 0 {
		delete(v.waiting, c.keyHash)
	}
}

// recordOutcome counts one finished request for the demand report.
type recordOutcome struct{ outcome gatewaystate.Outcome }

func (c recordOutcome) run(v *view) { v.state.RecordOutcome(c.outcome) }

// buildReport asks for the next demand report.
type buildReport struct {
	shareDemands []*v1.ShareDemand
	reply        chan *v1.ReportRequest
}

func (c buildReport) run(v *view) {
	c.reply <- v.state.ReportRequest(v.clock.now(), c.shareDemands)
}

// loseReport puts the counts of a lost report back.
type loseReport struct{ request *v1.ReportRequest }

func (c loseReport) run(v *view) { v.state.RestoreReport(c.request) }

// leave makes the next heartbeats say that the gateway is leaving.
type leave struct{}

func (leave) run(v *view) {
	v.state.MarkLeaving()
	select {
	case v.wakeSync <- struct{}{}:
	default:
	}
}
