package importrules

import (
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// answerReaders are the packages that decide what is an answer of HTTP/1.1, and may use the libraries' own readers and transports.
var answerReaders = []string{"internal/http1/answerhead", "internal/http1/framing", "internal/http1/checkedconn"}

// lenientReaders are functions and methods of libraries that take answers which break the grammar.
var lenientReaders = []string{
	"http.ReadResponse", "http.Get", "http.Post", "http.PostForm", "http.Head", "http.DefaultClient", "http.DefaultTransport", "httputil.NewChunkedReader",
	"fasthttp.Do", "fasthttp.DoTimeout", "fasthttp.DoDeadline", "fasthttp.Get", "fasthttp.GetTimeout", "fasthttp.GetDeadline", "fasthttp.Post",
	".ReadLimitBody", ".ReadBody",
}

// uncheckedTransports are types whose values read answers leniently unless they get checked connections.
var uncheckedTransports = []string{"http.Transport", "fasthttp.Client", "fasthttp.HostClient"}

// checkedTransportFiles build such values with checked connections, or for HTTP/2.
var checkedTransportFiles = []string{
	"internal/controller/engines.go", "internal/controller/transport.go", "internal/gatewaycost/caller.go", "internal/leaderwatch/watcher.go",
	"internal/load/client.go", "internal/standin/engine/process.go", "internal/upstream/client.go",
}

// Guards against another reader of answers beside internal/http1: what is an answer is decided in one place.
func TestAnswersAreReadInOnePlace(t *testing.T) {
	files := sourceFiles(t)
	isChecking := map[string]bool{} // by directory
	for _, file := range files {
		isChecking[file.directory] = isChecking[file.directory] || importsChecks(t, file)
	}
	for _, file := range files {
		if slices.Contains(answerReaders, file.directory) || strings.HasPrefix(file.directory, "review") {
			continue
		}
		path := strings.TrimPrefix(file.path, "../../")
		for _, found := range findLenientReaders(file.syntax) {
			t.Errorf("%s reads answers with %s; use internal/http1", path, found)
		}
		if transports := findTransports(file.syntax); len(transports) > 0 {
			require.Contains(t, checkedTransportFiles, path, "it builds %v; use internal/http1/checkedconn", transports)
			require.True(t, isChecking[file.directory], "%s builds %v without checks", path, transports)
		}
	}
}

func TestAnswerReaderRulesCanFail(t *testing.T) {
	const source = `package p
import ("net/http"; "github.com/valyala/fasthttp")
var t = &http.Transport{}
var c = http.Client{}
func f(r *fasthttp.Response) { http.Get(""); r.ReadLimitBody(nil, 0) }`
	syntax, err := parser.ParseFile(token.NewFileSet(), "p.go", source, 0)
	require.NoError(t, err)
	require.Equal(t, []string{"http.Client without a transport", "http.Get", ".ReadLimitBody"}, findLenientReaders(syntax))
	require.Equal(t, []string{"http.Transport"}, findTransports(syntax))
}

// importsChecks reports whether a file imports a package of internal/http1.
func importsChecks(t *testing.T, file sourceFile) bool {
	return slices.ContainsFunc(importPaths(t, file.syntax), func(path string) bool { return strings.HasPrefix(path, modulePath+"internal/http1/") })
}

// findLenientReaders returns the uses of lenient readers in a file.
func findLenientReaders(file *ast.File) []string {
	var found []string
	ast.Inspect(file, func(node ast.Node) bool {
		switch typed := node.(type) {
		case *ast.SelectorExpr:
			if name, isName := typed.X.(*ast.Ident); isName && slices.Contains(lenientReaders, name.Name+"."+typed.Sel.Name) {
				found = append(found, name.Name+"."+typed.Sel.Name)
			} else if slices.Contains(lenientReaders, "."+typed.Sel.Name) {
				found = append(found, "."+typed.Sel.Name)
			}
		case *ast.CompositeLit:
			if typeName(typed) == "http.Client" && !hasField(typed, "Transport") {
				found = append(found, "http.Client without a transport")
			}
		}
		return true
	})
	return found
}

// findTransports returns the unchecked transports that a file builds.
func findTransports(file *ast.File) []string {
	var found []string
	ast.Inspect(file, func(node ast.Node) bool {
		if literal, isLiteral := node.(*ast.CompositeLit); isLiteral && slices.Contains(uncheckedTransports, typeName(literal)) {
			found = append(found, typeName(literal))
		}
		return true
	})
	return found
}

// typeName returns the type of a literal as package and name; empty for other types.
func typeName(literal *ast.CompositeLit) string {
	if selector, isSelector := literal.Type.(*ast.SelectorExpr); isSelector {
		if name, isName := selector.X.(*ast.Ident); isName {
			return name.Name + "." + selector.Sel.Name
		}
	}
	return ""
}

// hasField reports whether a literal sets a field.
func hasField(literal *ast.CompositeLit, name string) bool {
	return slices.ContainsFunc(literal.Elts, func(element ast.Expr) bool {
		pair, isPair := element.(*ast.KeyValueExpr)
		if !isPair {
			return false
		}
		key, isName := pair.Key.(*ast.Ident)
		return isName && key.Name == name
	})
}
