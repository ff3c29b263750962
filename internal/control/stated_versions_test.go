package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/servedversions"
)

// listVersions makes the external list show one back end of each software version.
func (s *siteEngines) listVersions(versions ...string) {
	s.listOverride = []*v1.ListedBackEnd{}
	for _, version := range versions {
		s.listOverride = append(s.listOverride, &v1.ListedBackEnd{Id: "i-" + version, Service: "s", Zone: "zone-1", Slots: 8, Software: version})
	}
}

// namedVersions asks a controller which versions can have begun streams; nil if it does not say.
func (w *testCluster) namedVersions(controller *testController) map[string]bool {
	if controller.core == nil {
		return nil
	}
	answer := w.answers[w.send(controller, func(id CallID) Input { return VersionsRequested{Call: id} })]
	response, isStatement := answer.Response.(*v1.ReadServedVersionsResponse)
	if answer.Err != nil || !isStatement {
		return nil
	}
	stated := map[string]bool{}
	for _, version := range response.GetStatement().GetVersions() {
		stated[version.GetSoftware()] = true
	}
	return stated
}

// publishedVersions returns the versions of the back ends that a leader sends to relays.
func (c *testController) publishedVersions() (versions []string) {
	if c.core == nil || !c.core.leading {
		return nil
	}
	for _, backEnd := range c.core.listing.published {
		versions = append(versions, backEnd.GetSoftware())
	}
	return versions
}

// isPublished reports whether a leader sends back ends of a version to relays.
func (w *testCluster) isPublished(version string) bool {
	return slices.ContainsFunc(w.names, func(name string) bool { return slices.Contains(w.controllers[name].publishedVersions(), version) })
}

// cutOff cuts controllers off from the other controllers; they still read the list, and relays reach them.
func (w *testCluster) cutOff(names ...string) {
	isCut := map[string]bool{}
	for _, name := range names {
		isCut[name] = true
	}
	w.lose = func(from, to string) bool {
		return w.controllers[from] != nil && w.controllers[to] != nil && isCut[from] != isCut[to]
	}
}

// Guards against a deposed leader that relays still reach and that states one version after the next leader has listed another one.
func TestADeposedLeaderStatesNoVersions(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	site := newSite(w, 0, 0)
	site.listVersions("v1")
	former := w.waitLeader()
	w.until("statement", func() bool { return w.namedVersions(former)["v1"] })
	w.cutOff(former.name)
	site.listVersions("v1", "v2")
	w.until("a next leader that lists the new version", func() bool {
		isPublished := w.isPublished("v2")
		if stated := w.namedVersions(former); isPublished {
			require.Nil(t, stated, "the former leader states %v", stated)
		}
		return isPublished
	})
	require.NotEqual(t, former, w.leader())
	for range 1000 {
		w.run(10 * time.Millisecond)
		require.Nil(t, w.namedVersions(former))
		require.NotContains(t, former.publishedVersions(), "v2", "it cannot record the version")
	}
	w.cutOff()
	w.until("statement of the next leader", func() bool { return w.namedVersions(w.waitLeader())["v2"] })
}

// Guards against a leader that stood still and answers a relay before it knows that another leader has listed another version.
func TestALeaderThatStoodStillStatesNoVersions(t *testing.T) {
	for name, test := range map[string]struct {
		without  []safeguard.Safeguard
		isStated bool
	}{"with leases": {nil, false}, "without leases and checks of the quorum": {[]safeguard.Safeguard{SafeguardLeaseRead, consensus.SafeguardQuorumCheck}, true}} {
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t, 3, func(config *Config) {
				withSeeds(config)
				config.Safeguards = safeguard.Without(test.without...)
			})
			site := newSite(w, 0, 0)
			site.listVersions("v1")
			former := w.waitLeader()
			w.until("statement", func() bool { return w.namedVersions(former)["v1"] })
			former.cut = true
			former.incarnation++ // it gets no more ticks
			site.listVersions("v1", "v2")
			w.until("a next leader that lists the new version", func() bool { return w.isPublished("v2") })
			stated := w.namedVersions(former)
			require.Equal(t, test.isStated, stated != nil)
			require.False(t, stated["v2"])
		})
	}
}

// Guards against a statement that lacks a version which a leader has sent to relays, under changes of leaders, cuts between controllers,
// crashes, and changes of the list.
func TestStatementsIncludeEveryVersionThatRelaysWereSent(t *testing.T) {
	const steps, step = 6000, 10 * time.Millisecond
	statements, changes := 0, 0
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 81))
			w := newTestCluster(t, 3, withSeeds)
			site := newSite(w, 0, 0)
			site.listVersions("v1")
			sentAt := map[string]time.Duration{}
			lastLeader := ""
			for range steps {
				if random.IntN(100) == 0 {
					w.disturbVersions(site, random)
				}
				w.run(step)
				for _, name := range w.names {
					for _, version := range w.controllers[name].publishedVersions() {
						sentAt[version] = w.now
					}
				}
				for _, name := range w.names {
					stated := w.namedVersions(w.controllers[name])
					if stated == nil {
						continue
					}
					statements++
					if lastLeader != name {
						lastLeader = name
						changes++
					}
					for version, at := range sentAt {
						require.True(t, stated[version] || w.now-at >= servedversions.Retention, "at %v, %s states %v; %s was sent at %v", w.now, name, stated, version, at)
					}
				}
			}
		})
	}
	t.Logf("%d statements, %d changes of the leader", statements, changes)
	require.Greater(t, statements, 20*steps/4)
	require.Greater(t, changes, 20)
}

// disturbVersions changes the list, or cuts off, crashes or reconnects controllers.
func (w *testCluster) disturbVersions(site *siteEngines, random *rand.Rand) {
	switch random.IntN(5) {
	case 0, 1:
		var versions []string
		for number := range 4 {
			if random.IntN(2) == 0 {
				versions = append(versions, fmt.Sprint("v", number+1))
			}
		}
		site.listVersions(versions...)
	case 2:
		if leader := w.leader(); leader != nil {
			w.cutOff(leader.name)
		}
	case 3:
		w.cutOff()
	case 4:
		for _, name := range w.names { // one at a time, so that a quorum keeps its disks in use
			if w.controllers[name].core == nil {
				return
			}
		}
		w.restart(w.controllers[w.names[random.IntN(len(w.names))]])
	}
}
