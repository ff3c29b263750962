package controller

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// An operator's command dumps the log ring: the file has the entries and the operator's
// name, and no error is logged.
func TestDumpLogsWritesTheRing(t *testing.T) {
	directory := t.TempDir()
	log := logring.New("c1", settings.Log{RingEntries: 8, DumpDirectory: directory})
	go log.Run(t.Context())
	c := &controller{log: log}
	log.Info().Msg("earlier")
	c.execute(nil, control.DumpLogs{Operator: "ana"})
	var text []byte
	require.Eventually(t, func() bool {
		files, err := filepath.Glob(filepath.Join(directory, "c1-*"))
		if err != nil || len(files) != 1 {
			return false
		}
		text, err = os.ReadFile(files[0])
		return err == nil && bytes.Count(text, []byte("\n")) == 3 // header and two entries
	}, time.Minute, 5*time.Millisecond)
	require.Contains(t, string(text), "cause: request")
	require.Contains(t, string(text), "earlier")
	require.Contains(t, string(text), `"operator":"ana"`)
	require.NotContains(t, string(text), `"level":"error"`)
}
