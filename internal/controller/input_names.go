package controller

import "github.com/hazelpitch/hazelpitch/internal/control"

// inputName returns the kind of an input, as the metrics name it.
func inputName(input control.Input) string {
	switch input.(type) {
	case control.Tick:
		return "tick"
	case control.PeerMessage:
		return "consensus"
	case control.Persisted:
		return "persisted"
	case control.ApplyReceived, control.PlanReceived, control.RefusalReceived:
		return "configuration"
	case control.ExecuteReceived:
		return "query"
	case control.SyncReceived:
		return "sync"
	case control.SeedsChanged:
		return "settings"
	case control.WatchReceived:
		return "watch"
	case control.PutDocumentReceived, control.ReadDocumentReceived:
		return "document"
	case control.StageChangeFinished:
		return "orders"
	case control.UsageReceived, control.UsageDelivered:
		return "usage"
	case control.ReplicaCrashesReceived, control.TrialRequested, control.RequestReleased:
		return "quarantine"
	case control.PermitRequested:
		return "limits"
	case control.ReplicaOrderFinished:
		return "replicas"
	case control.ListingReceived:
		return "listing"
	case control.ReportReceived:
		return "report"
	case control.BeginClaimReceived, control.FinishClaimReceived:
		return "claims"
	case control.MachineListReceived:
		return "machine-list"
	case control.OrderAnswered, control.FenceAnswered:
		return "orders"
	case control.EngineStateReceived:
		return "load-reports"
	}
	return "other"
}
