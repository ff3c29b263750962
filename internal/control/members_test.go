package control

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// join starts a controller that requests admission from the others.
func (w *testCluster) join(name string) {
	w.controllers[name] = &testController{name: name, disk: Restored{DiskID: name + ".disk"}}
	w.start(name)
}

// memberRoles returns the role of each member, sorted by identity; leaders count as voters.
func (w *testCluster) memberRoles() string {
	var roles []string
	for _, row := range w.rowsOf("show members") {
		cells := strings.Split(row, "|")
		roles = append(roles, cells[0]+" "+strings.Replace(cells[3], "leader", "voter", 1))
	}
	slices.Sort(roles)
	return strings.Join(roles, ", ")
}

// TestReplaceMemberStepByStep replaces a voter that still runs by one on another machine. Each
// run of the same command takes the next step, and declarations are accepted all the time.
func TestReplaceMemberStepByStep(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.waitLeader()
	w.join("controller-4")
	w.until("admission", func() bool { return strings.Contains(w.memberRoles(), "controller-4.disk learner") })
	old := ""
	for _, name := range w.names {
		if w.controllers[name] != w.leader() {
			old = name + ".disk"
		}
	}
	command := `replace member "` + old + `" with "controller-4.disk" at 10.0.0.7:7400 zone zone-a`
	const administrator = v1.OperatorRole_OPERATOR_ROLE_ADMINISTRATOR
	steps := []struct{ request, message, old, replacement string }{
		{"vote", "step 2 of 3", "voter", "voter"},
		{"removal", "step 3 of 3", "", "voter"},
	}
	for revision, step := range steps {
		var response *v1.ExecuteResponse
		w.until(step.message, func() bool {
			var err error
			response, err = w.execute(step.request, "ana", administrator, command)
			return err == nil
		})
		require.Contains(t, response.Message, step.message)
		require.Equal(t, step.old != "", strings.Contains(w.memberRoles(), old+" voter"))
		require.Contains(t, w.memberRoles(), "controller-4.disk "+step.replacement)
		w.apply(step.request+" change", modelVersion(revision))
	}
	_, err := w.execute("again", "ana", administrator, command)
	require.ErrorContains(t, err, "is replaced by controller-4.disk already")
	_, err = w.execute("unknown", "ana", administrator, `replace member x with y at 10.0.0.7:7400`)
	require.ErrorContains(t, err, "show members")
	_, err = w.execute("new", "ana", administrator, `replace member "controller-4.disk" with y at 10.0.0.7:7400`)
	require.NoError(t, err)
	require.Contains(t, w.memberRoles(), "y learner")
}

// Guards against a vote that is shown before it is committed: the leader that shows it takes it along when it is lost, and
// the two controllers that are left have no quorum.
func TestShownVoteOutlivesItsLeader(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	leader := w.waitLeader()
	w.run(3 * time.Second)
	require.Equal(t, leader, w.leader())
	replaced := w.names[0]
	if w.controllers[replaced] == leader {
		replaced = w.names[1]
	}
	w.crash(replaced)
	w.controllers[replaced].disk = Restored{DiskID: replaced + ".second"}
	w.start(replaced)
	isShown := func() bool {
		roles := map[string]bool{}
		for _, member := range (&view{core: leader.core}).Members() {
			roles[member.Member.GetId()] = !member.Member.GetLearner()
		}
		_, hasFormer := roles[replaced+".disk"]
		return roles[replaced+".second"] && !hasFormer
	}
	for deadline := w.now + time.Minute; !isShown(); w.run(time.Millisecond) {
		require.Less(t, w.now, deadline, "no vote of the second disk within a minute")
	}
	w.lose = func(from, _ string) bool { return from == leader.name } // what it has not sent yet
	w.crash(leader.name)
	w.waitLeader()
}
