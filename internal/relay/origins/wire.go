package origins

import (
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

// statementFromWire decodes a statement of the leader.
func statementFromWire(stated *v1.VersionStatement) *streamorigin.Statement {
	statement := &streamorigin.Statement{
		CompleteFor: durationFromMs(stated.GetCompleteMs()), Versions: map[string]map[streamorigin.Version]bool{},
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
