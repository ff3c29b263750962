package wal

import (
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/filesystem/memory"
)

// FuzzOpen opens a log whose only segment has arbitrary bytes. Open returns either an error or a
// log whose contents are the same when it is opened again.
func FuzzOpen(f *testing.F) {
	identity := &v1.DiskIdentity{DiskId: "a/1", Fleet: "fleet", Name: "a", Format: formatVersion}
	firstRecord, err := encodeRecord(&v1.LogRecord{Sequence: 1, Identity: identity, HardState: &v1.HardState{Term: 3},
		Entries: []*v1.Entry{{Index: 1, Term: 3, Data: []byte("x")}}})
	require.NoError(f, err)
	secondRecord, err := encodeRecord(&v1.LogRecord{Sequence: 2, SnapshotIndex: 1, SnapshotTerm: 3})
	require.NoError(f, err)
	f.Add(firstRecord)
	f.Add(append(append([]byte{}, firstRecord...), secondRecord...))
	f.Add(append(append([]byte{}, firstRecord[:20]...), secondRecord...))
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
		log, reopened, err := Open(options)
		require.NoError(t, err)
		require.NoError(t, log.Close())
		require.Len(t, reopened.Entries, len(contents.Entries))
		require.Equal(t, uint64(99), reopened.HardState.GetTerm())
	})
}
