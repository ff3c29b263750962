package fleet

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAGatewaysDrainIsWaitedFor guards against killing gateways that still drain streams: the fleet once waited a
// fixed ten seconds, whatever drain_timeout the gateways had.
func TestAGatewaysDrainIsWaitedFor(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gateway-a.yaml")
	const settings = "name: a\nfleet: f\nzone: z\nlisten: 127.0.0.1:1\nadmin_listen: 127.0.0.1:2\ncontrollers: [\"127.0.0.1:3\"]\ndrain_timeout: 25s\n"
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	process, err := newProcess(Options{Directory: t.TempDir(), Serve: func(Role, string, string, ...string) []string { return nil }}, RoleGateway, path, "")
	require.NoError(t, err)
	require.Equal(t, 25*time.Second, process.drainTimeout)
}

// TestARelativeProgramIsFoundFromTheCurrentDirectory guards against a relative path that is looked up in the directory of the
// process's settings, where the program is not.
func TestARelativeProgramIsFoundFromTheCurrentDirectory(t *testing.T) {
	executable, err := os.Executable()
	require.NoError(t, err)
	t.Chdir(filepath.Dir(executable))
	log := filepath.Join(t.TempDir(), "log")
	program := "." + string(filepath.Separator) + filepath.Base(executable)
	process := NewProcess("a", program, []string{"-test.run=^$"}, filepath.Join(t.TempDir(), "settings.yaml"), log, "")
	require.NoError(t, process.Start())
	process.Stop()
	require.FileExists(t, log)
}
