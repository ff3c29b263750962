package language

import (
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

func TestFormatSourceKeepsOrderAndComments(t *testing.T) {
	const text = `# The head.


tenant   "b" { weight=2;concurrency   =  64requests # both
# last
}
tenant a {

  models = [ x,
    "y", # inside
  ]

  tokens_per_second = 20   tokens/s

} # after
# end`
	const want = `# The head.

tenant b {
  weight      = 2
  concurrency = 64 requests # both
  # last
}

tenant a {
  models            = [x, "y"] # inside

  tokens_per_second = 20 tokens/s
} # after
# end
`
	formatted, err := FormatSource(&v1.SourceFile{Name: "a.hzl", Text: text})
	require.NoError(t, err)
	require.Equal(t, want, formatted)
}

func TestFormatSourceRejectsInvalidSource(t *testing.T) {
	_, err := FormatSource(&v1.SourceFile{Name: "a.hzl", Text: "tenant a { wieght = 2 }"})
	require.True(t, trace.IsBadParameter(err))
}

func FuzzFormatSource(f *testing.F) {
	f.Add("# a\ntenant a { weight = 3 # b\n models = [m, \"n\"] }\n# c")
	f.Fuzz(func(t *testing.T, text string) {
		objects, err := ParseDeclarations(sourceFiles(text))
		if err != nil {
			return
		}
		formatted, err := FormatSource(sourceFiles(text)[0])
		require.NoError(t, err)
		again, err := ParseDeclarations(sourceFiles(formatted))
		require.NoError(t, err, formatted)
		requireEqualObjects(t, objects, again)
		require.Equal(t, strings.Count(text, "#") == 0, strings.Count(formatted, "#") == 0)
		twice, err := FormatSource(sourceFiles(formatted)[0])
		require.NoError(t, err)
		require.Equal(t, formatted, twice)
	})
}
