package load

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// section returns the part of docs/BENCH.md under a header.
func section(t *testing.T, header string) string {
	t.Helper()
	page, err := os.ReadFile("../../docs/BENCH.md")
	require.NoError(t, err)
	_, after, found := strings.Cut(string(page), "\n## "+header+"\n")
	require.True(t, found, "docs/BENCH.md has no section %s", header)
	part, _, _ := strings.Cut(after, "\n## ")
	return part
}

var keyRow = regexp.MustCompile("(?m)^\\| `([^`]*)` \\| (.*?) \\|")

// TestBenchPageHoldsEveryKey compares the tables of both files' keys with the code.
func TestBenchPageHoldsEveryKey(t *testing.T) {
	for header, of := range map[string]reflect.Type{
		fleet.DescriptionFile: reflect.TypeFor[fleet.Description](),
		TrafficFile:           reflect.TypeFor[Traffic](),
	} {
		text := section(t, header)
		told := map[string]string{}
		for _, row := range keyRow.FindAllStringSubmatch(text, -1) {
			told[row[1]] = row[2]
		}
		for _, key := range yamlfile.Keys(of) {
			if key.IsGroup {
				continue
			}
			path := key.Path
			if _, found := told[path]; !found {
				path += ".*" // a map of values
			}
			require.Contains(t, told, path, "docs/BENCH.md, section %s, has no row of %s", header, key.Path)
			require.Equal(t, key.Required, told[path] == "required", "%s is told to be required", key.Path)
			delete(told, path)
		}
		require.Empty(t, told, "docs/BENCH.md, section %s, describes keys that don't exist", header)
	}
}

func TestBenchPageHoldsEveryFault(t *testing.T) {
	text := section(t, "What fails")
	for _, key := range yamlfile.Keys(reflect.TypeFor[fleet.Description]()) {
		if !strings.HasSuffix(key.Path, ".kind") && !strings.HasSuffix(key.Path, ".fault") {
			continue
		}
		require.NotEmpty(t, key.AllowedValues)
		for _, word := range key.AllowedValues {
			require.Contains(t, text, "`"+word+"`", "docs/BENCH.md does not tell of fault %s", word)
		}
	}
}
