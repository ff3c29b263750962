package language

import (
	"strconv"
	"strings"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

func revisionRows(view View) [][]Value {
	var rows [][]Value
	for _, revision := range view.Revisions() {
		rows = append(rows, []Value{
			countCell(revision.Revision),
			timeCell(revision.AcceptedAtMs),
			TextValue(revision.Operator),
			countCell(revision.ChangeNumber),
			TextValue(revision.SourceRevision),
			countCell(revision.Objects),
		})
	}
	return rows
}

func lastRevisionRows(view View) [][]Value {
	rows := revisionRows(view)
	return rows[max(0, len(rows)-1):]
}

func engineRows(view View) [][]Value {
	var rows [][]Value
	for _, engine := range view.Engines() {
		order := ""
		if engine.OutstandingOrder != nil {
			order = formatFence(engine.OutstandingOrder) + " " + formatAction(engine.OutstandingOrder)
		}
		loadAge := Value{Numeric: true, Number: -1}
		if engine.Load != nil {
			loadAge = quantityCell(engine.LoadAgeMs, durationUnits)
		}
		rows = append(rows, []Value{
			TextValue(engine.State.GetEngine()),
			TextValue(engine.State.GetService()),
			TextValue(engine.State.GetZone()),
			TextValue(engine.State.GetAddress()),
			TextValue(RoleName(engine.State.GetRole())),
			TextValue(RoleName(engine.PinnedRole)),
			TextValue(stateName(engine.ServingState)),
			TextValue(engine.State.GetModel()),
			TextValue(engine.State.GetVersion()),
			TextValue(adaptersText(engine.State)),
			timeCell(engine.RoleSinceMs),
			TextValue(order),
			countCell(engine.Load.GetRunning()),
			countCell(engine.Load.GetWaiting()),
			loadAge,
		})
	}
	return rows
}

// adaptersText lists an engine's adapters as "name version".
func adaptersText(state *v1.EngineState) string {
	var texts []string
	for _, adapter := range state.GetAdapters() {
		texts = append(texts, strings.TrimSpace(adapter+" "+state.GetAdapterVersions()[adapter]))
	}
	return strings.Join(texts, ", ")
}

// revisionCell holds a node's revision. It is empty, and sorts below every number, when the revision is unknown.
func revisionCell(node NodeView) Value {
	if node.RevisionUnknown {
		return Value{Numeric: true, Number: -1}
	}
	return countCell(node.Revision)
}

func nodeRows(view View) [][]Value {
	var rows [][]Value
	for _, node := range view.Nodes() {
		rows = append(rows, []Value{
			TextValue(node.Name),
			TextValue(node.Program),
			TextValue(node.Zone),
			TextValue(node.Address),
			revisionCell(node),
			elapsedCell(view.NowMs(), node.LastMessageAtMs),
			booleanCell(node.Leaving),
		})
	}
	return rows
}

func memberRows(view View) [][]Value {
	var rows [][]Value
	for _, member := range view.Members() {
		membership := "voter"
		switch {
		case member.Leader:
			membership = "leader"
		case member.Member.GetLearner():
			membership = "learner"
		}
		rows = append(rows, []Value{
			TextValue(member.Member.GetId()),
			TextValue(member.Member.GetAddress()),
			TextValue(member.Member.GetZone()),
			TextValue(membership),
			countCell(member.MatchIndex),
			elapsedCell(view.NowMs(), member.LastMessageAtMs),
		})
	}
	return rows
}

func orderRows(view View) [][]Value { return formatOrders(view.Orders("")) }

func formatOrders(orders []OrderView) [][]Value {
	var rows [][]Value
	for _, order := range orders {
		rows = append(rows, []Value{
			TextValue(order.Order.GetEngine()),
			TextValue(formatFence(order.Order)),
			TextValue(formatAction(order.Order)),
			timeCell(order.Order.GetIssuedAtMs()),
			TextValue(outcomeName(order.Outcome)),
			timeCell(order.FinishedAtMs),
			TextValue(order.Order.GetReason()),
			TextValue(order.Detail),
		})
	}
	return rows
}

func claimRows(view View) [][]Value {
	var rows [][]Value
	for _, claim := range view.Claims() {
		rows = append(rows, []Value{
			TextValue(claim.Tenant),
			TextValue(claim.Kind),
			TextValue(claim.Key),
			TextValue(claim.Gateway),
			TextValue(claimStateName(claim.State)),
			timeCell(claim.ExpiresAtMs),
		})
	}
	return rows
}

func suspectRows(view View) [][]Value {
	var rows [][]Value
	for _, suspect := range view.Suspects() {
		rows = append(rows, []Value{
			TextValue(suspect.Signature),
			countCell(uint64(suspect.Crashes)),
			TextValue(strconv.FormatBool(suspect.Quarantined)),
			countCell(uint64(suspect.Trials)),
		})
	}
	return rows
}

func auditRows(view View) [][]Value {
	var rows [][]Value
	for _, record := range view.Audit() {
		rows = append(rows, []Value{
			countCell(record.Sequence),
			timeCell(record.AtMs),
			TextValue(record.Operator),
			TextValue(record.RequestID),
			TextValue(record.Text),
			TextValue(record.Outcome),
			countCell(record.Revision),
			TextValue(record.SourceRevision),
		})
	}
	return rows
}

func shareRows(view View) [][]Value {
	var rows [][]Value
	for _, share := range view.Shares() {
		rows = append(rows, []Value{
			TextValue(share.Tenant),
			TextValue(share.Gateway),
			quantityCell(int64(share.TokensPerSecond), rateUnits),
			quantityCell(int64(share.Concurrency), requestUnits),
		})
	}
	return rows
}

func decisionRows(view View) [][]Value {
	var rows [][]Value
	for _, decision := range view.PlannerDecisions() {
		rows = append(rows, []Value{
			TextValue(decision.Service),
			timeCell(decision.AtMs),
			countCell(decision.Changes),
			TextValue(decision.Reason),
		})
	}
	return rows
}
