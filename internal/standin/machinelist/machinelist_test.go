package machinelist

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

var machines = []enginecontract.Machine{
	{Name: "a", Service: "s", Zone: "z", Address: "127.0.0.1:1", State: enginecontract.StateServing},
	{Name: "b", Service: "s", Zone: "z", Address: "127.0.0.1:2", State: enginecontract.StateServing},
}

func start(t *testing.T, lag time.Duration) *Server {
	t.Helper()
	list, err := Start(Config{Address: "127.0.0.1:0", Lag: lag}, machines)
	require.NoError(t, err)
	t.Cleanup(list.Close)
	return list
}

func fetchList(t *testing.T, list *Server) enginecontract.MachineList {
	t.Helper()
	response, err := http.Get("http://" + list.Address() + enginecontract.PathMachines)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var published enginecontract.MachineList
	require.NoError(t, json.NewDecoder(response.Body).Decode(&published))
	return published
}

func TestChangesMakeVersions(t *testing.T) {
	list := start(t, -1)
	require.Equal(t, enginecontract.MachineList{Version: 1, Machines: machines}, fetchList(t, list))
	require.True(t, list.SetState("b", enginecontract.StateLeaving))
	require.False(t, list.SetState("nobody", enginecontract.StateLeaving))
	published := fetchList(t, list)
	require.Equal(t, uint64(2), published.Version)
	require.Equal(t, enginecontract.StateLeaving, published.Machines[1].State)
	require.True(t, list.RemoveMachine("b"))
	require.False(t, list.RemoveMachine("b"))
	list.AddMachine(enginecontract.Machine{Name: "c"})
	published = fetchList(t, list)
	require.Equal(t, uint64(4), published.Version)
	require.Equal(t, []string{"a", "c"}, []string{published.Machines[0].Name, published.Machines[1].Name})
}

func TestListLags(t *testing.T) {
	list := start(t, time.Hour)
	require.True(t, list.RemoveMachine("a"))
	require.Equal(t, uint64(1), fetchList(t, list).Version, "the change is not an hour old")
	list.SetLag(-1)
	require.Equal(t, uint64(2), fetchList(t, list).Version)
}

func TestOtherPathsAreRefused(t *testing.T) {
	response, err := http.Get("http://" + start(t, -1).Address() + "/else")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusNotFound, response.StatusCode)
}
