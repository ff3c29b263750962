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

// TestBenchPageListsEveryKey compares the key tables of both files with the code.
func TestBenchPageListsEveryKey(t *testing.T) {
	for header, keys := range map[string]reflect.Type{
		fleet.DescriptionFile: reflect.TypeFor[fleet.Description](),
		TrafficFile:           reflect.TypeFor[Traffic](),
	} {
		text := section(t, header)
		documented := map[string]string{}
		for _, row := range keyRow.FindAllStringSubmatch(text, -1) {
			documented[row[1]] = row[2]
		}
		for _, key := range yamlfile.Keys(keys) {
			if key.IsGroup {
				continue
			}
			path := key.Path
			if _, found := documented[path]; !found {
				path += ".*" // a map of values
			}
			require.Contains(t, documented, path, "docs/BENCH.md, section %s, has no row of %s", header, key.Path)
			require.Equal(t, key.Required, documented[path] == "required", "%s is documented as required", key.Path)
			delete(documented, path)
		}
		require.Empty(t, documented, "docs/BENCH.md, section %s, describes keys that don't exist", header)
	}
}

func TestBenchPageListsEveryFault(t *testing.T) {
	text := section(t, "What fails")
	for _, key := range yamlfile.Keys(reflect.TypeFor[fleet.Description]()) {
		if !strings.HasSuffix(key.Path, ".kind") && !strings.HasSuffix(key.Path, ".fault") {
			continue
		}
		require.NotEmpty(t, key.AllowedValues)
		for _, word := range key.AllowedValues {
			require.Contains(t, text, "`"+word+"`", "docs/BENCH.md does not describe fault %s", word)
		}
	}
}
