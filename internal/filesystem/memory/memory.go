// Package memory is a file system in memory that can crash: what was not synced is
// then lost, whole or in part, as on a real disk. A Disk is not safe for concurrent use.
package memory

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"path"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/filesystem"
)

// content is the content of one file.
type content struct {
	data []byte
	// synced is what a crash keeps for certain.
	synced []byte
}

// Disk is a file system in memory.
type Disk struct {
	names  map[string]*content // as processes see them
	synced map[string]*content // as a crash leaves them
	locked map[string]bool
	// generation grows with each crash: files opened before it are dead.
	generation int
	// SyncError, when set, is returned by every sync.
	SyncError error
	// IgnoreSync makes syncs do nothing, to show what they are for.
	IgnoreSync bool
	// failAfter counts down the changes until the machine stops; zero never stops.
	failAfter int
	stopped   bool
	// Syncs counts the syncs of files.
	Syncs int
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{names: map[string]*content{}, synced: map[string]*content{}, locked: map[string]bool{}}
}

// errStopped is what a machine that is about to crash gets.
var errStopped = errors.New("the machine has stopped")

// StopAfter lets the given number of changes succeed and every later one fail, as if
// the machine stopped between two of them. A Crash has to follow.
func (d *Disk) StopAfter(changes int) {
	d.failAfter = changes + 1
}

// change counts a change and tells whether the machine still runs.
func (d *Disk) change() error {
	if d.failAfter > 0 {
		d.failAfter--
		d.stopped = d.failAfter == 0
	}
	if d.stopped {
		return errStopped
	}
	return nil
}

// Crash loses what was not synced. Of the unsynced end of each file the random
// source keeps a part, which may be damaged; of the unsynced names it keeps some.
// Keeping is nil for the loss of everything unsynced.
func (d *Disk) Crash(keeping *rand.Rand) {
	d.generation++
	d.failAfter, d.stopped = 0, false
	clear(d.locked)
	survivors := maps.Clone(d.synced)
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		if survivors[name] != d.names[name] && keeping != nil && keeping.IntN(2) == 0 {
			survivors[name] = d.names[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.synced)) {
		if _, removed := d.names[name]; !removed && keeping != nil && keeping.IntN(2) == 0 {
			delete(survivors, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(survivors)) {
		survivors[name].crash(keeping)
	}
	d.names = survivors
	d.synced = maps.Clone(survivors)
}

// crash keeps the synced part and perhaps a torn part of the rest.
func (c *content) crash(keeping *rand.Rand) {
	tail := []byte(nil)
	if len(c.data) > len(c.synced) && slices.Equal(c.data[:len(c.synced)], c.synced) {
		tail = c.data[len(c.synced):]
	}
	kept := slices.Clone(c.synced)
	if keeping != nil && len(tail) > 0 {
		part := slices.Clone(tail[:keeping.IntN(len(tail)+1)])
		if len(part) > 0 && keeping.IntN(2) == 0 {
			clear(part[keeping.IntN(len(part)):])
		}
		kept = append(kept, part...)
	}
	c.data, c.synced = kept, slices.Clone(kept)
}

// Damage flips one bit, for tests of corruption.
func (d *Disk) Damage(name string, offset int) {
	d.names[name].data[offset] ^= 1
	d.names[name].synced = slices.Clone(d.names[name].data)
}

// MakeDirectory implements filesystem.FileSystem; directories need no making here.
func (d *Disk) MakeDirectory(string) error { return nil }

// ReadDirectory implements filesystem.FileSystem.
func (d *Disk) ReadDirectory(directory string) ([]string, error) {
	var found []string
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		if path.Dir(name) == strings.TrimSuffix(directory, "/") {
			found = append(found, path.Base(name))
		}
	}
	return found, nil
}

// Create implements filesystem.FileSystem.
func (d *Disk) Create(name string) (filesystem.File, error) {
	if err := d.change(); err != nil {
		return nil, err
	}
	created := &content{}
	d.names[name] = created
	return &file{disk: d, generation: d.generation, content: created}, nil
}

// OpenAppend implements filesystem.FileSystem.
func (d *Disk) OpenAppend(name string) (filesystem.File, error) {
	existing, found := d.names[name]
	if !found {
		return nil, trace.NotFound("%s does not exist", name)
	}
	return &file{disk: d, generation: d.generation, content: existing}, nil
}

// ReadFile implements filesystem.FileSystem.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	existing, found := d.names[name]
	if !found {
		return nil, trace.NotFound("%s does not exist", name)
	}
	return slices.Clone(existing.data), nil
}

// Rename implements filesystem.FileSystem.
func (d *Disk) Rename(from, to string) error {
	if err := d.change(); err != nil {
		return err
	}
	existing, found := d.names[from]
	if !found {
		return trace.NotFound("%s does not exist", from)
	}
	delete(d.names, from)
	d.names[to] = existing
	return nil
}

// Remove implements filesystem.FileSystem.
func (d *Disk) Remove(name string) error {
	if err := d.change(); err != nil {
		return err
	}
	if _, found := d.names[name]; !found {
		return trace.NotFound("%s does not exist", name)
	}
	delete(d.names, name)
	return nil
}

// SyncDirectory implements filesystem.FileSystem.
func (d *Disk) SyncDirectory(directory string) error {
	if err := d.change(); err != nil {
		return err
	}
	if d.SyncError != nil {
		return d.SyncError
	}
	if d.IgnoreSync {
		return nil
	}
	for name := range d.synced {
		if path.Dir(name) == directory {
			delete(d.synced, name)
		}
	}
	for name, existing := range d.names {
		if path.Dir(name) == directory {
			d.synced[name] = existing
		}
	}
	return nil
}

// Lock implements filesystem.FileSystem.
func (d *Disk) Lock(name string) (io.Closer, error) {
	if d.locked[name] {
		return nil, trace.CompareFailed("%s is locked", name)
	}
	d.locked[name] = true
	return &lock{disk: d, name: name}, nil
}

// lock is a lock that is held.
type lock struct {
	disk *Disk
	name string
}

// Close releases the lock.
func (l *lock) Close() error {
	delete(l.disk.locked, l.name)
	return nil
}

// file is a file open for writing.
type file struct {
	disk       *Disk
	generation int
	content    *content
}

// alive refuses the use of a file that a crash has closed.
func (f *file) alive() error {
	if f.generation != f.disk.generation {
		return trace.ConnectionProblem(nil, "the file was open when the disk crashed")
	}
	return f.disk.change()
}

// Write implements filesystem.File.
func (f *file) Write(data []byte) (int, error) {
	if err := f.alive(); err != nil {
		return 0, err
	}
	f.content.data = append(f.content.data, data...)
	return len(data), nil
}

// Truncate implements filesystem.File.
func (f *file) Truncate(size int64) error {
	if err := f.alive(); err != nil {
		return err
	}
	f.content.data = f.content.data[:size:size]
	return nil
}

// Sync implements filesystem.File.
func (f *file) Sync() error {
	if err := f.alive(); err != nil {
		return err
	}
	if f.disk.SyncError != nil {
		return f.disk.SyncError
	}
	f.disk.Syncs++
	if !f.disk.IgnoreSync {
		f.content.synced = slices.Clone(f.content.data)
	}
	return nil
}

// Close implements filesystem.File.
func (f *file) Close() error { return nil }
