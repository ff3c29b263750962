package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/servedversions"
)

// listedAt returns a list with one back end of each version.
func listedAt(versions ...string) []*v1.ListedBackEnd {
	listed := []*v1.ListedBackEnd{} // a nil list would be replaced by that of the site's engines
	for _, version := range versions {
		listed = append(listed, &v1.ListedBackEnd{Id: "at-" + version, Service: "s", Zone: "zone-a", Slots: 4, Software: version})
	}
	return listed
}

// statementOf asks a controller which versions can have begun streams; nil if it refuses.
func (w *testCluster) statementOf(controller *testController) *v1.VersionStatement {
	w.t.Helper()
	answer := w.call(controller, func(id CallID) Input { return VersionsRequested{Call: id} })
	if answer.Err != nil {
		return nil
	}
	return answer.Response.(*v1.ReadServedVersionsResponse).GetStatement()
}

// toldVersions sends a watch of a relay that holds nothing, and returns the versions of the back ends in the answer.
func (w *testCluster) toldVersions(controller *testController) (versions []string) {
	w.t.Helper()
	request := &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "relay", Incarnation: 7}, NoticeAddress: "relay:1", WaitMs: 1, Formats: formats.Supported().ToWire()}
	answer := w.call(controller, func(id CallID) Input { return WatchReceived{Call: id, Request: proto.CloneOf(request)} })
	if answer.Err != nil {
		return nil
	}
	response := answer.Response.(*v1.WatchResponse)
	if len(response.GetPackedListing()) == 0 {
		return nil
	}
	for _, backEnd := range wholeListing(w.t, response) {
		versions = append(versions, backEnd.GetSoftware())
	}
	return versions
}

// stated returns the versions of a statement, and for how long each has not been listed.
func stated(statement *v1.VersionStatement) map[string]time.Duration {
	versions := map[string]time.Duration{}
	for _, version := range statement.GetVersions() {
		versions[version.GetSoftware()] = time.Duration(version.GetUnlistedMs()) * time.Millisecond
	}
	return versions
}

func completeFor(statement *v1.VersionStatement) time.Duration {
	return time.Duration(statement.GetCompleteMs()) * time.Millisecond
}

// newVersionCluster returns a site's controllers that list a back end of each version.
func newVersionCluster(t *testing.T, versions ...string) (*testCluster, *siteEngines) {
	w := newTestCluster(t, 3, withSeeds)
	site := newSite(w, 0, 0)
	site.listOverride = listedAt(versions...)
	w.waitLeader()
	w.run(2 * time.Second)
	return w, site
}

// lossesOfLeaders are ways in which a leader loses what it has not recorded.
var lossesOfLeaders = map[string]func(*testCluster){
	"same leader":          func(*testCluster) {},
	"another leader":       func(w *testCluster) { w.waitLeaderOtherThan(w.leader()) },
	"the leader restarted": func(w *testCluster) { w.restart(w.leader()); w.run(2 * time.Second) },
	"all lost power": func(w *testCluster) {
		for _, each := range w.names {
			w.crash(each)
		}
		for _, each := range w.names {
			w.start(each)
		}
	},
}

// Guards against a statement that lacks a version which has left: relays would continue its streams at another one. It must outlive the
// leader and a loss of power at all controllers.
func TestStatementsNameVersionsThatHaveLeft(t *testing.T) {
	for name, lose := range lossesOfLeaders {
		t.Run(name, func(t *testing.T) {
			w, site := newVersionCluster(t, "v1", "v2")
			require.ElementsMatch(t, []string{"v1", "v2"}, w.toldVersions(w.leader()))
			site.listOverride = listedAt("v2")
			leftAt := w.now
			w.run(2 * time.Second)
			lose(w)
			w.waitLeader()
			w.run(2 * time.Second)
			statement := w.statementOf(w.leader())
			require.Contains(t, stated(statement), "v1")
			require.LessOrEqual(t, stated(statement)["v1"], w.now-leftAt)
			require.Equal(t, []string{"v2"}, w.toldVersions(w.leader()))
		})
	}
}

// Guards against a site on which streams of its only version are refused for as long as a stream can last, since its log is new.
func TestStatementsOfANewLogAreComplete(t *testing.T) {
	w, _ := newVersionCluster(t, "v1")
	statement := w.statementOf(w.leader())
	require.GreaterOrEqual(t, completeFor(statement), servedversions.Retention)
	require.Equal(t, map[string]time.Duration{"v1": 0}, stated(statement))
}

// Guards against a version that relays learn of before the log holds it: the next leader would not know that it has served.
func TestRelaysLearnOfNoVersionThatIsNotRecorded(t *testing.T) {
	w, site := newVersionCluster(t, "v1")
	leader := w.leader()
	w.lose = func(from, _ string) bool { return from != leader.name && from != "list" } // nothing is committed any more
	site.listOverride = listedAt("v1", "v2")
	for range 20 {
		w.run(50 * time.Millisecond)
		require.NotContains(t, w.toldVersions(leader), "v2")
	}
	w.lose = func(string, string) bool { return false }
	w.until("the new version", func() bool { return len(w.toldVersions(w.waitLeader())) == 2 })
}

