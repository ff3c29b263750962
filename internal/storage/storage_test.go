package storage

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/testing/protocmp"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/filesystem"
	"github.com/hazelpitch/hazelpitch/internal/filesystem/memory"
)

const testDirectory = "/data"

// openTest opens the storage in a directory of a file system.
func openTest(t *testing.T, fileSystem filesystem.FileSystem, directory string) (*Storage, consensus.Restored) {
	t.Helper()
	storage, restored, err := Open(Options{Directory: directory, Fleet: "fleet", Name: "controller-1", FileSystem: fileSystem, SegmentBytes: 400})
	require.NoError(t, err)
	return storage, restored
}

// model is the expected state of the storage.
type model struct {
	hardState *v1.HardState
	snapshot  *v1.Snapshot
	entries   []*v1.Entry
	first     uint64 // index of entries[0]
}

// mutate generates a random batch and applies it to the model.
func (m *model) mutate(random *rand.Rand) (*v1.HardState, []*v1.Entry, *v1.Snapshot) {
	m.hardState = &v1.HardState{Term: m.hardState.GetTerm() + random.Uint64N(2), VotedFor: fmt.Sprint(random.IntN(3))}
	last := m.first + uint64(len(m.entries)) - 1
	if random.IntN(8) == 0 && len(m.entries) > 0 { // compaction by this controller
		at := m.entries[random.IntN(len(m.entries))]
		m.snapshot = &v1.Snapshot{Metadata: &v1.SnapshotMetadata{Index: at.GetIndex(), Term: at.GetTerm()}, Data: []byte("own")}
		m.entries = m.entries[at.GetIndex()-m.first+1:]
		m.first = at.GetIndex() + 1
		return m.hardState, nil, m.snapshot
	}
	if random.IntN(15) == 0 { // snapshot from a leader, which invalidates the log
		index := m.first + random.Uint64N(20)
		m.snapshot = &v1.Snapshot{Metadata: &v1.SnapshotMetadata{Index: index, Term: 1000 + m.hardState.GetTerm()}, Data: []byte("leader")}
		m.entries, m.first = nil, index+1
		return m.hardState, nil, m.snapshot
	}
	if random.IntN(6) == 0 && len(m.entries) > 0 { // conflicting entries are truncated
		m.entries = m.entries[:random.IntN(len(m.entries))]
		last = m.first + uint64(len(m.entries)) - 1
	}
	var added []*v1.Entry
	for i := range uint64(random.IntN(4)) {
		added = append(added, &v1.Entry{Index: last + 1 + i, Term: m.hardState.GetTerm() + 1, Data: []byte(fmt.Sprint("entry", i))})
	}
	if len(added) == 0 { // a truncation is visible only through the entries that follow it
		m.entries = append(m.entries, &v1.Entry{Index: last + 1, Term: m.hardState.GetTerm() + 1})
		return m.hardState, m.entries[len(m.entries)-1:], nil
	}
	m.entries = append(m.entries[:len(m.entries):len(m.entries)], added...)
	return m.hardState, added, nil
}

func (m *model) restored(id string) consensus.Restored {
	return consensus.Restored{DiskID: id, HardState: m.hardState, Snapshot: m.snapshot, Entries: m.entries}
}

func requireEqual(t *testing.T, want, got consensus.Restored) {
	t.Helper()
	if len(want.Entries) == 0 && len(got.Entries) == 0 {
		want.Entries, got.Entries = nil, nil
	}
	if difference := cmp.Diff(want, got, protocmp.Transform()); difference != "" {
		t.Fatalf("restored state differs (-want +got):\n%s", difference)
	}
}

// TestSurvivesCrashes saves random batches and crashes at random: everything saved must
// be restored, whatever part of the unsynced data the crash keeps.
func TestSurvivesCrashes(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 2))
		disk := memory.New()
		storage, restored := openTest(t, disk, testDirectory)
		id := restored.DiskID
		expected := &model{first: 1}
		for range 150 {
			require.NoError(t, storage.Save(expected.mutate(random)))
			if random.IntN(10) == 0 {
				disk.Crash(random)
				storage, restored = openTest(t, disk, testDirectory)
				requireEqual(t, expected.restored(id), restored)
			}
		}
	}
}

// TestTornLastRecord truncates the unsynced last record at every byte.
func TestTornLastRecord(t *testing.T) {
	entries := []*v1.Entry{{Index: 1, Term: 1, Data: []byte("kept")}}
	size := 0
	for cut := 0; cut == 0 || cut <= size; cut++ {
		disk := memory.New()
		storage, _ := openTest(t, disk, testDirectory)
		require.NoError(t, storage.Save(&v1.HardState{Term: 1}, entries, nil))
		segment := testDirectory + "/segment-0000000000000001.log"
		before, err := disk.ReadFile(segment)
		require.NoError(t, err)
		disk.IgnoreSync = true
		require.NoError(t, storage.Save(&v1.HardState{Term: 2}, []*v1.Entry{{Index: 2, Term: 2}}, nil))
		after, err := disk.ReadFile(segment)
		require.NoError(t, err)
		size = len(after) - len(before)
		file, err := disk.OpenAppend(segment)
		require.NoError(t, err)
		require.NoError(t, file.Truncate(int64(len(before)+cut)))
		disk.IgnoreSync = false
		require.NoError(t, file.Sync())
		disk.Crash(nil)
		_, restored := openTest(t, disk, testDirectory)
		if cut < size {
			require.Equal(t, uint64(1), restored.HardState.GetTerm(), "cut %d", cut)
			require.Len(t, restored.Entries, 1)
		} else {
			require.Equal(t, uint64(2), restored.HardState.GetTerm())
		}
	}
}

