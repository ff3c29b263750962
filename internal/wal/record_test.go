package wal

import (
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/filesystem/memory"
)

// FuzzOpen opens a log whose only segment holds arbitrary bytes: it opens or refuses
// with an error, and what it opens stays the same when it is opened again.
func FuzzOpen(f *testing.F) {
	identity := &v1.DiskIdentity{DiskId: "a/1", Fleet: "fleet", Name: "a", Format: formatVersion}
	sound, err := encodeRecord(&v1.LogRecord{Sequence: 1, Identity: identity, HardState: &v1.HardState{Term: 3},
		Entries: []*v1.Entry{{Index: 1, Term: 3, Data: []byte("x")}}})
	require.NoError(f, err)
	second, err := encodeRecord(&v1.LogRecord{Sequence: 2, SnapshotIndex: 1, SnapshotTerm: 3})
	require.NoError(f, err)
	f.Add(sound)
	f.Add(append(append([]byte{}, sound...), second...))
	f.Add(append(append([]byte{}, sound[:20]...), second...))
	f.Add([]byte("HPR1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		disk := memory.New()
		file, err := disk.Create(segmentPath("/data", 1))
		require.NoError(t, err)
		_, err = file.Write(data)
		require.NoError(t, err)
		options := Options{FileSystem: disk, Directory: "/data", Identity: identity}
		log, contents, err := Open(options)
		if err != nil {
			return
		}
		require.NoError(t, log.Append(&v1.LogRecord{HardState: &v1.HardState{Term: 99}}))
		require.NoError(t, log.Close())
		log, again, err := Open(options)
		require.NoError(t, err)
		require.NoError(t, log.Close())
		require.Len(t, again.Entries, len(contents.Entries))
		require.Equal(t, uint64(99), again.HardState.GetTerm())
	})
}
