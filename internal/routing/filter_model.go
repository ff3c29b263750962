package routing

import "slices"

// modelFilter keeps back ends that have the service, model, version and adapter.
type modelFilter struct{}

func (modelFilter) Reason() error { return ErrNoBackEnd }

func (modelFilter) Keep(decision *Decision, candidate *Candidate) bool {
	request, backEnd := decision.Request, &candidate.BackEnd
	switch {
	case backEnd.Service != request.Service:
		return false
	case request.Model != "" && backEnd.Model != request.Model:
		return false
	case request.Version != "" && backEnd.Version != request.Version:
		return false
	default:
		return request.Adapter == "" || slices.Contains(backEnd.Adapters, request.Adapter)
	}
}
