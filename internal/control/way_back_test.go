package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/formats"
)

// rollout is a cluster whose controllers are replaced by those of another build, one after the other.
type rollout struct {
	*testCluster
	// number is that of the last acknowledged document.
	number uint64
}

// newRollout returns a cluster of controllers of a former format.
func newRollout(t *testing.T, former formats.Number, snapshotEntries uint64) *rollout {
	r := &rollout{testCluster: newTestCluster(t, 3, func(config *Config) { config.SnapshotEntries = snapshotEntries })}
	for _, name := range r.names {
		r.controllers[name].formerFormat = former
		r.rebuild(r.controllers[name], 0)
	}
	r.run(time.Second)
	r.putDocuments()
	return r
}

// replace replaces controllers in an order, and changes the document after each.
func (r *rollout) replace(names []string) {
	r.t.Helper()
	for _, name := range names {
		r.rebuild(r.controllers[name], 100*time.Millisecond)
		r.run(2 * time.Second)
		r.putDocuments()
	}
}

// putDocuments changes the document ten times, so that short snapshot intervals elapse, and checks that each change is
// acknowledged and reaches all controllers.
func (r *rollout) putDocuments() {
	r.t.Helper()
	for range 10 {
		r.number++
		require.NoError(r.t, r.putDocument(r.waitLeader(), r.number, fmt.Sprint("content ", r.number)).Err)
	}
	r.run(2 * time.Second)
	for _, name := range r.names {
		core := r.controllers[name].core
		require.False(r.t, core.halted, name)
		require.Equal(r.t, r.number, core.State().Document().GetNumber(), name)
	}
}

// Guards against a rollout that cannot be taken back: a controller of the build before, whose newest format is 1, halted
// on an agreement on format 2 in the log or the snapshot of a disk that it took over. The rollout goes forward in either
// order, stops after any number of controllers, goes back in either order, and goes forward again.
func TestControllersOfFormerBuildsTakeOverEveryDisk(t *testing.T) {
	for _, former := range []formats.Number{formats.First, formats.Second} {
		for place, snapshotEntries := range map[string]uint64{"log": 1000, "snapshot": 7} {
			for variant := range 12 {
				replaced, forwardReversed, backReversed := 1+variant/4, variant%2 == 1, variant/2%2 == 1
				name := fmt.Sprintf("format %d/%s/%d replaced/forward reversed %t, back reversed %t", former, place, replaced, forwardReversed, backReversed)
				t.Run(name, func(t *testing.T) {
					r := newRollout(t, former, snapshotEntries)
					upgraded := inOrder(r.names, forwardReversed)[:replaced]
					r.replace(upgraded)
					r.run(5 * time.Second)
					r.replace(inOrder(upgraded, backReversed))
					r.replace(inOrder(r.names, forwardReversed))
				})
			}
		}
	}
}

// inOrder returns names in their own or in the reverse order.
func inOrder(names []string, isReversed bool) []string {
	names = slices.Clone(names)
	if isReversed {
		slices.Reverse(names)
	}
	return names
}

// Guards against a log that stays on a format that the build before does not know: a former build had agreed on format 2,
// which adds nothing to the log. The leader agrees on format 1, also beside controllers that announce format 2, and the
// build before takes over disks whose snapshots cover that agreement.
func TestAnAgreementThatNothingNeedsIsEnded(t *testing.T) {
	r := &rollout{testCluster: newTestCluster(t, 3, func(config *Config) { config.SnapshotEntries = 7 })}
	r.waitFormat(formats.NewestStored)
	r.waitLeader().core.proposeAgreement(formats.Third)
	r.until("the agreement of the former build", func() bool { return r.leader().core.State().AgreedFormat() == formats.Third })
	for _, name := range r.names {
		r.controllers[name].formerFormat = formats.Second
		if r.controllers[name] != r.leader() {
			r.controllers[name].advertised = formats.Supported().ToWire()
		}
	}
	r.waitFormat(formats.NewestStored)
	r.putDocuments()
	r.requireEqualStates()
	r.waitFormat(formats.NewestStored)
	r.replace(r.names)
}
