package gateway

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCallersPageExplainsEachCode checks that the page for callers documents each refusal code and each special header.
func TestCallersPageExplainsEachCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	require.NoError(t, err)
	file, err := parser.ParseFile(token.NewFileSet(), "refusal.go", nil, 0)
	require.NoError(t, err)
	explained := 0
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !strings.HasPrefix(spec.Names[0].Name, "code") {
			return true
		}
		code, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		require.NoError(t, err)
		require.Contains(t, string(page), "| `"+code+"` |")
		explained++
		return true
	})
	require.Greater(t, explained, 15)
	for _, name := range []string{HeaderKind, headerReplayed, headerBodyOmitted} {
		require.Contains(t, string(page), "`"+name)
	}
}
