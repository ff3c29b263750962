// Package snapshot stores the newest snapshots of a controller's state as files. A
// snapshot is written to a temporary file, synced and renamed, so that a crash
// leaves either the complete file or none; a checksum detects later damage.
//
// A Snapshotter is not safe for concurrent use.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"path"
	"strings"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/filesystem"
)

// DefaultRetained is the default number of snapshots that are retained.
const DefaultRetained = 2

// ErrCorrupt means that a snapshot file is missing or damaged; the disk must be replaced.
var ErrCorrupt = errors.New("the snapshot is missing or damaged")

// A file consists of magic, CRC-32C of the payload (four bytes, little-endian), and the payload: an encoded Snapshot.
const (
	magic          = "HPS1"
	headerBytes    = 8
	filePattern    = "snapshot-%016x-%016x.snap" // index, term
	temporaryName  = "snapshot.tmp"
	snapshotPrefix = "snapshot-"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Snapshotter writes and reads the snapshots in one directory.
type Snapshotter struct {
	fileSystem filesystem.FileSystem
	directory  string
	retained   int
}

// New returns a Snapshotter that retains this number of newest snapshots, at least one.
func New(fileSystem filesystem.FileSystem, directory string, retained int) *Snapshotter {
	return &Snapshotter{fileSystem: fileSystem, directory: directory, retained: max(retained, 1)}
}

// Save writes and syncs the snapshot. Older snapshots stay until RemoveOld.
func (s *Snapshotter) Save(snapshot *v1.Snapshot) error {
	encoded, err := encode(snapshot)
	if err != nil {
		return trace.Wrap(err)
	}
	temporary := path.Join(s.directory, temporaryName)
	if err := s.writeSynced(temporary, encoded); err != nil {
		return trace.Wrap(err, "write %s", temporary)
	}
	metadata := snapshot.GetMetadata()
	if err := s.fileSystem.Rename(temporary, s.path(metadata.GetIndex(), metadata.GetTerm())); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.fileSystem.SyncDirectory(s.directory))
}

// writeSynced creates a file with the data and syncs it.
func (s *Snapshotter) writeSynced(name string, data []byte) error {
	file, err := s.fileSystem.Create(name)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return trace.Wrap(err)
}

// Load reads the snapshot at the log position.
func (s *Snapshotter) Load(index, term uint64) (*v1.Snapshot, error) {
	name := s.path(index, term)
	data, err := s.fileSystem.ReadFile(name)
	if err != nil {
		return nil, trace.Wrap(ErrCorrupt, "%s: %v; empty the data directory so that the controller joins as a new member", name, err)
	}
	snapshot, err := decode(data)
	if err != nil {
		return nil, trace.Wrap(err, "%s; empty the data directory so that the controller joins as a new member", name)
	}
	if metadata := snapshot.GetMetadata(); metadata.GetIndex() != index || metadata.GetTerm() != term {
		return nil, trace.Wrap(ErrCorrupt, "%s holds the snapshot at %d of term %d", name, metadata.GetIndex(), metadata.GetTerm())
	}
	return snapshot, nil
}

// RemoveOld removes all but the newest snapshots, including old ones that a crash left behind.
func (s *Snapshotter) RemoveOld() error {
	names, err := s.fileSystem.ReadDirectory(s.directory)
	if err != nil {
		return trace.Wrap(err)
	}
	var snapshots []string
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) {
			snapshots = append(snapshots, name) // the names are sorted by index
		}
	}
	for len(snapshots) > s.retained {
		if err := s.fileSystem.Remove(path.Join(s.directory, snapshots[0])); err != nil {
			return trace.Wrap(err)
		}
		snapshots = snapshots[1:]
	}
	return nil
}

// path returns the path of the snapshot at a log position.
func (s *Snapshotter) path(index, term uint64) string {
	return path.Join(s.directory, fmt.Sprintf(filePattern, index, term))
}

// encode returns a snapshot as it is written to disk.
func encode(snapshot *v1.Snapshot) ([]byte, error) {
	encoded := make([]byte, headerBytes, headerBytes+proto.Size(snapshot))
	copy(encoded, magic)
	encoded, err := proto.MarshalOptions{}.MarshalAppend(encoded, snapshot)
	if err != nil {
		return nil, trace.Wrap(err, "encode snapshot")
	}
	binary.LittleEndian.PutUint32(encoded[4:], crc32.Checksum(encoded[headerBytes:], castagnoli))
	return encoded, nil
}

// decode decodes a snapshot and verifies its checksum.
func decode(data []byte) (*v1.Snapshot, error) {
	if len(data) < headerBytes || string(data[:4]) != magic {
		return nil, trace.Wrap(ErrCorrupt, "no snapshot header at offset 0")
	}
	if binary.LittleEndian.Uint32(data[4:]) != crc32.Checksum(data[headerBytes:], castagnoli) {
		return nil, trace.Wrap(ErrCorrupt, "checksum of the %d bytes from offset %d does not match", len(data)-headerBytes, headerBytes)
	}
	snapshot := &v1.Snapshot{}
	if err := proto.Unmarshal(data[headerBytes:], snapshot); err != nil {
		return nil, trace.Wrap(ErrCorrupt, "payload at offset %d: %v", headerBytes, err)
	}
	return snapshot, nil
}
