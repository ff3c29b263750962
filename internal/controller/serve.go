package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
)

// serve serves peers, nodes and operators until the context ends.
func (c *controller) serve(ctx context.Context) error {
	shared := &service{
		loop: c.loop, calls: c.calls, peers: c.peerClient, peerURL: peerURL(c.config.TLS.Enabled()), log: c.log,
		leaderAddress: func() string { return c.core.Status().Consensus.LeaderAddress },
		countCall:     func(procedure, code string) { c.instruments.calls.WithLabelValues(procedure, code).Inc() },
	}
	operator := operatorService{service: shared, firstKeyHash: c.config.OperatorKeyHash, lookUp: c.core.Operator}
	routes := handler(c.config.Fleet, c.instruments.countMessages(), consensusService{loop: c.loop, fleet: c.config.Fleet, received: c.contact.Received}, nodeService{shared}, operator)
	return serveHTTP(ctx, countingListener{Listener: c.listener, instruments: c.instruments}, routes, c.tlsConfigs.server, newServerLogger(c.log))
}

// serveAdmin serves health checks and metrics until the context ends.
func (c *controller) serveAdmin(ctx context.Context) error {
	admin := metrics.AdminServer{Registry: c.registry, Log: c.log, Ready: c.ready}
	return admin.Serve(ctx, c.adminListener)
}

// ready returns nil when this controller knows a leader and can therefore answer calls.
func (c *controller) ready() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := c.status(ctx)
	if err != nil {
		return trace.Wrap(err, "the core does not answer")
	}
	if status.Consensus.LeaderAddress == "" {
		return trace.ConnectionProblem(nil, "no leader is known; check that a majority of the voters run and reach each other")
	}
	return nil
}

func (c *controller) status(ctx context.Context) (control.Status, error) {
	var status control.Status
	err := c.loop.inspect(ctx, func() { status = c.core.Status() })
	return status, trace.Wrap(err)
}

// loopStallReport is the time without an answer of the loop after which this is logged; the times double.
const loopStallReport = time.Second

// awaitStatus is status; it logs that the loop does not answer.
func (c *controller) awaitStatus(ctx context.Context) (control.Status, error) {
	var status control.Status
	done := make(chan error, 1)
	go func() {
		defer c.log.DumpOnPanic()
		answer, err := c.status(ctx)
		status = answer
		done <- err
	}()
	err := awaitReporting(done, loopStallReport, func(waited time.Duration) {
		c.log.Warn().Str(events.FieldEvent, string(events.LoopStalled)).Int64("waited_ms", waited.Milliseconds()).Send()
	})
	return status, trace.Wrap(err)
}

// watchStatus updates the gauges from the Core's status and logs changes of the leader and of the agreed format.
func (c *controller) watchStatus(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	leader, term := "", uint64(0)
	agreement := ""
	decisions := decisionLog{log: c.log}
	report := leaderReport{log: c.log, peers: c.contact.Peers}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		status, err := c.awaitStatus(ctx)
		if err != nil {
			return
		}
		if current := status.Consensus; current.LeaderAddress != leader || current.Term != term {
			leader, term = current.LeaderAddress, current.Term
			c.log.Info().Str("leader", leader).Uint64("term", term).Str("role", current.Role.String()).
				Str("member", current.ID).Uint64("revision", status.Revision).Msg("the leader or its term has changed; an empty name means that no leader is known")
		}
		if currentAgreement := fmt.Sprint(status.AgreedFormat, status.AgreementBlockers); currentAgreement != agreement {
			agreement = currentAgreement
			c.log.Info().Str(events.FieldEvent, string(events.FormatAgreed)).Uint("format", uint(status.AgreedFormat)).
				Uint("own_format", uint(formats.Newest)).Strs("held_back_by", status.AgreementBlockers).Send()
		}
		report.update(c.bootClock.Now(), status.Consensus)
		decisions.write(status.Consensus.Decisions)
		c.instruments.quorum.set(status.Consensus)
		c.instruments.agreedFormat.Set(float64(status.AgreedFormat))
		c.instruments.agreementBlockers.Set(float64(len(status.AgreementBlockers)))
		c.instruments.term.Set(float64(status.Consensus.Term))
		c.instruments.commitIndex.Set(float64(status.Consensus.Commit))
		c.instruments.appliedIndex.Set(float64(status.AppliedIndex))
		c.instruments.logBytes.Set(float64(status.Consensus.LogBytes))
		c.instruments.revision.Set(float64(status.Revision))
		c.instruments.leader.Set(boolToFloat(status.LeadsWithLease))
		c.instruments.gateways.Set(float64(status.Gateways))
		c.instruments.machines.Set(float64(status.Machines))
		c.instruments.site.set(status.Site)
	}
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
