// Package filesystem defines the part of a file system that durable state needs.
// OS is the production implementation. Package memory implements a file system that
// loses unsynced data in a crash, for tests and the simulator.
package filesystem

import "io"

// FileSystem creates, reads and syncs files. Paths are slash-separated. The creation,
// renaming or removal of a file is durable only after SyncDirectory.
type FileSystem interface {
	// MakeDirectory creates a directory and its missing parents.
	MakeDirectory(path string) error
	// ReadDirectory returns the names in a directory, sorted.
	ReadDirectory(path string) ([]string, error)
	// Create creates an empty file, or truncates an existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDirectory makes the file names in the directory durable.
	SyncDirectory(path string) error
	// Lock acquires an exclusive lock that lasts until it is closed or the
	// process ends. The file is created if missing.
	Lock(path string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.Writer
	// Truncate shortens the file to a size; later writes append after it.
	Truncate(size int64) error
	// Sync returns once all written data is durable.
	Sync() error
	Close() error
}
