// Package storage is the persistent storage of one controller: the log and the snapshots in
// its data directory. Everything saved survives a crash once Save has returned.
//
// A Storage is not safe for concurrent use.
package storage

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/filesystem"
	"github.com/hazelpitch/hazelpitch/internal/snapshot"
	"github.com/hazelpitch/hazelpitch/internal/wal"
)

// diskIDRandomBytes is the length of the random part of a disk ID.
const diskIDRandomBytes = 8

// Options say where the storage is and to which controller it belongs.
type Options struct {
	// Directory is the data directory. It must contain nothing else, and is created if missing.
	Directory string
	// Fleet and Name must equal those with which the directory was first used.
	Fleet string
	Name  string
	// FileSystem is the machine's file system when nil.
	FileSystem filesystem.FileSystem
	// NewDiskID returns the disk ID of a directory on its first use; when nil, the ID consists of the
	// controller's name and a random number.
	NewDiskID func() string
	// SegmentBytes is the size of a log file; zero means the default.
	SegmentBytes int64
}

// Storage is an open data directory.
type Storage struct {
	log       *wal.Log
	snapshots *snapshot.Snapshotter
}

// Open opens the data directory, which only one process may have open, and returns
// its contents. An empty directory gets a new disk ID. Damage to acknowledged
// state is an error that names the file and the offset.
func Open(options Options) (*Storage, consensus.Restored, error) {
	if options.Directory == "" || options.Fleet == "" || options.Name == "" {
		return nil, consensus.Restored{}, trace.BadParameter("storage: data directory, fleet and name must be set")
	}
	if options.FileSystem == nil {
		options.FileSystem = filesystem.OS{}
	}
	if options.NewDiskID == nil {
		options.NewDiskID = func() string { return newDiskID(options.Name) }
	}
	log, contents, err := wal.Open(wal.Options{
		FileSystem: options.FileSystem, Directory: options.Directory, SegmentBytes: options.SegmentBytes,
		Identity: &v1.DiskIdentity{DiskId: options.NewDiskID(), Fleet: options.Fleet, Name: options.Name},
	})
	if err != nil {
		return nil, consensus.Restored{}, trace.Wrap(err)
	}
	storage := &Storage{log: log, snapshots: snapshot.New(options.FileSystem, options.Directory, snapshot.DefaultRetained)}
	restored, err := storage.restore(contents)
	if err != nil {
		_ = log.Close()
		return nil, consensus.Restored{}, trace.Wrap(err)
	}
	return storage, restored, nil
}

// restore loads the snapshot that the log refers to.
func (s *Storage) restore(contents wal.Contents) (consensus.Restored, error) {
	restored := consensus.Restored{
		DiskID: contents.Identity.GetDiskId(), HardState: contents.HardState, Entries: contents.Entries,
	}
	if contents.Snapshot.Index == 0 {
		return restored, nil
	}
	loaded, err := s.snapshots.Load(contents.Snapshot.Index, contents.Snapshot.Term)
	if err != nil {
		return consensus.Restored{}, trace.Wrap(err)
	}
	restored.Snapshot = loaded
	return restored, nil
}

// newDiskID returns a unique disk ID. It is a valid name in the operators'
// language, so that commands can refer to members by it.
func newDiskID(name string) string {
	random := make([]byte, diskIDRandomBytes)
	_, _ = rand.Read(random) // never fails
	return name + "." + hex.EncodeToString(random)
}

// Save writes and syncs a batch; nil values mean no change. A snapshot is durable
// before the log refers to it, and the log files that it covers are removed only after that.
// After an error the storage is unusable and the process must end.
func (s *Storage) Save(hardState *v1.HardState, entries []*v1.Entry, snapshot *v1.Snapshot) error {
	record := &v1.LogRecord{HardState: hardState, Entries: entries}
	if snapshot != nil {
		if err := s.snapshots.Save(snapshot); err != nil {
			return trace.Wrap(err)
		}
		record.SnapshotIndex = snapshot.GetMetadata().GetIndex()
		record.SnapshotTerm = snapshot.GetMetadata().GetTerm()
	}
	if err := s.log.Append(record); err != nil {
		return trace.Wrap(err)
	}
	if snapshot == nil {
		return nil
	}
	if _, err := s.log.RemoveCovered(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.snapshots.RemoveOld())
}

// SaveBatch is Save for a Batch.
func (s *Storage) SaveBatch(batch *Batch) error {
	return trace.Wrap(s.Save(batch.hardState, batch.entries, batch.snapshot))
}

// Close releases the data directory. Everything saved is already on disk.
func (s *Storage) Close() error {
	return trace.Wrap(s.log.Close())
}
