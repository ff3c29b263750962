package serving

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against parts of a prompt that no quarantine can keep away, because they cannot be read or follow one that cannot.
func TestSharedPartIDs(t *testing.T) {
	for declaration, expected := range map[string][]string{
		"":                        nil,
		"a1:10":                   nil,
		"a1:10,b2:20":             {"a1"},
		" a1:10 , b2:20 , c3:30 ": {"a1", "b2"},
		"a1:10,a1:10,b2:20,c3:1":  {"a1", "b2"},
		"a1,b2:x,:5,,c3:1,d4:1":   {"a1", "b2", "c3"},
		"a1:10,":                  {"a1"},
		"a1:10,the last one":      {"a1"},
		"a1:10:11,b2:1":           {"a1"},
	} {
		require.Equal(t, expected, SharedPartIDs(declaration), declaration)
	}
}