// Guards against a version that relays learn of again while its removal from the log is under way: the next leader would not know it.
func TestRelaysLearnOfNoVersionThatIsBeingRemoved(t *testing.T) {
	w, site := newVersionCluster(t, "v1", "v2")
	site.listOverride = listedAt("v2")
	w.run(servedversions.Retention - time.Second)
	leader := w.leader()
	require.True(t, servedversions.Contains(leader.core.state.ServedVersions(), servedversions.Version{Service: "s", Software: "v1"}))
	for leader.core.listing.versionsIndex <= leader.core.applied {
		w.run(100 * time.Microsecond)
	}
	removal := leader.core.listing.versionsIndex
	site.listOverride = listedAt("v1", "v2")
	w.step(leader, ListingReceived{BackEnds: site.listOverride, Calls: 1, Complete: true})
	require.Less(t, leader.core.applied, removal, "the removal is under way")
	require.Len(t, leader.core.listing.published, 1, "relays would learn of a version that the log is about to lose")
	w.until("the version that is back", func() bool { return len(w.toldVersions(leader)) == 2 })
	require.Contains(t, stated(w.statementOf(w.waitLeaderOtherThan(leader))), "v1")
}

// Guards against a controller that states versions without being sure that it still leads.
func TestOnlyALeaderWithALeaseStatesVersions(t *testing.T) {
	w, _ := newVersionCluster(t, "v1")
	former := w.leader()
	for _, name := range w.names {
		if controller := w.controllers[name]; controller != former {
			require.Nil(t, w.statementOf(controller))
		}
	}
	former.cut = true
	w.until("the end of the lease", func() bool { return !former.core.consensus.HasValidLease(w.now) })
	require.Nil(t, w.statementOf(former))
}

// Guards against a statement that claims to be complete after a term in which a leader of a former build listed versions that it did not
// record, in an upgrade as well as on the way back and forth.
func TestStatementsAfterAFormerLeaderAreIncomplete(t *testing.T) {
	for _, formerFormat := range []formats.Number{formats.First, formats.Second, formats.Third, formats.Fourth} {
		t.Run(fmt.Sprint("format ", formerFormat), func(t *testing.T) {
			w, site := newVersionCluster(t, "v1")
			w.run(servedversions.Retention)
			require.GreaterOrEqual(t, completeFor(w.statementOf(w.leader())), servedversions.Retention)
			former := w.controllers[w.names[0]]
			former.formerFormat = formerFormat
			w.rebuild(former, 0)
			w.run(2 * time.Second)
			w.leadBy(former)
			site.listOverride = listedAt("v1", "v2")
			w.run(2 * time.Second)
			site.listOverride = listedAt("v1")
			w.run(2 * time.Second)
			endedAt := w.now
			leader := w.waitLeaderOtherThan(former)
			require.LessOrEqual(t, completeFor(w.statementOf(leader)), w.now-endedAt)
			w.rebuild(former, 0)
			w.run(2 * time.Second)
			leader = w.waitLeaderOtherThan(leader) // the next leader must not take the former one's versions for all either
			require.LessOrEqual(t, completeFor(w.statementOf(leader)), w.now-endedAt)
			w.run(servedversions.Retention)
			require.GreaterOrEqual(t, completeFor(w.statementOf(w.waitLeader())), servedversions.Retention)
		})
	}
}

// Guards against the same where the former leader listed versions before the log held its authority, and lost it again.
func TestStatementsAfterAFormerLeaderWithoutAuthorityAreIncomplete(t *testing.T) {
	w, site := newVersionCluster(t, "v1")
	former := w.controllers[w.names[0]]
	former.formerFormat = formats.Fourth
	w.rebuild(former, 0)
	w.run(2 * time.Second)
	for w.waitLeader() == former {
		w.waitLeaderOtherThan(former)
	}
	w.run(servedversions.Retention)
	require.GreaterOrEqual(t, completeFor(w.statementOf(w.leader())), servedversions.Retention)
	for !former.core.leading {
		leader := w.waitLeader()
		leader.cut = true
		for start := w.now; !former.core.leading && w.now-start < 5*time.Second && (w.leader() == nil || w.leader() == former); {
			w.run(100 * time.Microsecond)
		}
		leader.cut = false
	}
	w.lose = func(from, _ string) bool { return from == former.name }
	site.listOverride = listedAt("v1", "v2")
	w.until("a list with the new version", func() bool { return len(former.core.listing.considered) == 2 })
	require.True(t, former.core.consensus.HasValidLease(w.now), "the leader of the former build tells relays of the new version")
	site.listOverride = listedAt("v1")
	toldAt := w.now
	w.until("another leader", func() bool { return w.leader() != nil && w.leader() != former })
	w.lose = func(string, string) bool { return false }
	statement := w.statementOf(w.leader())
	require.True(t, stated(statement)["v2"] > 0 || completeFor(statement) <= w.now-toldAt, "%v", statement)
}

