package events

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReferenceListsEveryEvent(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "EVENTS.md"))
	require.NoError(t, err)
	listed := 0
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		names, _, _ := strings.Cut(strings.TrimPrefix(line, "| "), " |")
		listed += strings.Count(names, "`") / 2
	}
	require.Equal(t, len(All), listed, "the page lists an event that is not written, or misses one")
	for _, event := range All {
		require.Contains(t, string(page), "`"+string(event)+"`")
	}
}
