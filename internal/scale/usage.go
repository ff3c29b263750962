package scale

import (
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// clockTicks is the unit of processor time in /proc, USER_HZ, which Linux fixes at 100.
const clockTicks = 100

// processorTime is the processor time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	_, rest, found := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12 // after the name
	if !found || len(fields) <= systemField {
		return 0, trace.BadParameter("/proc/%d/stat cannot be read", pid)
	}
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks, trace.Wrap(err)
}

// ownProcessorTime is the processor time that this process has used.
func ownProcessorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes is the memory that a process holds.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// heapBytes is the live heap of this process.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// directoryBytes is the size of the files under a directory.
func directoryBytes(directory string) int64 {
	total := int64(0)
	_ = filepath.WalkDir(directory, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil // files come and go while the controller writes
		}
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	return total
}