// leadBy changes leaders until the controller leads.
func (w *testCluster) leadBy(controller *testController) {
	w.t.Helper()
	for range 100 {
		leader := w.waitLeader()
		if leader == controller {
			return
		}
		w.waitLeaderOtherThan(leader)
	}
	w.t.Fatalf("%s does not become the leader", controller.name)
}

// versionHistory is what relays were told in a run, of which statements must not lack anything.
type versionHistory struct {
	*mixedBuilds
	site *siteEngines
	// toldAt is when a leader last told relays, or could have told them, of a back end of a version.
	toldAt map[string]time.Duration
	// complete is the number of statements that named all versions of a stream's longest life.
	complete int
}

// recordTold records what relays were told now. A leader of a former build tells what it has read, whether or not it is recorded.
func (h *versionHistory) recordTold() {
	for _, name := range h.names {
		controller := h.controllers[name]
		if controller.core == nil || controller.cut || !controller.core.leading || !controller.core.consensus.HasValidLease(h.now) {
			continue
		}
		told := controller.core.listing.published
		if controller.isFormer {
			told = controller.core.listing.considered
		}
		for _, backEnd := range told {
			h.toldAt[backEnd.GetSoftware()] = h.now
		}
	}
}

// checkStatement checks a statement of the leader against what relays were told.
func (h *versionHistory) checkStatement() {
	leader := h.leader()
	if leader == nil || leader.isFormer {
		return
	}
	statement := h.statementOf(leader)
	if statement == nil {
		return
	}
	complete, versions := min(completeFor(statement), servedversions.Retention), stated(statement)
	if complete == servedversions.Retention {
		h.complete++
	}
	for version, at := range h.toldAt {
		age := h.now - at
		if age >= complete {
			continue
		}
		require.Contains(h.t, versions, version, "told %v ago, the statement claims to be complete for %v", age, complete)
		require.LessOrEqual(h.t, versions[version], age+linkDelay, "said to be unlisted for longer than relays were told of it")
	}
}

// loseReader lets the leader read the list that has just changed while nothing that it sends reaches the others, and crashes it.
func (h *versionHistory) loseReader() {
	leader, reads := h.leader(), len(h.site.reads)
	if leader == nil || !h.areAllUp() {
		return
	}
	h.lose = func(from, _ string) bool { return from == leader.name }
	for end := h.now + 300*time.Millisecond; h.now < end && len(h.site.reads) == reads; h.recordTold() {
		h.run(time.Millisecond)
	}
	for range 10 {
		h.run(time.Millisecond)
		h.recordTold()
	}
	h.restart(leader)
	h.lose = func(string, string) bool { return false }
}

// areAllUp reports whether no fault is in force.
func (h *versionHistory) areAllUp() bool {
	for _, controller := range h.controllers {
		if controller.core == nil || controller.cut {
			return false
		}
	}
	return true
}

// Guards against a statement that lacks a version of which any leader, of this build or a former one, has told relays within the time for
// which the statement claims to be complete, while leaders are killed, cut off, upgraded and taken back.
func TestStatementsLackNoVersionThatRelaysWereTold(t *testing.T) {
	complete := 0
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := &versionHistory{mixedBuilds: newMixedBuilds(t, seed, formats.Fourth), toldAt: map[string]time.Duration{}}
			h.testCluster.config = func(config *Config) { config.SnapshotEntries, config.ListingInterval = 25, 200*time.Millisecond }
			h.site = newSite(h.testCluster, 0, 0)
			for _, name := range h.names {
				h.crash(name)
				h.start(name)
			}
			for step := range 600 {
				for range 10 {
					h.run(time.Duration(h.random.Int64N(int64(20 * time.Millisecond))))
					h.recordTold()
				}
				h.checkStatement()
				if h.random.IntN(8) == 0 {
					former := h.site.listOverride
					h.site.listOverride = listedAt(fmt.Sprint("v", step/8), fmt.Sprint("v", h.random.IntN(1+step/8)))[:1+h.random.IntN(2)]
					if h.random.IntN(2) == 0 {
						h.loseReader()
						h.site.listOverride = former
					}
				}
				if h.random.IntN(20) == 0 {
					h.injectFault()
				}
				if step == 300 { // without faults, for long enough to make statements complete
					for end := h.now + servedversions.Retention; h.now < end; h.recordTold() {
						h.run(100 * time.Millisecond)
					}
				}
			}
			complete += h.complete
		})
	}
	require.Positive(t, complete, "no statement was complete")
}
