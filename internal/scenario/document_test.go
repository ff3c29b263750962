package scenario_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// formatPage is the page that describes scenario files.
func formatPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "docs", "SCENARIOS.md"))
	require.NoError(t, err)
	return string(text)
}

// documentedKey is a key of the format with its struct tag.
type documentedKey struct {
	path string
	tag  reflect.StructTag
	leaf bool
}

// keysOf lists the keys of a struct and of the groups in it.
func keysOf(of reflect.Type, prefix string) []documentedKey {
	var keys []documentedKey
	for index := range of.NumField() {
		field := of.Field(index)
		name := field.Tag.Get("yaml")
		if name == "" {
			continue
		}
		path, inner := prefix+name, field.Type
		leaf := inner.Kind() != reflect.Struct
		if inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct {
			keys = append(keys, keysOf(inner.Elem(), path+"[].")...)
		}
		if inner.Kind() == reflect.Struct {
			keys = append(keys, keysOf(inner, path+".")...)
		}
		keys = append(keys, documentedKey{path: path, tag: field.Tag, leaf: leaf})
	}
	return keys
}

func TestEveryKeyIsDocumented(t *testing.T) {
	page := formatPage(t)
	for _, key := range keysOf(reflect.TypeFor[scenario.Scenario](), "") {
		if !key.leaf {
			continue
		}
		row := regexp.MustCompile(fmt.Sprintf("(?m)^\\| `%s` \\| (.*?) \\|", regexp.QuoteMeta(key.path))).FindStringSubmatch(page)
		require.NotNil(t, row, "docs/SCENARIOS.md has no row of %s", key.path)
		if value, found := key.tag.Lookup("default"); found {
			require.Equal(t, "`"+value+"`", row[1], "default of %s", key.path)
		}
		required := strings.Contains(key.tag.Get("check"), "required")
		require.Equal(t, required, row[1] == "required", "%s is told to be required", key.path)
	}
}

func TestEveryDocumentedKeyExists(t *testing.T) {
	known := map[string]bool{}
	for _, key := range keysOf(reflect.TypeFor[scenario.Scenario](), "") {
		known[key.path] = true
	}
	rows := regexp.MustCompile("(?m)^\\| `([a-z_]+(?:\\[\\])?\\.[^`]*)` \\|").FindAllStringSubmatch(formatPage(t), -1)
	require.NotEmpty(t, rows)
	for _, row := range rows {
		require.True(t, known[row[1]], "docs/SCENARIOS.md describes %s, which is no key", row[1])
	}
}

func TestEveryWordIsDocumented(t *testing.T) {
	page := formatPage(t)
	for _, key := range keysOf(reflect.TypeFor[scenario.Scenario](), "") {
		_, words, found := strings.Cut(key.tag.Get("check"), "one-of=")
		if !found {
			continue
		}
		for word := range strings.SplitSeq(words, "|") {
			require.Contains(t, page, "`"+word+"`", "a value of %s", key.path)
		}
	}
}

func TestExamplesParse(t *testing.T) {
	page := formatPage(t)
	block := func(language string) [][]string {
		return regexp.MustCompile("(?s)```"+language+"\n(.*?)```").FindAllStringSubmatch(page, -1)
	}
	directory := t.TempDir()
	traces := block("csv")
	require.Len(t, traces, 1)
	require.NoError(t, os.WriteFile(filepath.Join(directory, "trace.csv"), []byte(traces[0][1]), 0o600))
	examples := block("yaml")
	require.Len(t, examples, 2)
	for number, example := range examples {
		path := filepath.Join(directory, fmt.Sprintf("example-%d.yaml", number))
		require.NoError(t, os.WriteFile(path, []byte(example[1]), 0o600))
		read, err := scenario.Load(path)
		require.NoError(t, err)
		require.NotEmpty(t, read.Arrivals(1))
	}
}
