// Package wal keeps a controller's log on disk: records in numbered segment files,
// each with a checksum, each synced before it counts.
//
// One record is written per sync. A crash can therefore tear the last record only;
// that one was never acknowledged and is cut off on the next start. A damaged
// record with a sound one after it is corruption of acknowledged state: Open refuses
// it with the file and the offset, and the disk has to be replaced.
//
// A Log is not safe for concurrent use.
package wal
