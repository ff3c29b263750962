package nearest_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/nearest"
)

func TestWord(t *testing.T) {
	candidates := []string{"listen", "admin_listen", "name", "zone"}
	for _, row := range []struct{ word, want string }{
		{"lisen", "listen"},
		{"admin_lisen", "admin_listen"},
		{"zones", "zone"},
		{"nmae", "name"},
		{"completely_else", ""},
		{"", ""},
	} {
		got, found := nearest.Word(row.word, candidates)
		require.Equal(t, row.want, got, row.word)
		require.Equal(t, row.want != "", found, row.word)
	}
}
