package importrules

import (
	"go/ast"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// decidingFolders decide on requests, engines, membership or leadership while the time of day may
// jump.
var decidingFolders = []string{
	"internal/relay", "internal/leaderwatch", "internal/usage", "internal/duty", "internal/replicaplan", "internal/truetime", "internal/placement", "internal/cell", "internal/listing", "internal/subsetting", "internal/stageplan", "internal/control", "internal/controller",
	"internal/consensus", "internal/membership", "internal/authority", "internal/dialing", "internal/pause", "platform",
}

// clockOrigins are the only places there that look at the clock: what they keep of it is the
// steady reading, to which durations are added.
// core_config.go takes the time of day once, at the start, for what operators read. time_of_day.go
// reads it for internal/truetime, which alone makes of it a time that counts.
var clockOrigins = []string{
	"internal/relay/clock.go", "internal/controller/controller.go", "internal/controller/syncer.go", "internal/controller/core_config.go",
	"internal/controller/time_of_day.go",
}

// timeOfDay are methods of time.Time that drop the steady reading.
var timeOfDay = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "UTC", "Local", "In"}

// The time of day of a machine may jump by seconds in either direction. No decision looks at it.
func TestNoDecisionLooksAtTheTimeOfDay(t *testing.T) {
	seen := 0
	for _, file := range sourceFiles(t) {
		if !slices.Contains(decidingFolders, file.directory) {
			continue
		}
		seen++
		path := strings.TrimPrefix(filepath.ToSlash(file.path), "../../")
		ast.Inspect(file.syntax, func(node ast.Node) bool {
			call, is := node.(*ast.CallExpr)
			if !is {
				return true
			}
			selector, is := call.Fun.(*ast.SelectorExpr)
			if !is {
				return true
			}
			if receiver, named := selector.X.(*ast.Ident); named && receiver.Name == "time" {
				if selector.Sel.Name == "Now" {
					require.Contains(t, clockOrigins, path, "time.Now outside the origins of steady clocks")
				}
				return true
			}
			if slices.Contains(timeOfDay, selector.Sel.Name) && len(call.Args) <= 1 {
				require.Contains(t, clockOrigins, path, "%s drops the steady reading", selector.Sel.Name)
			}
			return true
		})
	}
	require.Greater(t, seen, len(decidingFolders))
}
