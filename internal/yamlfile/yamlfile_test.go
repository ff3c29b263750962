package yamlfile_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

type file struct {
	Name  string            `yaml:"name" check:"required"`
	Ratio float64           `yaml:"ratio" default:"0.5" check:"share"`
	Bytes int64             `yaml:"bytes" check:"at-least-1"`
	Mode  string            `yaml:"mode" default:"slow" check:"one-of=slow|fast"`
	Items []item            `yaml:"items"`
	Inner *inner            `yaml:"inner"`
	Sizes map[string]int    `yaml:"sizes" check:"positive"`
	Words []string          `yaml:"words" check:"one-of=red|green"`
	Text  map[string]string `yaml:"text"`

	unread int
}

type item struct {
	Wait time.Duration `yaml:"wait" default:"3s" check:"positive"`
}

type inner struct {
	Count int `yaml:"count" default:"7" check:"required,positive"`
}

func read(t *testing.T, text string, crossCheck func(*yamlfile.Document)) (file, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	var got file
	err := yamlfile.Load(yamlfile.Source{Path: path, CrossCheck: crossCheck}, &got)
	return got, err
}

func TestDefaultsReachListsAndPointers(t *testing.T) {
	got, err := read(t, "name: a\nratio: 1\nbytes: 5000000000\nitems: [{}, {wait: 1s}]\ninner: {}\nsizes: {x: 2}\nwords: [red]\n", nil)
	require.NoError(t, err)
	require.Equal(t, file{
		Name: "a", Ratio: 1, Bytes: 5_000_000_000, Mode: "slow",
		Items: []item{{Wait: 3 * time.Second}, {Wait: time.Second}},
		Inner: &inner{Count: 7}, Sizes: map[string]int{"x": 2}, Words: []string{"red"},
	}, got)
	got, err = read(t, "name: a\n", nil)
	require.NoError(t, err)
	require.Nil(t, got.Inner, "an absent group stays absent")
	require.Equal(t, 0.5, got.Ratio)
	require.Zero(t, got.unread)
}

func TestProblems(t *testing.T) {
	for name, row := range map[string]struct{ text, want string }{
		"missing":             {"ratio: 1\n", "file.yaml:1:1: name: is missing or empty; set it"},
		"share":               {"name: a\nratio: 1.5\n", "file.yaml:2:8: ratio: 1.5 is not a share; write a number from 0 to 1"},
		"float with unit":     {"name: a\nratio: 5%\n", "ratio: 5% has the wrong type or unit; write a number without a unit"},
		"float for integer":   {"name: a\nbytes: 1.5\n", "bytes: 1.5 has the wrong type or unit; write a whole number"},
		"below one":           {"name: a\nbytes: 0\n", "bytes: 0 is below one"},
		"word":                {"name: a\nmode: fats\n", `mode: "fats" is not known; did you mean fast?`},
		"unrelated word":      {"name: a\nmode: medium\n", `mode: "medium" is not known; write one of slow, fast`},
		"word in a list":      {"name: a\nwords: [red, gren]\n", `words[1]: "gren" is not known; did you mean green?`},
		"key in a list":       {"name: a\nitems:\n  - {weit: 1s}\n", "file.yaml:3:6: items[0].weit: unknown key; did you mean wait?"},
		"rule in a list":      {"name: a\nitems: [{wait: 0s}]\n", "items[0].wait: 0s is not above zero"},
		"rule in a map":       {"name: a\nsizes: {x: -1}\n", "sizes.x: -1 is not above zero"},
		"rule behind pointer": {"name: a\ninner: {count: -2}\n", "inner.count: -2 is not above zero"},
		"type behind pointer": {"name: a\ninner: 3\n", "inner: is not a group of keys"},
		"no value":            {"name: a\ninner:\n", "inner: has no value"},
		"unread field":        {"name: a\nunread: 3\n", "unread: unknown key"},
		"colon in text":       {"name: a\ntext: {}\nmode: one: two\n", "file.yaml:3:7: the file: not valid YAML: mapping value is not allowed in this context; indent keys of one group alike, and quote text"},
		"tab":                 {"name: a\ninner:\n\tcount: 2\n", "not valid YAML"},
		"open bracket":        {"name: [\n", "file.yaml:1:"},
		"empty key":           {"name: a\n\"\": 3\n", "unknown key"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := read(t, row.text, nil)
			require.ErrorContains(t, err, row.want)
		})
	}
}

func TestCrossCheckReportsAtNearestKeyThatIsSet(t *testing.T) {
	_, err := read(t, "name: a\nitems:\n  - {wait: 1s}\n", func(document *yamlfile.Document) {
		require.True(t, document.IsSet("items[0].wait"))
		require.False(t, document.IsSet("sizes"))
		document.Report("items[0].size", "is wrong", "mend it")
	})
	require.ErrorContains(t, err, "file.yaml:3:")
	require.ErrorContains(t, err, "items[0].size: is wrong; mend it")
}

func TestKeys(t *testing.T) {
	keys := map[string]yamlfile.Key{}
	for _, key := range yamlfile.Keys(reflect.TypeFor[file]()) {
		keys[key.Path] = key
	}
	require.Len(t, keys, 11)
	require.True(t, keys["name"].Required)
	require.Equal(t, "3s", keys["items[].wait"].Default)
	require.True(t, keys["inner"].IsGroup)
	require.True(t, keys["inner.count"].Required)
	require.Equal(t, []string{"red", "green"}, keys["words"].AllowedValues)
}
