// Package memory is a file system in memory that can crash: unsynced data is
// then lost, completely or in part, as on a real disk. A Disk is not safe for concurrent use.
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
	// synced is the data that survives every crash.
	synced []byte
}

// Disk is a file system in memory.
type Disk struct {
	files       map[string]*content // the names that processes see
	syncedFiles map[string]*content // the names that survive every crash
	locked      map[string]bool
	// generation counts the crashes; files that were opened before the last one are unusable.
	generation int
	// SyncError, when set, is returned by every sync.
	SyncError error
	// IgnoreSync makes syncs succeed without effect, so that tests can show that the syncs are needed.
	IgnoreSync bool
	// changesUntilStop counts down the changes until the machine stops; zero means that it never stops.
	changesUntilStop int
	stopped          bool
	// Syncs counts the syncs of files.
	Syncs int
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{files: map[string]*content{}, syncedFiles: map[string]*content{}, locked: map[string]bool{}}
}

// errStopped is returned by every change after the machine has stopped.
var errStopped = errors.New("the machine has stopped")

// StopAfter lets the given number of changes succeed and every later one fail, as if
// the machine stopped between two changes. A Crash must follow.
func (d *Disk) StopAfter(changes int) {
	d.changesUntilStop = changes + 1
}

// countChange counts one change and returns errStopped if the machine has stopped.
func (d *Disk) countChange() error {
	if d.changesUntilStop > 0 {
		d.changesUntilStop--
		d.stopped = d.changesUntilStop == 0
	}
	if d.stopped {
		return errStopped
	}
	return nil
}

// Crash drops unsynced data. It keeps a random part of the unsynced end of each file, which
// may be damaged, and a random selection of the unsynced names. When random is nil, it
// drops everything unsynced.
func (d *Disk) Crash(random *rand.Rand) {
	d.generation++
	d.changesUntilStop, d.stopped = 0, false
	clear(d.locked)
	survivors := maps.Clone(d.syncedFiles)
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		if survivors[name] != d.files[name] && random != nil && random.IntN(2) == 0 {
			survivors[name] = d.files[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.syncedFiles)) {
		if _, removed := d.files[name]; !removed && random != nil && random.IntN(2) == 0 {
			delete(survivors, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(survivors)) {
		survivors[name].crash(random)
	}
	d.files = survivors
	d.syncedFiles = maps.Clone(survivors)
}

// crash keeps the synced data and a random, possibly torn part of the unsynced data.
func (c *content) crash(random *rand.Rand) {
	unsynced := []byte(nil)
	if len(c.data) > len(c.synced) && slices.Equal(c.data[:len(c.synced)], c.synced) {
		unsynced = c.data[len(c.synced):]
	}
	kept := slices.Clone(c.synced)
	if random != nil && len(unsynced) > 0 {
		torn := slices.Clone(unsynced[:random.IntN(len(unsynced)+1)])
		if len(torn) > 0 && random.IntN(2) == 0 {
			clear(torn[random.IntN(len(torn)):])
		}
		kept = append(kept, torn...)
	}
	c.data, c.synced = kept, slices.Clone(kept)
}

// Damage flips one bit of a file, for tests of corruption.
func (d *Disk) Damage(name string, offset int) {
	d.files[name].data[offset] ^= 1
	d.files[name].synced = slices.Clone(d.files[name].data)
}

// MakeDirectory implements filesystem.FileSystem; a directory needs no creation here.
func (d *Disk) MakeDirectory(string) error { return nil }

// ReadDirectory implements filesystem.FileSystem.
func (d *Disk) ReadDirectory(directory string) ([]string, error) {
	var found []string
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		if path.Dir(name) == strings.TrimSuffix(directory, "/") {
			found = append(found, path.Base(name))
		}
	}
	return found, nil
}

// Create implements filesystem.FileSystem.
func (d *Disk) Create(name string) (filesystem.File, error) {
	if err := d.countChange(); err != nil {
		return nil, err
	}
	created := &content{}
	d.files[name] = created
	return &file{disk: d, generation: d.generation, content: created}, nil
}

// OpenAppend implements filesystem.FileSystem.
func (d *Disk) OpenAppend(name string) (filesystem.File, error) {
	existing, found := d.files[name]
	if !found {
		return nil, trace.NotFound("%s does not exist", name)
	}
	return &file{disk: d, generation: d.generation, content: existing}, nil
}

// ReadFile implements filesystem.FileSystem.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	existing, found := d.files[name]
	if !found {
		return nil, trace.NotFound("%s does not exist", name)
	}
	return slices.Clone(existing.data), nil
}

// Rename implements filesystem.FileSystem.
func (d *Disk) Rename(from, to string) error {
	if err := d.countChange(); err != nil {
		return err
	}
	existing, found := d.files[from]
	if !found {
		return trace.NotFound("%s does not exist", from)
	}
	delete(d.files, from)
	d.files[to] = existing
	return nil
}

// Remove implements filesystem.FileSystem.
func (d *Disk) Remove(name string) error {
	if err := d.countChange(); err != nil {
		return err
	}
	if _, found := d.files[name]; !found {
		return trace.NotFound("%s does not exist", name)
	}
	delete(d.files, name)
	return nil
}

// SyncDirectory implements filesystem.FileSystem.
func (d *Disk) SyncDirectory(directory string) error {
	if err := d.countChange(); err != nil {
		return err
	}
	if d.SyncError != nil {
		return d.SyncError
	}
	if d.IgnoreSync {
		return nil
	}
	for name := range d.syncedFiles {
		if path.Dir(name) == directory {
			delete(d.syncedFiles, name)
		}
	}
	for name, existing := range d.files {
		if path.Dir(name) == directory {
			d.syncedFiles[name] = existing
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

// lock is an acquired lock.
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

// checkOpen returns an error if the disk has crashed since the file was opened, and counts one change otherwise.
func (f *file) checkOpen() error {
	if f.generation != f.disk.generation {
		return trace.ConnectionProblem(nil, "the disk has crashed since the file was opened")
	}
	return f.disk.countChange()
}

// Write implements filesystem.File.
func (f *file) Write(data []byte) (int, error) {
	if err := f.checkOpen(); err != nil {
		return 0, err
	}
	f.content.data = append(f.content.data, data...)
	return len(data), nil
}

// Truncate implements filesystem.File.
func (f *file) Truncate(size int64) error {
	if err := f.checkOpen(); err != nil {
		return err
	}
	f.content.data = f.content.data[:size:size]
	return nil
}

// Sync implements filesystem.File.
func (f *file) Sync() error {
	if err := f.checkOpen(); err != nil {
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
