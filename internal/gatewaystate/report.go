package gatewaystate

import (
	"cmp"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// demandKey identifies the demand counts of one kind at one service.
type demandKey struct{ service, kind string }

// Outcome is the result of one request in the demand report.
type Outcome struct {
	Service string
	Kind    string
	// At most one of Completed, Refused and MissedDeadline is set. None is set when the
	// request failed otherwise.
	Completed      bool
	Refused        bool
	MissedDeadline bool
	PromptTokens   uint64
	OutputTokens   uint64
}

// RecordOutcome counts one finished request.
func (s *State) RecordOutcome(outcome Outcome) {
	demand := s.demand(outcome.Service, outcome.Kind)
	demand.Arrivals++
	demand.PromptTokens += outcome.PromptTokens
	demand.OutputTokens += outcome.OutputTokens
	switch {
	case outcome.Completed:
		demand.Completed++
	case outcome.Refused:
		demand.Refused++
	case outcome.MissedDeadline:
		demand.MissedDeadline++
	}
}

func (s *State) demand(service, kind string) *v1.Demand {
	key := demandKey{service, kind}
	demand, ok := s.demands[key]
	if !ok {
		demand = &v1.Demand{Service: service, Kind: kind}
		s.demands[key] = demand
	}
	return demand
}

// ReportRequest builds the next demand report from the counts since the last one and resets them. When the report is lost,
// pass it to RestoreReport.
func (s *State) ReportRequest(now time.Duration, shareDemands []*v1.ShareDemand) *v1.ReportRequest {
	request := &v1.ReportRequest{
		Node:         s.config.Identity,
		ShareDemands: shareDemands,
		Revision:     s.configuration.revision,
		WindowMs:     uint32((now - s.reportedAt) / time.Millisecond),
	}
	for _, demand := range s.demands {
		request.Demands = append(request.Demands, demand)
	}
	slices.SortFunc(request.Demands, func(a, b *v1.Demand) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetKind(), b.GetKind()))
	})
	s.demands = map[demandKey]*v1.Demand{}
	s.reportedAt = now
	return request
}

// RestoreReport adds the counts of a lost report back, so that the next report includes them.
func (s *State) RestoreReport(request *v1.ReportRequest) {
	for _, lost := range request.GetDemands() {
		demand := s.demand(lost.GetService(), lost.GetKind())
		demand.Arrivals += lost.GetArrivals()
		demand.Completed += lost.GetCompleted()
		demand.Refused += lost.GetRefused()
		demand.MissedDeadline += lost.GetMissedDeadline()
		demand.PromptTokens += lost.GetPromptTokens()
		demand.OutputTokens += lost.GetOutputTokens()
	}
	s.reportedAt -= time.Duration(request.GetWindowMs()) * time.Millisecond
}
