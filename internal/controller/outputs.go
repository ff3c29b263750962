package controller

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/peercontact"
)

// startOutputs starts the goroutines that execute the Core's outputs.
func (c *controller) startOutputs(ctx context.Context, group *errgroup.Group) {
	dial := c.instruments.countingDial(c.dial, connectionOutside)
	c.engines = newEngines(dial, c.loop.send, c.countExchange)
	for range orderWorkers {
		c.spawn(group, func() error { c.engines.runWorker(ctx, c.engines.orders); return nil })
	}
	for range pollWorkers {
		c.spawn(group, func() error { c.engines.runWorker(ctx, c.engines.polls); return nil })
	}
	c.machines = &machineReader{
		client: newExternalClient(dial, maxMachineListBytes), address: c.config.MachineList,
		interval: c.config.MachineListInterval, deliver: c.loop.send, log: c.log,
	}
	if c.site != nil {
		c.listing = newListingReader(c.site, dial, c.loop.send, c.log)
		c.stageOrders = newStageOrderer(c.site, dial, c.loop.now, c.loop.send, c.log)
		c.duties = newDutyCaller(c.site, dial, c.loop.now, c.loop.send, c.log)
	}
	peers := &senders{lanes: make(map[lane]*sender), start: func(to lane) *sender {
		sender := c.newSender(to)
		c.spawn(group, func() error { sender.run(ctx); return nil })
		return sender
	}}
	c.loop.execute = func(output control.Output) { c.execute(peers, output) }
	c.loop.observe = c.observeStep
}

// execute performs one output on the loop's goroutine; it never blocks.
func (c *controller) execute(peers *senders, output control.Output) {
	switch output := output.(type) {
	case control.SendPeer:
		peers.send(output.Address, output.Message)
	case control.Answer:
		c.calls.answer(output)
	case control.SendOrder, control.SendFence, control.PollEngine:
		if lost := c.engines.enqueue(output); lost != nil {
			c.loop.queueLostInput(lost)
		}
	case control.ReadListing:
		c.listing.request(output.Pages)
	case control.ChangeStage:
		if !c.stageOrders.enqueue(output) {
			c.loop.queueLostInput(control.StageChangeFinished{ID: output.BackEnd.GetId(), Outcome: control.StageRefused})
		}
	case control.DeliverUsage:
		if !c.duties.enqueue(output) {
			c.loop.queueLostInput(control.UsageDelivered{Call: output, Outcome: duty.Refused})
		}
	case control.OrderReplicas:
		if !c.duties.enqueue(output) {
			c.loop.queueLostInput(control.ReplicaOrderFinished{Order: output, Outcome: duty.Refused})
		}
	case control.Halt:
		c.haltErrors <- output.Err
	case control.UpdateNotApplied:
		logUpdateNotApplied(c.log.Logger, output)
	case control.DumpLogs:
		c.log.Info().Str("operator", output.Operator).Msg("an operator requested a dump of the log ring")
		c.log.RequestDump()
	default:
		c.log.Error().Type("output", output).Msg("unknown output of the core; the output is ignored")
	}
}

func (c *controller) newSender(to lane) *sender {
	client := newPeerClient(c.peerDial, c.tlsConfigs.client) // of its own: a snapshot must not delay heartbeats on one connection
	return &sender{
		client:  hazelpitchv1connect.NewConsensusServiceClient(client, peerURL(c.config.TLS.Enabled())(to.address)),
		queue:   make(chan *v1.ConsensusMessage, to.queueSize()),
		sent:    func(messages int) { c.instruments.peerSent.Add(float64(messages)) },
		dropped: func(messages int) { c.instruments.peerDropped.Add(float64(messages)) },

		delivered: func() { c.contact.Delivered(to.address) },
		failed:    func(err error) { c.contact.Failed(to.address, peercontact.Deliver, err) },
	}
}

func (c *controller) newSyncer() *syncer {
	return &syncer{writer: disk{storage: c.disk}, loop: c.loop, observe: func(batches int, took time.Duration) {
		c.instruments.syncs.Inc()
		c.instruments.syncedBatches.Add(float64(batches))
		c.instruments.syncSeconds.Observe(took.Seconds())
	}}
}

func (c *controller) countExchange(duty string, answered bool) {
	outcome := "lost"
	if answered {
		outcome = "answered"
	}
	c.instruments.engineExchange.WithLabelValues(duty, outcome).Inc()
}

func (c *controller) observeStep(input control.Input, took time.Duration) {
	name := inputName(input)
	c.instruments.steps.WithLabelValues(name).Inc()
	c.instruments.stepSeconds.WithLabelValues(name).Add(took.Seconds())
}
