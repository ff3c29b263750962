package importrules

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const modulePath = "github.com/hazelpitch/hazelpitch/"

// purePackages contain decision logic without I/O, clocks, goroutines or unseeded randomness.
var purePackages = []string{
	"internal/admission",
	"internal/authority",
	"internal/backpressure",
	"internal/cell",
	"internal/claims",
	"internal/consensus",
	"internal/control",
	"internal/controlstate",
	"internal/demand",
	"internal/duty",
	"internal/enginecontract",
	"internal/enginemodel",
	"internal/enginespeed",
	"internal/fleetlimit",
	"internal/gatewaystate",
	"internal/language",
	"internal/limits",
	"internal/listing",
	"internal/mechanism",
	"internal/membership",
	"internal/packed",
	"internal/placement",
	"internal/planner",
	"internal/quarantine",
	"internal/relay/replacement",
	"internal/replicaplan",
	"internal/returnplan",
	"internal/routing",
	"internal/safeguard",
	"internal/serving",
	"internal/shares",
	"internal/slotqueue",
	"internal/stageplan",
	"internal/streamorigin",
	"internal/subsetting",
	"internal/standin/engine/orders",
	"internal/truetime",
	"internal/usage",
	"internal/verdict",
}

// benchPackages are the packages of hazelbench, which product packages may not import.
var benchPackages = []string{
	"internal/benchcommand",
	"internal/enginemodel",
	"internal/experiment",
	"internal/fleet",
	"internal/gatewaycost",
	"internal/gatewayloss",
	"internal/leaderloss",
	"internal/load",
	"internal/measure",
	"internal/property",
	"internal/processrun",
	"internal/report",
	"internal/scenario",
	"internal/simulation",
	"internal/soak",
	"internal/standin",
	"internal/virtualtime",
	"platform/standin",
}

// impureImports must not appear in a pure package.
var impureImports = []string{"net", "net/http", "os", "crypto/rand", "sync", "github.com/valyala/fasthttp"}

// impureCalls must not appear in a pure package.
var impureCalls = []string{"time.Now", "time.Since", "time.After", "time.Sleep", "time.NewTimer", "time.NewTicker"}

// sourceFile is one parsed Go file other than a test.
type sourceFile struct {
	directory string // relative to the repository's root, with slashes
	path      string
	syntax    *ast.File
}

func TestProductDoesNotImportBench(t *testing.T) {
	for _, file := range sourceFiles(t) {
		if isBench(file.directory) {
			continue
		}
		for _, imported := range importPaths(t, file.syntax) {
			localPath, isLocal := strings.CutPrefix(imported, modulePath)
			require.False(t, isLocal && isBench(localPath), "%s imports %s, which belongs to the bench", file.path, imported)
		}
	}
}

func TestPurePackagesStayPure(t *testing.T) {
	for _, file := range sourceFiles(t) {
		if !slices.Contains(purePackages, file.directory) {
			continue
		}
		for _, imported := range importPaths(t, file.syntax) {
			require.NotContains(t, impureImports, imported, "%s is pure and may not import it", file.path)
		}
		for _, problem := range findImpureSyntax(file.syntax) {
			t.Errorf("%s is pure and may not use %s", file.path, problem)
		}
	}
}

func TestRulesCanFail(t *testing.T) {
	const source = `package p
import "time"
func f() { go f(); _ = time.Now() }`
	syntax, err := parser.ParseFile(token.NewFileSet(), "p.go", source, 0)
	require.NoError(t, err)
	require.Equal(t, []string{"a goroutine", "time.Now"}, findImpureSyntax(syntax))
}

func isBench(directory string) bool {
	if directory == "cmd/hazelbench" {
		return true
	}
	return slices.ContainsFunc(benchPackages, func(bench string) bool {
		return directory == bench || strings.HasPrefix(directory, bench+"/")
	})
}

func findImpureSyntax(file *ast.File) []string {
	var problems []string
	ast.Inspect(file, func(node ast.Node) bool {
		switch typed := node.(type) {
		case *ast.GoStmt:
			problems = append(problems, "a goroutine")
		case *ast.SelectorExpr:
			name, isName := typed.X.(*ast.Ident)
			if isName && slices.Contains(impureCalls, name.Name+"."+typed.Sel.Name) {
				problems = append(problems, name.Name+"."+typed.Sel.Name)
			}
		}
		return true
	})
	return problems
}

func importPaths(t *testing.T, file *ast.File) []string {
	t.Helper()
	var paths []string
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		require.NoError(t, err)
		paths = append(paths, path)
	}
	return paths
}

func sourceFiles(t *testing.T) []sourceFile {
	t.Helper()
	root := filepath.Join("..", "..")
	var files []sourceFile
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if path == filepath.Join(root, "target") {
			return fs.SkipDir // build output, not source code
		}
		if err != nil || entry.IsDir() {
			return err
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		syntax, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, filepath.Dir(path))
		files = append(files, sourceFile{directory: filepath.ToSlash(relative), path: path, syntax: syntax})
		return err
	})
	require.NoError(t, err)
	require.NotEmpty(t, files)
	return files
}
