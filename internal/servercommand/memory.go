package servercommand

import "runtime/debug"

const (
	bytesPerMiB = 1 << 20
	// heapShare is the part of a process's memory that the heap may take before the
	// collector works harder; stacks, buffers of the kernel and code need the rest.
	heapShare = 0.6
)

// limitMemory lets the collector keep the process under its limit in MiB; 0 sets none.
func limitMemory(limit int) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * heapShare * bytesPerMiB))
	}
}
