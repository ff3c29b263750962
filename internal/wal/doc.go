// Package wal stores a controller's log on disk: records in numbered segment files,
// each with a checksum, each synced before it is acknowledged.
//
// One record is written per sync. A crash can therefore tear only the last record,
// which was never acknowledged and is truncated on the next start. A damaged
// record before a valid one is corruption of acknowledged state: Open returns an error
// with the file and the offset, and the disk has to be replaced.
//
// A Log is not safe for concurrent use.
package wal
