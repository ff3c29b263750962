// Package filesystem is the small part of a file system that durable state needs.
// The production implementation is OS; package memory keeps files in memory and
// loses what was not synced, for tests and the simulator.
package filesystem

import "io"

// FileSystem creates, reads and syncs files. Paths are slash-separated. A new,
// renamed or removed name is durable only after SyncDirectory.
type FileSystem interface {
	// MakeDirectory creates a directory and those above it where missing.
	MakeDirectory(path string) error
	// ReadDirectory returns the names in a directory, sorted.
	ReadDirectory(path string) ([]string, error)
	// Create makes an empty file, replacing one that exists.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDirectory makes the names in the directory durable.
	SyncDirectory(path string) error
	// Lock takes a lock that one process holds at a time, until it is closed or the
	// process ends. The file is made where missing.
	Lock(path string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.Writer
	// Truncate cuts the file; later writes go to the new end.
	Truncate(size int64) error
	// Sync returns once everything written is durable.
	Sync() error
	Close() error
}
