package control

import (
	"slices"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/servedversions"
)

// VersionsRequested asks which software versions can have begun streams. The answer is a ReadServedVersionsResponse.
type VersionsRequested struct{ Call CallID }

func (VersionsRequested) isInput() {}

// handleVersionsRequested states the versions. With a valid lease, they include every version that any leader has listed.
func (c *Core) handleVersionsRequested(received VersionsRequested) {
	if !c.requireLeader(received.Call) {
		return
	}
	if !c.leading { // the lease became valid in this step
		c.refuse(received.Call, c.notLeader())
		return
	}
	c.answer(Answer{Call: received.Call, Response: &v1.ReadServedVersionsResponse{Statement: c.listing.versions.StatementWithRoutes(c.now)}})
}

// beginVersions takes the recorded versions over from the replicated log. They are recorded at once for this leader's term, so that
// later leaders know that it keeps them.
func (c *Core) beginVersions() {
	isKept := c.state.AreServedVersionsKept(c.entryTerms.before(c.leadingTerm))
	c.listing.versions = servedversions.NewLedger(c.now, c.state.ServedVersions(), isKept)
	c.beginRoutes()
	if c.recordsVersions() {
		c.recordVersions()
	}
}

// recordsVersions reports whether there is a list of back ends, whose versions are recorded.
func (c *Core) recordsVersions() bool { return c.config.ListingInterval > 0 }

// entryTerms tracks the terms of the applied entries. A leader has a lease only once an entry of its term is committed, so that the
// last term before a leader's own is that of the last one who can have listed back ends.
type entryTerms struct {
	// last is the term of the last entry, former that of the last entry of an earlier term; 0 for none.
	last, former uint64
}

// entryTermsOf returns the terms of the entries in a snapshot. The one with which a new log begins holds no command.
func entryTermsOf(snapshot *v1.Snapshot, state *controlstate.State) entryTerms {
	if state.AppliedIndex() == 0 {
		return entryTerms{}
	}
	return entryTerms{last: snapshot.GetMetadata().GetTerm()}
}

func (t *entryTerms) record(term uint64) {
	if term > t.last {
		t.last, t.former = term, t.last
	}
}

// before returns the term of the last entry before a term.
func (t *entryTerms) before(term uint64) uint64 {
	if t.last < term {
		return t.last
	}
	return t.former
}

// observeVersions applies the versions of the list that was read, and records those that are not recorded yet.
func (c *Core) observeVersions() {
	listed := map[servedversions.Version]bool{}
	for _, backEnd := range c.listing.considered {
		listed[servedversions.VersionOf(backEnd)] = true
	}
	c.listing.versions.Observe(c.now, listed)
	isPending := c.listing.versionsIndex > c.applied
	if !isPending && !servedversions.Equal(c.state.ServedVersions(), c.listing.versions.Record(c.now, c.leadingTerm)) {
		c.recordVersions()
	}
}

// recordVersions puts the versions into the log. A failure is ignored: the next read of the list repeats it.
func (c *Core) recordVersions() {
	record := c.listing.versions.Record(c.now, c.leadingTerm)
	if index, err := c.propose(controlstate.RecordServedVersions(record), 0, nil); err == nil {
		c.listing.versionsIndex, c.listing.proposedVersions = index, record
	}
}

// publishRecorded publishes the list to relays, without the back ends whose versions are not recorded yet. A new leader publishes
// none before all are recorded, since relays would drop the others.
func (c *Core) publishRecorded() {
	if !c.leading || !c.listing.isRead {
		return
	}
	if !c.listing.isPublished && len(c.withRecordedVersions(c.listing.considered)) < len(c.listing.considered) {
		return
	}
	c.choosePublished()
	c.listing.isPublished = true
	c.refreshListing()
}

// withRecordedVersions returns the back ends whose versions are recorded, and stay so with the record that was proposed last.
func (c *Core) withRecordedVersions(backEnds []*v1.ListedBackEnd) []*v1.ListedBackEnd {
	recorded, proposed := c.state.ServedVersions(), c.listing.proposedVersions
	return slices.DeleteFunc(slices.Clone(backEnds), func(backEnd *v1.ListedBackEnd) bool {
		version := servedversions.VersionOf(backEnd)
		return !servedversions.Contains(recorded, version) || !servedversions.Contains(proposed, version)
	})
}
