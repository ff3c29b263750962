package scenario_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/scenario"
	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// formatPage returns the page that describes scenario files.
func formatPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "docs", "SCENARIOS.md"))
	require.NoError(t, err)
	return string(text)
}

// keys returns the keys of scenario files.
func keys() []yamlfile.Key { return yamlfile.Keys(reflect.TypeFor[scenario.Scenario]()) }

func TestEveryKeyIsDocumented(t *testing.T) {
	page := formatPage(t)
	for _, key := range keys() {
		row := regexp.MustCompile(fmt.Sprintf("(?m)^\\| `%s` \\| (.*?) \\|", regexp.QuoteMeta(key.Path))).FindStringSubmatch(page)
		if key.IsGroup && row == nil {
			continue // its keys have their own rows
		}
		require.NotNil(t, row, "docs/SCENARIOS.md has no row of %s", key.Path)
		if key.Default != "" {
			require.Equal(t, "`"+key.Default+"`", row[1], "default of %s", key.Path)
		}
		if !key.IsGroup {
			require.Equal(t, key.Required, row[1] == "required", "%s is documented as required", key.Path)
		}
	}
}

func TestEveryDocumentedKeyExists(t *testing.T) {
	known := map[string]bool{}
	for _, key := range keys() {
		known[key.Path] = true
	}
	rows := regexp.MustCompile("(?m)^\\| `([a-z_]+(?:\\[\\])?\\.[^`]*)` \\|").FindAllStringSubmatch(formatPage(t), -1)
	require.NotEmpty(t, rows)
	for _, row := range rows {
		require.True(t, known[row[1]], "docs/SCENARIOS.md describes %s, which is no key", row[1])
	}
}

func TestEveryValueIsDocumented(t *testing.T) {
	page := formatPage(t)
	for _, key := range keys() {
		for _, word := range key.AllowedValues {
			require.Contains(t, page, "`"+word+"`", "a value of %s", key.Path)
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
