package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Guards against a compacted log that keeps entries in memory by their number alone, however large they are.
func TestCompactionRetainsEntriesUpToALimitInBytes(t *testing.T) {
	for name, test := range map[string]struct {
		maximumEntries uint64
		maximumBytes   int
		retained       int
	}{
		"the number decides":         {maximumEntries: 3, maximumBytes: 1000, retained: 3},
		"the bytes decide":           {maximumEntries: 100, maximumBytes: 25, retained: 2},
		"one entry is too large":     {maximumEntries: 100, maximumBytes: 9, retained: 0},
		"all entries are retained":   {maximumEntries: 100, maximumBytes: 1000, retained: 8},
		"exactly the limit":          {maximumEntries: 100, maximumBytes: 30, retained: 3},
		"no entry may be retained":   {maximumEntries: 0, maximumBytes: 1000, retained: 0},
		"all bytes, but one too few": {maximumEntries: 100, maximumBytes: 79, retained: 7},
	} {
		t.Run(name, func(t *testing.T) {
			log := &entryLog{}
			for index := range uint64(10) {
				log.appendEntry(&v1.Entry{Index: index + 1, Term: 1, Data: make([]byte, 10)})
			}
			log.compact(&v1.Snapshot{Metadata: &v1.SnapshotMetadata{Index: 8, Term: 1}}, test.maximumEntries, test.maximumBytes)
			require.Len(t, log.entries, test.retained+2, "two entries follow the snapshot")
			require.Equal(t, uint64(8-test.retained), log.base.index)
			require.Equal(t, 10*len(log.entries), log.bytes)
			require.Equal(t, uint64(10), log.last().index)
			_, err := log.termAt(9)
			require.NoError(t, err)
		})
	}
}
