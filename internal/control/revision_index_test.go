package control

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRevisionIndex(t *testing.T) {
	var index revisionIndex
	_, known := index.revisionAt(5)
	require.False(t, known)
	for revision := range uint64(maximumIndexedRevisions + 1) {
		index.add(10*(revision+1), revision+1)
		index.add(10*(revision+1)+3, revision+1) // an entry that changes no revision
	}
	last := uint64(maximumIndexedRevisions + 1)
	tests := []struct {
		index, revision uint64
		known           bool
	}{
		{10*last + 100, last, true},
		{10 * last, last, true},
		{10*last - 1, last - 1, true},
		{10*(last-1) + 3, last - 1, true},
		{10, 0, false}, // dropped
		{0, 0, false},
	}
	for _, test := range tests {
		revision, known := index.revisionAt(test.index)
		require.Equal(t, test.known, known, test.index)
		require.Equal(t, test.revision, revision, test.index)
	}
}
