package servedversions

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

const (
	// Retention is how long a version is kept after its last back end was listed: no stream lasts longer.
	Retention = streamorigin.MaxLifetime
	// MaxVersions bounds the recorded versions that are not listed any more: with more of all, the oldest of these give way, and the
	// ledger counts as incomplete from then on.
	MaxVersions = 1024
)

// Ledger is a leader's knowledge of the versions that can have begun streams, and of the routes that have changed since. A new leader
// takes it over from the replicated log. It is not safe for concurrent use.
type Ledger struct {
	// unlistedSince says since when no back end of a version has been listed; listed versions are in listed.
	unlistedSince map[Version]time.Duration
	listed        map[Version]bool
	// completeSince is the time since which no version has served that the ledger lacks.
	completeSince time.Duration
	changedRoutes *streamorigin.RouteChanges
}

// NewLedger returns the ledger of a leader that begins to lead now. recorded is the last record of the replicated log; isTrusted says
// that every leader since then has recorded the versions that it listed. How long ago versions were listed is not known to a new
// leader, so that their retention begins again.
func NewLedger(now time.Duration, recorded *v1.ServedVersions, isTrusted bool) *Ledger {
	ledger := &Ledger{
		unlistedSince: map[Version]time.Duration{}, listed: map[Version]bool{}, completeSince: now,
		changedRoutes: streamorigin.NewRouteChanges(now - Retention),
	}
	for _, version := range recorded.GetVersions() {
		ledger.unlistedSince[versionFromWire(version)] = now
	}
	ledger.changedRoutes.Restore(now, recorded.GetChangedRoutes())
	if isTrusted && !recorded.GetIncomplete() {
		ledger.completeSince = now - Retention
	}
	return ledger
}

// ChangeRoutes records that routes change now.
func (l *Ledger) ChangeRoutes(now time.Duration, routes map[streamorigin.Route]bool) {
	l.changedRoutes.Add(now, routes)
}

// MarkRoutesIncomplete records that any route may have changed until now.
func (l *Ledger) MarkRoutesIncomplete(now time.Duration) { l.changedRoutes.MarkIncomplete(now) }

// completeFor says for how long the ledger has been complete.
func (l *Ledger) completeFor(now time.Duration) time.Duration {
	return now - max(l.completeSince, l.changedRoutes.CompleteSince())
}

// Observe applies the versions of a list of back ends that was read now.
func (l *Ledger) Observe(now time.Duration, listed map[Version]bool) {
	for version := range l.listed {
		if !listed[version] {
			l.unlistedSince[version] = now
		}
	}
	for version := range listed {
		delete(l.unlistedSince, version)
	}
	l.listed = maps.Clone(listed)
	maps.DeleteFunc(l.unlistedSince, func(_ Version, since time.Duration) bool { return now-since >= Retention })
	l.enforceBound(now)
}

// enforceBound removes the versions that have not been listed for the longest time while there are too many.
func (l *Ledger) enforceBound(now time.Duration) {
	if streamorigin.DropOldest(l.unlistedSince, len(l.listed)+len(l.unlistedSince)-MaxVersions) {
		l.completeSince = now
	}
}

// Record returns what the replicated log must hold before relays learn of the listed back ends.
func (l *Ledger) Record(now time.Duration, term uint64) *v1.ServedVersions {
	l.changedRoutes.Expire(now)
	record := &v1.ServedVersions{Term: term, Incomplete: l.completeFor(now) < Retention, ChangedRoutes: streamorigin.HashesOf(l.changedRoutes.All())}
	for _, version := range l.versions() {
		record.Versions = append(record.Versions, &v1.ServedVersion{Service: version.Service, Software: version.Software})
	}
	return record
}

// versions returns all versions, sorted.
func (l *Ledger) versions() []Version {
	all := slices.AppendSeq(slices.Collect(maps.Keys(l.listed)), maps.Keys(l.unlistedSince))
	slices.SortFunc(all, compareVersions)
	return all
}

// StatementWithRoutes returns what the leader states to a relay that asks.
func (l *Ledger) StatementWithRoutes(now time.Duration) *v1.VersionStatement {
	statement := l.Statement(now)
	statement.ChangedRoutes = streamorigin.HashesOf(l.changedRoutes.All())
	return statement
}

// Statement returns what the leader states to all relays, with each of its answers.
func (l *Ledger) Statement(now time.Duration) *v1.VersionStatement {
	l.changedRoutes.Expire(now)
	statement := &v1.VersionStatement{CompleteMs: uint64(l.completeFor(now).Milliseconds()), RoutesChanged: !l.changedRoutes.IsEmpty(now)}
	for _, version := range l.versions() {
		stated := &v1.StatedVersion{Service: version.Service, Software: version.Software}
		if since, isUnlisted := l.unlistedSince[version]; isUnlisted {
			// At least 1, since 0 stands for a listed version. Rounded down, so that a version is not dropped too early.
			stated.UnlistedMs = uint64(max((now - since).Milliseconds(), 1))
		}
		statement.Versions = append(statement.Versions, stated)
	}
	return statement
}

// Contains reports whether a record contains a version.
func Contains(record *v1.ServedVersions, version Version) bool {
	_, found := slices.BinarySearchFunc(record.GetVersions(), version, func(recorded *v1.ServedVersion, wanted Version) int {
		return compareVersions(versionFromWire(recorded), wanted)
	})
	return found
}

// Equal reports whether two records state the same, apart from the terms of their leaders.
func Equal(a, b *v1.ServedVersions) bool {
	if a.GetIncomplete() != b.GetIncomplete() || !slices.Equal(a.GetChangedRoutes(), b.GetChangedRoutes()) {
		return false
	}
	return slices.EqualFunc(a.GetVersions(), b.GetVersions(), func(a, b *v1.ServedVersion) bool {
		return versionFromWire(a) == versionFromWire(b)
	})
}
