package fault_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// TestFilesAcceptEveryKind checks that the kinds accepted in files and requests are exactly the constants.
func TestFilesAcceptEveryKind(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "fault.go", nil, 0)
	require.NoError(t, err)
	var kinds []string
	ast.Inspect(file, func(node ast.Node) bool {
		declared, isValue := node.(*ast.ValueSpec)
		if !isValue {
			return true
		}
		if named, isName := declared.Type.(*ast.Ident); isName && named.Name == "Kind" {
			text, err := strconv.Unquote(declared.Values[0].(*ast.BasicLit).Value)
			require.NoError(t, err)
			kinds = append(kinds, text)
		}
		return true
	})
	require.NotEmpty(t, kinds)
	for _, key := range yamlfile.Keys(reflect.TypeFor[fault.Fault]()) {
		if key.Path == "kind" {
			require.ElementsMatch(t, kinds, key.AllowedValues)
		}
	}
	for _, kind := range kinds {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod("PUT")
		ctx.Request.SetBodyString(`[{"kind":"` + kind + `","count":1}]`)
		fault.NewSet().Serve(&ctx)
		require.Equal(t, fasthttp.StatusOK, ctx.Response.StatusCode(), kind)
	}
}

func TestServe(t *testing.T) {
	set := fault.NewSet()
	ask := func(method, body string) (int, string) {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(method)
		ctx.Request.SetBodyString(body)
		set.Serve(&ctx)
		return ctx.Response.StatusCode(), string(ctx.Response.Body())
	}
	status, _ := ask("PUT", `[{"kind":"late","count":1,"delay_ms":5}]`)
	require.Equal(t, fasthttp.StatusOK, status)
	status, body := ask("GET", "")
	require.Equal(t, fasthttp.StatusOK, status)
	require.JSONEq(t, `[{"kind":"late","count":1,"delay_ms":5}]`, body)
	for _, wrong := range []string{`{}`, `[{"kind":"refuze","count":1}]`, `[{"kind":"refuse","count":1},{}]`} {
		status, _ = ask("PUT", wrong)
		require.Equal(t, fasthttp.StatusBadRequest, status, wrong)
	}
	require.Len(t, set.Remaining(), 1, "wrong lists change nothing")
}

func TestStrikeCounts(t *testing.T) {
	set := fault.NewSet(fault.Fault{Kind: fault.Refuse, Count: 2}, fault.Fault{Kind: fault.Late, Count: fault.Always, DelayMs: 3})
	for _, want := range []bool{true, true, false} {
		_, strikes := set.Strike(fault.Refuse)
		require.Equal(t, want, strikes)
	}
	for range 5 {
		late, strikes := set.Strike(fault.Late)
		require.True(t, strikes)
		require.Equal(t, int64(3), late.Delay().Milliseconds())
	}
	require.Equal(t, map[fault.Kind]int{fault.Refuse: 2, fault.Late: 5}, set.StrikeCounts())
	require.Len(t, set.Remaining(), 1)
	_, found := set.Peek(fault.Refuse)
	require.False(t, found)
	set.Replace(nil)
	_, strikes := set.Strike(fault.Late)
	require.False(t, strikes)
}
