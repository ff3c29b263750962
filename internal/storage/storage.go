// Package storage is the disk of one controller: the log and the snapshots in its
// data directory. What Save has returned for survives a crash.
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

// identityBytes is the length of the random part of a disk's identity.
const identityBytes = 8

// Options tell where and whose the storage is.
type Options struct {
	// Directory holds nothing else. It is made where missing.
	Directory string
	// Fleet and Name must equal those the directory was first used with.
	Fleet string
	Name  string
	// FileSystem is the machine's when nil.
	FileSystem filesystem.FileSystem
	// NewDiskID names a directory on its first use; nil takes the controller's name
	// and a random number.
	NewDiskID func() string
	// SegmentBytes is the size of a log file; zero means the default.
	SegmentBytes int64
}

// Storage is an open data directory.
type Storage struct {
	log       *wal.Log
	snapshots *snapshot.Snapshotter
}

// Open opens the data directory, which one process may do at a time, and returns
// what it holds. An empty directory gets a new identity. Damage to acknowledged
// state is an error that names file and offset.
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
	storage := &Storage{log: log, snapshots: snapshot.New(options.FileSystem, options.Directory, snapshot.DefaultKeep)}
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

// newDiskID returns an identity that no other disk has. It is a name in the operators'
// language, so that commands on members can be given.
func newDiskID(name string) string {
	random := make([]byte, identityBytes)
	_, _ = rand.Read(random) // never fails
	return name + "." + hex.EncodeToString(random)
}

// Save writes and syncs a batch; what is nil is unchanged. A snapshot is durable
// before the log refers to it, and only then are the log files it covers removed.
// After an error the storage is unusable: end the process.
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

// Close releases the data directory. Everything saved is on disk already.
func (s *Storage) Close() error {
	return trace.Wrap(s.log.Close())
}
