package controlstate

import (
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// Snapshot encodes the state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	record := &v1.ReplicatedState{
		AppliedIndex: s.appliedIndex, Revision: s.revision,
		TombstoneFloor: s.catalogue.tombstoneFloor,
		Changes:        s.changes.records.all(), ChangeNumberFloor: s.changes.floor, HighestChangeNumber: s.changes.highest,
		Requests: s.requests.records.all(), History: s.history.all(),
		Audit: s.audit.all(), AuditSequence: s.auditSequence,
		AuthorityEpoch: s.epoch, AuthorityLeader: s.leader,
		Engines: s.Engines(), Orders: s.orders.all(),
		Claims: s.claims.sorted(), ClaimsExpiredBeforeMs: s.claims.expiredBefore,
		Document: s.document,
		Usage:    s.usage.Snapshot(),
		Replicas: sortedValues(s.replicas),
		Suspects: s.suspects.Snapshot(),

		AgreedFormat: uint32(s.agreed.format), AgreedAt: s.agreed.index,
		ServedVersions: s.servedVersions, StreamRoutes: s.streamRoutes,
	}
	s.catalogue.byRevision.Ascend(func(object *v1.Object) bool {
		record.Objects = append(record.Objects, object)
		return true
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	return data, trace.Wrap(err, "writing a snapshot of the replicated state")
}

// Restore decodes the state that Snapshot encoded. Empty data yields the state before the first
// command.
func Restore(data []byte, safeguards safeguard.Set) (*State, error) {
	record := &v1.ReplicatedState{}
	if err := proto.Unmarshal(data, record); err != nil {
		return nil, trace.Wrap(err, "reading a snapshot of the replicated state; restore the data folder from another controller")
	}
	if err := checkSnapshot(record); err != nil {
		return nil, trace.Wrap(err)
	}
	state := New(safeguards)
	state.appliedIndex = record.AppliedIndex
	state.revision = record.Revision
	state.auditSequence = record.AuditSequence
	state.epoch = record.AuthorityEpoch
	state.leader = record.AuthorityLeader
	state.restoreConfiguration(record)
	for _, entry := range record.Audit {
		state.audit.add(entry)
	}
	for _, engine := range record.Engines {
		state.putEngine(engine)
	}
	for _, order := range record.Orders {
		state.orders.add(order)
	}
	state.claims.expiredBefore = record.ClaimsExpiredBeforeMs
	for _, claim := range record.Claims {
		state.claims.put(claimKey{claim.Tenant, claim.Kind, claim.Key}, claim)
	}
	state.document = record.Document
	state.agreed = agreement{format: formats.Number(record.AgreedFormat), index: record.AgreedAt}
	state.usage = usage.Restore(record.Usage)
	state.suspects = quarantine.Restore(record.Suspects)
	state.servedVersions, state.streamRoutes = record.ServedVersions, record.StreamRoutes
	for _, numbers := range record.Replicas {
		state.replicas[numbers.Service] = numbers
	}
	return state, nil
}

func (s *State) restoreConfiguration(record *v1.ReplicatedState) {
	s.catalogue.tombstoneFloor = record.TombstoneFloor
	for _, object := range record.Objects {
		s.catalogue.put(object)
	}
	for _, version := range record.History {
		s.history.add(version)
	}
	for _, change := range record.Changes {
		s.changes.add(change)
	}
	s.changes.floor = record.ChangeNumberFloor
	s.changes.highest = record.HighestChangeNumber
	for _, request := range record.Requests {
		s.requests.add(request)
	}
}

// checkSnapshot returns an error for a snapshot that this build cannot restore or no controller can have written.
func checkSnapshot(record *v1.ReplicatedState) error {
	for _, object := range append(slices.Clone(record.Objects), record.History...) {
		if err := checkTypeKnown(KeyOf(object.GetKey())); err != nil {
			return trace.BadParameter("the snapshot holds an object without a known type; restore the data folder from another controller")
		}
	}
	if newest := formats.Newest; formats.Number(record.AgreedFormat) > newest {
		return trace.Wrap(ErrUnknownCommand, "the snapshot is of format %d, this build knows %d; run the build that wrote it", record.AgreedFormat, newest)
	}
	for _, engine := range record.Engines {
		if engine.State == nil {
			return trace.BadParameter("the snapshot holds an engine without a state; restore the data folder from another controller")
		}
	}
	for _, order := range record.Orders {
		if order.Order == nil {
			return trace.BadParameter("the snapshot holds an ended order without the order; restore the data folder from another controller")
		}
	}
	return nil
}
