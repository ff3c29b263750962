package fleet

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/zonedelay"
)

// startRawabiStandIns starts the stand-ins of the Rawabi deployment with a partitioner for cut-offs and without processes.
func startRawabiStandIns(t *testing.T) *Fleet {
	t.Helper()
	description, err := LoadDescription(filepath.Join(deployments, "rawabi"))
	require.NoError(t, err)
	reserved, err := reserveFreeNetwork()
	require.NoError(t, err)
	t.Cleanup(reserved.release)
	description.Faults = []Fault{{Fault: FaultCutOff, Zone: "amman-hall-a", Length: time.Hour}}
	description = description.OnNetwork(reserved.network)
	standIns, err := StartStandIns(description, enginemodel.DefaultProfile())
	require.NoError(t, err)
	t.Cleanup(standIns.Close)
	return &Fleet{Description: description, StandIns: standIns, cuts: &networkCuts{gate: standIns.topology.Gate()}}
}

func TestTargets(t *testing.T) {
	started := startRawabiStandIns(t)
	count := func(fault Fault) int {
		found, err := started.resolveTargets(fault)
		require.NoError(t, err)
		return len(found)
	}
	require.Equal(t, 1, count(Fault{Fault: FaultKill, Process: "lot-assessor-amman-hall-a-1"}))
	require.Equal(t, 1, count(Fault{Fault: FaultPause, Process: "yard-portal-amman-hall-b-1"}))
	require.Equal(t, 1, count(Fault{Fault: FaultCutOff, Process: MachineListName}))
	require.Equal(t, 7, count(Fault{Fault: FaultKill, Zone: "amman-hall-a"}), "six engines and a page service")
	_, err := started.resolveTargets(Fault{Fault: FaultKill, Process: WeightStoreName})
	require.ErrorContains(t, err, "weight-store supports only cut-off")
	_, err = started.resolveTargets(Fault{Fault: FaultKill, Process: "nobody"})
	require.ErrorContains(t, err, `no process "nobody"`)
}

func TestKillAndRestart(t *testing.T) {
	started := startRawabiStandIns(t)
	fault := Fault{Fault: FaultKill, Process: "lot-assessor-amman-hall-a-1", Length: time.Millisecond}
	targets, err := started.resolveTargets(fault)
	require.NoError(t, err)
	target := started.StandIns.Engine(fault.Process)
	before, _ := target.State()
	require.NoError(t, started.inject(t.Context(), fault, targets))
	after, running := target.State()
	require.True(t, running)
	require.Equal(t, before.Incarnation+1, after.Incarnation)

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, started.inject(ended, fault, targets), "the target stays down when the context ends")
	_, running = target.State()
	require.False(t, running)
}

// Guards against commands with a mode that have no effect, or that cut the datagrams and connections of the whole network
// instead of the connections that the process opens.
func TestApplyCutCommandsToDials(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.9.7:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	network, dials := zonedelay.NewPartitioner(netip.MustParsePrefix("127.0.0.0/8")), zonedelay.NewDialCuts()
	dial := dials.WrapDial((&net.Dialer{}).DialContext, address.Port())
	tryToDial := func() error {
		connection, err := dial(t.Context(), "tcp", address.String())
		if err == nil {
			_ = connection.Close()
		}
		return err
	}
	begin := `{"number":1,"group":["127.0.9.7/32"],"mode":"refuse-new"}`
	require.NoError(t, ApplyCutCommands(strings.NewReader(begin), CutTargets{Gate: network, Dials: dials}))
	require.ErrorIs(t, tryToDial(), syscall.ECONNREFUSED)
	require.NoError(t, ApplyCutCommands(strings.NewReader(`{"number":2,"group":["127.0.9.7/32"],"mode":"hang"}{"number":2,"group":[]}`), CutTargets{Gate: network, Dials: dials}))
	require.ErrorIs(t, tryToDial(), syscall.ECONNREFUSED)

	healed := zonedelay.NewDialCuts()
	dial = healed.WrapDial((&net.Dialer{}).DialContext, address.Port())
	require.NoError(t, ApplyCutCommands(strings.NewReader(begin+`{"number":1,"group":[]}`), CutTargets{Gate: network, Dials: healed}))
	require.NoError(t, tryToDial())
	require.Error(t, ApplyCutCommands(strings.NewReader(begin), CutTargets{Gate: network}))
}

// TestApplyCutCommands cuts an engine off with the commands that a fleet writes to processes.
func TestApplyCutCommands(t *testing.T) {
	started := startRawabiStandIns(t)
	target := started.StandIns.Engine("lot-assessor-amman-hall-a-1").Address()
	address := netip.MustParseAddrPort(target).Addr().String()
	commands, input := io.Pipe()
	applied := make(chan error, 1)
	go func() { applied <- ApplyCutCommands(commands, CutTargets{Gate: started.StandIns.topology.Gate()}) }()

	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(started.Description.ClientAddress())}}
	connection, err := dialer.Dial("tcp", target)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	sendRequest := func() {
		_, err := io.WriteString(connection, "GET /control/state HTTP/1.1\r\nHost: engine\r\n\r\n")
		require.NoError(t, err)
	}
	buffer := make([]byte, 4096)
	requireAnswer := func() {
		count, err := connection.Read(buffer)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(string(buffer[:count]), "HTTP/1.1 200"), string(buffer[:count]))
	}
	sendCommand := func(line string) {
		_, err := io.WriteString(input, line+"\n")
		require.NoError(t, err)
		// The pipe accepts a second line only once the decoder has read the first.
		_, err = io.WriteString(input, "\n")
		require.NoError(t, err)
	}
	sendRequest()
	requireAnswer()
	sendCommand(`{"number":1,"group":["` + address + `/32"]}`)
	sendCommand(`{"number":9,"group":[]}`)
	sendRequest()
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(30*time.Millisecond)))
	_, err = connection.Read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, connection.SetReadDeadline(time.Time{}))
	sendCommand(`{"number":1,"group":[]}`)
	requireAnswer()

	require.NoError(t, input.Close())
	require.NoError(t, <-applied)
}
