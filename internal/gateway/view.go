package gateway

import (
	"context"
	"sync/atomic"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
)

// viewQueueLength bounds the commands that wait for the view's goroutine. A full queue blocks
// the sync and report loops and drops outcomes, which only reduces the counts of the demand report.
const viewQueueLength = 1024

// view owns the gatewaystate.State in one goroutine and publishes its snapshots.
type view struct {
	clock      clock
	state      *gatewaystate.State
	dispatcher *dispatcher
	commands   chan viewCommand
	snapshot   atomic.Pointer[gatewaystate.Snapshot]
	// wakeSync makes the sync loop send a heartbeat early.
	wakeSync   chan struct{}
	keyWaiters map[string][]chan gatewaystate.KeyStatus
	// onRevision, when not nil, is called with each revision that is applied.
	onRevision func(revision uint64)
	// hasDirectory is set once a controller has sent or confirmed the directory of back ends.
	hasDirectory atomic.Bool
}

// viewCommand is a command that runs in the view's goroutine.
type viewCommand interface{ run(*view) }

func newView(clock clock, identity *v1.NodeIdentity, dispatcher *dispatcher) *view {
	v := &view{
		clock:      clock,
		state:      gatewaystate.New(gatewaystate.Config{Identity: identity}),
		dispatcher: dispatcher,
		commands:   make(chan viewCommand, viewQueueLength),
		wakeSync:   make(chan struct{}, 1),
		keyWaiters: map[string][]chan gatewaystate.KeyStatus{},
	}
	v.snapshot.Store(v.state.Snapshot())
	return v
}

// run executes commands until the context ends.
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

// send queues a command and blocks while the queue is full. It reports false when the context ends first.
func (v *view) send(ctx context.Context, command viewCommand) bool {
	select {
	case v.commands <- command:
		return true
	case <-ctx.Done():
		return false
	}
}

// trySend queues a command, or drops it when the queue is full.
func (v *view) trySend(command viewCommand) {
	select {
	case v.commands <- command:
	default:
	}
}

// buildSync is the command that builds the next heartbeat.
type buildSync struct{ reply chan *v1.SyncRequest }

func (c buildSync) run(v *view) { c.reply <- v.state.SyncRequest(v.clock.now()) }

// applySync is the command that applies a controller's answer to a heartbeat.
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
		v.dispatcher.confirmDirectory(result.ConfirmedAt)
	}
	if result.DirectoryConfirmed {
		v.hasDirectory.Store(true)
	}
	snapshot := v.state.Snapshot()
	previous := v.snapshot.Swap(snapshot)
	if v.onRevision != nil && snapshot.Revision != previous.Revision {
		v.onRevision(snapshot.Revision)
	}
	v.answerKeyWaiters(c.request.GetUnknownKeyHashes(), snapshot, result.Behind)
	c.reply <- result
}

// answerKeyWaiters sends the status of the given keys to the requests that wait for them. A controller that may be
// behind can confirm that a key belongs to a tenant, but not that it belongs to none.
func (v *view) answerKeyWaiters(keyHashes []string, snapshot *gatewaystate.Snapshot, behind bool) {
	for _, keyHash := range keyHashes {
		_, status := snapshot.Tenant(keyHash)
		if behind && status != gatewaystate.KeyAccepted {
			continue
		}
		for _, reply := range v.keyWaiters[keyHash] {
			reply <- status
		}
		delete(v.keyWaiters, keyHash)
	}
}

// keyLookup is the command that requests the status of an API key from the controllers. The reply channel needs a buffer
// of one.
type keyLookup struct {
	keyHash string
	reply   chan gatewaystate.KeyStatus
}

func (c keyLookup) run(v *view) {
	if _, status := v.snapshot.Load().Tenant(c.keyHash); status != gatewaystate.KeyUnknown {
		c.reply <- status
		return
	}
	if len(v.keyWaiters[c.keyHash]) >= maximumWaitersPerKey || !v.state.RequestKeyLookup(c.keyHash) {
		c.reply <- gatewaystate.KeyUnknown
		return
	}
	v.keyWaiters[c.keyHash] = append(v.keyWaiters[c.keyHash], c.reply)
	select {
	case v.wakeSync <- struct{}{}:
	default:
	}
}

// maximumWaitersPerKey bounds the requests that wait for one unknown key.
const maximumWaitersPerKey = 64

// cancelKeyLookup is the command that removes a request that no longer waits for the status of a key.
type cancelKeyLookup struct {
	keyHash string
	reply   chan gatewaystate.KeyStatus
}

func (c cancelKeyLookup) run(v *view) {
	replies := v.keyWaiters[c.keyHash]
	for i, reply := range replies {
		if reply == c.reply {
			v.keyWaiters[c.keyHash] = append(replies[:i], replies[i+1:]...)
			break
		}
	}
	if len(v.keyWaiters[c.keyHash]) == 0 {
		delete(v.keyWaiters, c.keyHash)
	}
}

// recordOutcome is the command that counts one finished request for the demand report.
type recordOutcome struct{ outcome gatewaystate.Outcome }

func (c recordOutcome) run(v *view) { v.state.RecordOutcome(c.outcome) }

// buildReport is the command that builds the next demand report.
type buildReport struct {
	shareDemands []*v1.ShareDemand
	reply        chan *v1.ReportRequest
}

func (c buildReport) run(v *view) {
	c.reply <- v.state.ReportRequest(v.clock.now(), c.shareDemands)
}

// restoreReport is the command that adds the counts of a lost report back to the state.
type restoreReport struct{ request *v1.ReportRequest }

func (c restoreReport) run(v *view) { v.state.RestoreReport(c.request) }

// markLeaving is the command that makes the next heartbeats announce that the gateway is leaving, and triggers one.
type markLeaving struct{}

func (markLeaving) run(v *view) {
	v.state.MarkLeaving()
	select {
	case v.wakeSync <- struct{}{}:
	default:
	}
}
