package leaderloss

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
)

// conclude runs the checks that need the complete run and fills in the report.
func (r *run) conclude(ctx context.Context, report *Report) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	accepted := r.changes.all()
	if err := r.checkAcceptedChanges(ctx, accepted); err != nil {
		return trace.Wrap(err)
	}
	r.measureApplied(accepted)
	for _, ordered := range r.fleet.StandIns.Engines {
		if err := r.checkOrders(ctx, ordered); err != nil {
			return trace.Wrap(err)
		}
		report.Orders += len(ordered.AcceptedOrders())
	}
	report.Changes = len(accepted)
	r.recorder.fill(report)
	return nil
}

// checkAcceptedChanges checks that `show revisions` lists every accepted change with its change number, and that the
// marker has the version of the last accepted change.
func (r *run) checkAcceptedChanges(ctx context.Context, accepted []acceptedChange) error {
	answer, err := r.operator.Execute(ctx, "show revisions")
	if err != nil {
		return trace.Wrap(err)
	}
	const columnRevision, columnNumber = 0, 3
	numbers := make(map[string]string)
	for _, row := range answer.GetRows() {
		numbers[row.GetCells()[columnRevision]] = row.GetCells()[columnNumber]
	}
	var last acceptedChange
	for _, change := range accepted {
		finding := ""
		if recorded := numbers[fmt.Sprint(change.revision)]; recorded != fmt.Sprint(change.number) {
			finding = fmt.Sprintf("change %d was accepted as revision %d, which now is change %q", change.number, change.revision, recorded)
		}
		r.recorder.addCheck(conditionKept, finding)
		if change.revision > last.revision {
			last = change
		}
	}
	return r.checkMarker(ctx, last)
}

func (r *run) checkMarker(ctx context.Context, last acceptedChange) error {
	answer, err := r.operator.Execute(ctx, fmt.Sprintf("show models where name = %s", markerModel))
	if err != nil {
		return trace.Wrap(err)
	}
	const columnVersion = 1
	finding := "the marker is not declared any more"
	if rows := answer.GetRows(); len(rows) == 1 {
		finding = ""
		if version := rows[0].GetCells()[columnVersion]; version != last.version {
			finding = fmt.Sprintf("revision %d was accepted last and made the marker %q; it is %q", last.revision, last.version, version)
		}
	}
	r.recorder.addCheck(conditionKept, finding)
	return nil
}

// measureApplied measures for each change how long it took until every gateway had applied
// it. It omits changes that some gateway had not applied when the run ended.
func (r *run) measureApplied(accepted []acceptedChange) {
	for _, change := range accepted {
		slowest := change.accepted
		everywhere := true
		for _, gateway := range r.gatewayRevisions {
			at, reached := gateway.firstReached(change.revision)
			everywhere = everywhere && reached
			if at.After(slowest) {
				slowest = at
			}
		}
		if everywhere {
			r.recorder.addMeasurement(acceptedToApplied, slowest.Sub(change.accepted))
		}
	}
}

// checkOrders compares the orders that an engine accepted with the replicated log.
func (r *run) checkOrders(ctx context.Context, ordered *engine.Engine) error {
	answer, err := r.operator.Execute(ctx, "show orders of engine "+ordered.Name())
	if err != nil {
		return trace.Wrap(err)
	}
	const columnFence = 1
	logged := make(map[enginecontract.Fence]bool)
	for _, row := range answer.GetRows() {
		fence, err := parseFence(row.GetCells()[columnFence])
		if err != nil {
			return trace.Wrap(err)
		}
		logged[fence] = true
	}
	var before engine.AcceptedOrder
	for _, accepted := range ordered.AcceptedOrders() {
		r.recorder.addCheck(conditionOrders, conflictFinding(before, accepted, logged))
		before = accepted
	}
	return nil
}
