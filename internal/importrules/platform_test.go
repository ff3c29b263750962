package importrules

import (
	"go/ast"
	"go/token"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// platformFolder is the only package that knows the protocol of the users' platform. standInFolder
// contains the stand-ins that implement the platform's side of it; no product code imports them
// (TestProductDoesNotImportBench).
const (
	platformFolder = "platform"
	standInFolder  = "platform/standin"
)

// platformNames are the platform's headers, paths and document fields, which must not appear in other
// packages. X-Kv-Source is left out, because the product's own contract with engines has a header of that
// name.
var platformNames = []string{
	"X-Tenant", "X-Duty-Holder", "X-Fencing-Token", "ApiKeys", "AllowAnonymous", "UsageWindowS", "usage_report", "/usage", "/scale",
	"X-Request-Id", "X-Request-Deadline-Ms", "X-Prompt-Prefix", "X-Server-Seal", "X-Expect-Instance", "X-Server-Load",
	"X-Not-Executed", "X-Instance-Id", "X-Model", "X-Token-Count", "X-Request-Priority", "X-Serving-Stage",
	"X-Weight-Versions", "X-Expect-Version", "X-Pin-Ms", "X-Kv-Hold", "X-Length-Hint", "X-Kv-Backup", "Kv-Fetch", "Last-Event-Id",
	"/api/ready", "/api/config", "/api/order", "/api/report", "/api/kv-", "/instances",
	"PrefillHandle", "NextPageToken", "TrafficSplit", "PathPrefix", "ColdRemainingMs", "TargetLatencyMs", "AllowResume",
	"StageSwitchS", "HandleTtlS", "KvTokenBytes",
}

func TestPlatformNamesStayInPlatformFolder(t *testing.T) {
	for _, file := range sourceFiles(t) {
		if file.directory == platformFolder || file.directory == standInFolder {
			continue
		}
		for _, text := range stringLiterals(t, file.syntax) {
			for _, name := range platformNames {
				require.False(t, strings.Contains(strings.ToLower(text), strings.ToLower(name)),
					"%s holds %q, which only %s/ may know", file.path, name, platformFolder)
			}
		}
	}
}

func TestPlatformFolderOnlyTranslates(t *testing.T) {
	found := false
	for _, file := range sourceFiles(t) {
		if file.directory != platformFolder {
			continue
		}
		found = true
		for _, imported := range importPaths(t, file.syntax) {
			require.NotContains(t, []string{"math/rand", "math/rand/v2", "crypto/rand", "sync"}, imported, "%s only translates", file.path)
		}
		for _, problem := range findImpureSyntax(file.syntax) {
			t.Errorf("%s only translates and may not use %s", file.path, problem)
		}
	}
	require.True(t, found)
}

// stringLiterals returns the string literals of a file, without its imports.
func stringLiterals(t *testing.T, file *ast.File) []string {
	t.Helper()
	var texts []string
	ast.Inspect(file, func(node ast.Node) bool {
		if _, isImport := node.(*ast.ImportSpec); isImport {
			return false
		}
		literal, is := node.(*ast.BasicLit)
		if !is || literal.Kind != token.STRING {
			return true
		}
		text, err := strconv.Unquote(literal.Value)
		require.NoError(t, err)
		texts = append(texts, text)
		return true
	})
	return texts
}
