package origins

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// originToWire encodes a record for a datagram.
func originToWire(name streamorigin.Name, record streamorigin.Record, lifetime time.Duration) *v1.StreamOrigin {
	return &v1.StreamOrigin{
		NameHigh: name.High, NameLow: name.Low, Service: record.Service, Software: uint64(record.Version), Sequence: record.Sequence,
		LifetimeMs: uint32(max(lifetime.Milliseconds(), 0)),
	}
}

// originFromWire is the reverse of originToWire. It returns false for an absent origin.
func originFromWire(origin *v1.StreamOrigin) (name streamorigin.Name, record streamorigin.Record, lifetime time.Duration, isValid bool) {
	name = streamorigin.Name{High: origin.GetNameHigh(), Low: origin.GetNameLow()}
	record = streamorigin.Record{Service: origin.GetService(), Version: streamorigin.Version(origin.GetSoftware()), Sequence: origin.GetSequence()}
	lifetime = min(time.Duration(origin.GetLifetimeMs())*time.Millisecond, streamorigin.MaxLifetime)
	return name, record, lifetime, record.Version != streamorigin.None
}

// statementFor returns the part of a statement that another relay asks for: a datagram has no room for all.
func statementFor(query *v1.StreamOriginQuery, stated *v1.VersionStatement) *v1.VersionStatement {
	if stated == nil {
		return nil
	}
	part := &v1.VersionStatement{CompleteMs: stated.GetCompleteMs()}
	for _, version := range stated.GetVersions() {
		if version.GetService() == query.GetService() {
			part.Versions = append(part.Versions, version)
		}
	}
	for _, route := range query.GetRoutes() {
		if slices.Contains(stated.GetChangedRoutes(), route) {
			part.ChangedRoutes = append(part.ChangedRoutes, route)
		}
	}
	return part
}

// statementFromWire decodes a statement of the leader.
func statementFromWire(stated *v1.VersionStatement) *streamorigin.Statement {
	statement := &streamorigin.Statement{
		CompleteFor: durationFromMs(stated.GetCompleteMs()), Versions: map[string]map[streamorigin.Version]bool{},
		ChangedRoutes: map[streamorigin.RouteID]bool{}, HaveRoutesChanged: stated.GetRoutesChanged(),
	}
	for _, route := range stated.GetChangedRoutes() {
		statement.ChangedRoutes[streamorigin.RouteID(route)] = true
	}
	for _, version := range stated.GetVersions() {
		versions := statement.Versions[version.GetService()]
		if versions == nil {
			versions = map[streamorigin.Version]bool{}
			statement.Versions[version.GetService()] = versions
		}
		versions[streamorigin.VersionOf(version.GetSoftware())] = true
	}
	return statement
}

// durationFromMs converts a number of milliseconds to a duration of at most streamorigin.MaxLifetime: longer ones mean the same.
func durationFromMs(milliseconds uint64) time.Duration {
	return time.Duration(min(milliseconds, uint64(streamorigin.MaxLifetime.Milliseconds()))) * time.Millisecond
}
