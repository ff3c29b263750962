package wal

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/filesystem/memory"
)

// FuzzReplay opens a log of two records with valid checksums and arbitrary
// contents: Open returns an error or a log whose entries have no gap.
func FuzzReplay(f *testing.F) {
	identity := &v1.DiskIdentity{DiskId: "a/1", Fleet: "fleet", Name: "a", Format: formatVersion}
	seed := func(record *v1.LogRecord) []byte {
		data, err := proto.Marshal(record)
		require.NoError(f, err)
		return data
	}
	first := seed(&v1.LogRecord{HardState: &v1.HardState{Term: 3}, Entries: []*v1.Entry{{Index: 1, Term: 3}, {Index: 2, Term: 3}}})
	f.Add(first, seed(&v1.LogRecord{SnapshotIndex: 1, SnapshotTerm: 3}))
	f.Add(first, seed(&v1.LogRecord{SnapshotIndex: 9, SnapshotTerm: 4, ReplacesLog: true}))
	f.Add(first, seed(&v1.LogRecord{Entries: []*v1.Entry{{Index: 2, Term: 4}}}))
	f.Add(first, seed(&v1.LogRecord{Entries: []*v1.Entry{{Index: 7, Term: 4}}}))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		disk := memory.New()
		file, err := disk.Create(segmentPath("/data", 1))
		require.NoError(t, err)
		for i, payload := range [][]byte{first, second} {
			record := &v1.LogRecord{}
			if proto.Unmarshal(payload, record) != nil {
				return
			}
			record.Sequence, record.Identity = uint64(i+1), identity
			encoded, err := encodeRecord(record)
			require.NoError(t, err)
			_, err = file.Write(encoded)
			require.NoError(t, err)
		}
		log, contents, err := Open(Options{FileSystem: disk, Directory: "/data", Identity: identity})
		if err != nil {
			return
		}
		for i, entry := range contents.Entries {
			require.Equal(t, contents.Snapshot.Index+1+uint64(i), entry.GetIndex())
		}
		require.NoError(t, log.Close())
	})
}
