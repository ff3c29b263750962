package importrules

import (
	"go/ast"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// clockCheckedFolders make decisions on requests, engines, membership or leadership, which must stay right
// when the time of day jumps.
var clockCheckedFolders = []string{
	"internal/relay", "internal/leaderwatch", "internal/usage", "internal/duty", "internal/replicaplan", "internal/truetime", "internal/placement", "internal/cell", "internal/listing", "internal/subsetting", "internal/stageplan", "internal/control", "internal/controller",
	"internal/consensus", "internal/membership", "internal/authority", "internal/dialing", "internal/pause", "platform",
}

// allowedClockReaders are the only files in these packages that may read the clock. They keep the
// monotonic reading and add durations to it. Two of them use the time of day: core_config.go reads it
// once at the start, for values that operators read, and time_of_day.go reads it for internal/truetime,
// the only package that derives a time for decisions from it.
var allowedClockReaders = []string{
	"internal/relay/clock.go", "internal/controller/controller.go", "internal/controller/syncer.go", "internal/controller/core_config.go",
	"internal/controller/time_of_day.go",
}

// wallClockMethods are the methods of time.Time that drop the monotonic reading.
var wallClockMethods = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "UTC", "Local", "In"}

// TestDecisionsUseMonotonicTime checks that packages with decisions read the clock only in allowedClockReaders. A
// machine's time of day may jump by seconds in either direction, so no decision may depend on it.
func TestDecisionsUseMonotonicTime(t *testing.T) {
	checked := 0
	for _, file := range sourceFiles(t) {
		if !slices.Contains(clockCheckedFolders, file.directory) {
			continue
		}
		checked++
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
					require.Contains(t, allowedClockReaders, path, "time.Now outside the files that may read the clock")
				}
				return true
			}
			if slices.Contains(wallClockMethods, selector.Sel.Name) && len(call.Args) <= 1 {
				require.Contains(t, allowedClockReaders, path, "%s drops the monotonic reading", selector.Sel.Name)
			}
			return true
		})
	}
	require.Greater(t, checked, len(clockCheckedFolders))
}