func TestRealFileSystem(t *testing.T) {
	directory := t.TempDir() + "/data"
	storage, first := openTest(t, filesystem.OS{}, directory)
	_, _, err := Open(Options{Directory: directory, Fleet: "fleet", Name: "controller-1"})
	require.ErrorContains(t, err, "locked by another process")
	random, expected := rand.New(rand.NewPCG(1, 2)), &model{first: 1}
	for range 60 {
		require.NoError(t, storage.Save(expected.mutate(random)))
	}
	require.NoError(t, storage.Close())
	storage, restored := openTest(t, filesystem.OS{}, directory)
	requireEqual(t, expected.restored(first.DiskID), restored)
	require.NoError(t, storage.Close())
}

// TestOpenRefusesDamagedDirectories lists the states of a data directory with which a controller must not start.
func TestOpenRefusesDamagedDirectories(t *testing.T) {
	segment, second := testDirectory+"/segment-0000000000000001.log", testDirectory+"/segment-0000000000000002.log"
	for _, row := range []struct {
		name    string
		corrupt func(t *testing.T, disk *memory.Disk)
		fleet   string
		want    string
	}{
		{name: "damage in the middle", want: "segment-0000000000000001.log at offset", corrupt: func(_ *testing.T, disk *memory.Disk) { disk.Damage(segment, 150) }},
		{name: "damage in the last record before the newest", want: "segment-0000000000000002.log at offset 0", corrupt: func(_ *testing.T, disk *memory.Disk) { disk.Damage(second, 20) }},
		{name: "missing segment", want: "segment-0000000000000002.log at offset 0: the segment is missing", corrupt: func(t *testing.T, disk *memory.Disk) { require.NoError(t, disk.Remove(second)) }},
		{name: "another fleet", fleet: "other", want: `belongs to fleet "fleet"`, corrupt: func(*testing.T, *memory.Disk) {}},
		{name: "damaged snapshot", want: "checksum", corrupt: func(t *testing.T, disk *memory.Disk) {
			storage, _ := openTest(t, disk, testDirectory)
			require.NoError(t, storage.Save(nil, nil, &v1.Snapshot{Metadata: &v1.SnapshotMetadata{Index: 3, Term: 1}}))
			require.NoError(t, storage.Close())
			disk.Damage(testDirectory+"/snapshot-0000000000000003-0000000000000001.snap", 9)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			disk := memory.New()
			storage, _ := openTest(t, disk, testDirectory)
			for i := range uint64(30) {
				require.NoError(t, storage.Save(&v1.HardState{Term: 1}, []*v1.Entry{{Index: i + 1, Term: 1, Data: make([]byte, 20)}}, nil))
			}
			require.NoError(t, storage.Close())
			row.corrupt(t, disk)
			fleet := "fleet"
			if row.fleet != "" {
				fleet = row.fleet
			}
			_, _, err := Open(Options{Directory: testDirectory, Fleet: fleet, Name: "controller-1", FileSystem: disk})
			require.Error(t, err)
			require.Regexp(t, row.want, err.Error())
		})
	}
}

func TestStorageIsUnusableAfterAFailedSync(t *testing.T) {
	disk := memory.New()
	storage, _ := openTest(t, disk, testDirectory)
	disk.SyncError = fmt.Errorf("disk full")
	require.ErrorContains(t, storage.Save(&v1.HardState{Term: 5}, nil, nil), "disk full")
	disk.SyncError = nil
	require.ErrorContains(t, storage.Save(&v1.HardState{Term: 6}, nil, nil), "unusable")
}

func TestEmptyDirectoryGetsANewDiskID(t *testing.T) {
	_, first := openTest(t, memory.New(), testDirectory)
	_, second := openTest(t, memory.New(), testDirectory)
	require.NotEqual(t, first.DiskID, second.DiskID)
}

func TestBatchMergesWritesIntoOneSync(t *testing.T) {
	entry := func(index, term uint64) *v1.Entry { return &v1.Entry{Index: index, Term: term} }
	batch := &Batch{}
	require.True(t, batch.Add(&v1.HardState{Term: 1}, []*v1.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}, nil))
	require.True(t, batch.Add(&v1.HardState{Term: 2}, []*v1.Entry{entry(2, 2)}, nil))
	require.False(t, batch.Add(nil, nil, &v1.Snapshot{}), "a snapshot must be the first write of a batch")
	require.False(t, batch.Add(nil, []*v1.Entry{entry(9, 2)}, nil), "a gap is not allowed")
	disk := memory.New()
	storage, _ := openTest(t, disk, testDirectory)
	syncs := disk.Syncs
	require.NoError(t, storage.SaveBatch(batch))
	require.Equal(t, syncs+1, disk.Syncs)
	disk.Crash(nil)
	_, restored := openTest(t, disk, testDirectory)
	require.Len(t, restored.Entries, 2)
	require.Equal(t, uint64(2), restored.Entries[1].GetTerm())
}

// TestDiskIdentityIsAName checks that a disk ID is a valid name in the operators' language.
func TestDiskIdentityIsAName(t *testing.T) {
	require.Regexp(t, `^controller-amman-hall-a\.[0-9a-f]{16}$`, newDiskID("controller-amman-hall-a"))
}
