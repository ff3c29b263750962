package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// TestDirectoryVersionChangesWithContent changes one property at a time: the cached directory must get
// a new version for each change.
func TestDirectoryVersionChangesWithContent(t *testing.T) {
	serving := enginecontract.EngineState{Engine: "x", Incarnation: 1, State: enginecontract.StateServing, Role: enginecontract.RoleMixed, Model: "m", Version: "1"}
	for name, change := range map[string]func(tracker *Tracker, now time.Duration, state *enginecontract.EngineState){
		"state": func(_ *Tracker, _ time.Duration, state *enginecontract.EngineState) {
			state.State = enginecontract.StateDraining
		},
		"role": func(_ *Tracker, _ time.Duration, state *enginecontract.EngineState) {
			state.Role = enginecontract.RoleDecode
		},
		"model":       func(_ *Tracker, _ time.Duration, state *enginecontract.EngineState) { state.Model = "other" },
		"version":     func(_ *Tracker, _ time.Duration, state *enginecontract.EngineState) { state.Version = "2" },
		"adapters":    func(_ *Tracker, _ time.Duration, state *enginecontract.EngineState) { state.Adapters = []string{"a"} },
		"incarnation": func(_ *Tracker, _ time.Duration, state *enginecontract.EngineState) { state.Incarnation++ },
		"machine list": func(tracker *Tracker, now time.Duration, _ *enginecontract.EngineState) {
			leaving := engineRow("x", "s", "z")
			leaving.State = enginecontract.StateLeaving
			tracker.ApplyList(now, enginecontract.MachineList{Version: 2, Machines: []enginecontract.Machine{leaving}})
		},
		"new machine": func(tracker *Tracker, now time.Duration, _ *enginecontract.EngineState) {
			tracker.ApplyList(now, enginecontract.MachineList{Version: 2, Machines: []enginecontract.Machine{engineRow("x", "s", "z"), engineRow("y", "s", "z")}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New(Config{})
			tracker.ApplyList(0, enginecontract.MachineList{Version: 1, Machines: []enginecontract.Machine{engineRow("x", "s", "z")}})
			first := serving
			now := 3 * time.Second
			require.True(t, tracker.RecordState("x", now, &first))
			before, credible := tracker.Directory(now, "z")
			require.True(t, credible)
			require.Equal(t, v1.BackEndState_BACK_END_STATE_SERVING, before.BackEnds(now)[0].State)

			same := serving
			now += time.Second
			require.True(t, tracker.RecordState("x", now, &same))
			cached, _ := tracker.Directory(now, "z")
			require.Equal(t, before.Version, cached.Version, "the same content was read again")
			require.Zero(t, cached.Age, "the same content was read again just now")

			next := serving
			now += time.Second
			change(tracker, now, &next)
			require.True(t, tracker.RecordState("x", now, &next))
			after, _ := tracker.Directory(now, "z")
			require.NotEqual(t, before.Version, after.Version)
		})
	}
}
