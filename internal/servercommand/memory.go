package servercommand

import "runtime/debug"

const (
	bytesPerMiB = 1 << 20
	// heapFraction is the fraction of the process's memory limit that the garbage collector targets;
	// stacks, kernel buffers and code need the rest.
	heapFraction = 0.6
)

// limitMemory sets the garbage collector's memory limit for a process limit in MiB; 0 sets none.
func limitMemory(limit int) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * heapFraction * bytesPerMiB))
	}
}
