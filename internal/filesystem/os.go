package filesystem

import (
	"io"
	"os"
	"syscall"

	"github.com/gravitational/trace"
)

// Permissions of created directories and files: access for the owner only.
const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// OS is the file system of this machine.
type OS struct{}

// MakeDirectory implements FileSystem.
func (OS) MakeDirectory(path string) error {
	return trace.ConvertSystemError(os.MkdirAll(path, directoryMode))
}

// ReadDirectory implements FileSystem.
func (OS) ReadDirectory(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Create implements FileSystem.
func (OS) Create(path string) (File, error) {
	return open(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
}

// OpenAppend implements FileSystem.
func (OS) OpenAppend(path string) (File, error) {
	return open(path, os.O_WRONLY|os.O_APPEND)
}

// open opens a file for writing.
func open(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return file, nil
}

// ReadFile implements FileSystem.
func (OS) ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	return data, trace.ConvertSystemError(err)
}

// Rename implements FileSystem.
func (OS) Rename(from, to string) error {
	return trace.ConvertSystemError(os.Rename(from, to))
}

// Remove implements FileSystem.
func (OS) Remove(path string) error {
	return trace.ConvertSystemError(os.Remove(path))
}

// SyncDirectory implements FileSystem.
func (OS) SyncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	err = directory.Sync()
	if closeErr := directory.Close(); err == nil {
		err = closeErr
	}
	return trace.ConvertSystemError(err)
}

// Lock implements FileSystem.
func (OS) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, trace.CompareFailed("%s is locked by another process; stop it or use another data directory", path)
	}
	return file, nil
}
