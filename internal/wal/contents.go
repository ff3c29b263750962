package wal

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Position is the index and term of an entry.
type Position struct {
	Index uint64
	Term  uint64
}

// Contents is what a log held when it was opened.
type Contents struct {
	Identity  *v1.DiskIdentity
	HardState *v1.HardState
	// Snapshot is the position of the newest snapshot; zero when there is none.
	Snapshot Position
	// Entries follow the snapshot without a hole.
	Entries []*v1.Entry
}

// contents tracks what replaying the log gives. Once the log is open the entries'
// data is of no more use, but their positions are.
type contents struct {
	hardState *v1.HardState
	snapshot  Position
	entries   []*v1.Entry
	exported  bool
}

// export returns the contents and forgets the entries' data.
func (c *contents) export(identity *v1.DiskIdentity) Contents {
	exported := Contents{Identity: identity, HardState: c.hardState, Snapshot: c.snapshot, Entries: c.entries}
	c.exported = true
	c.entries = nil
	c.remember(exported.Entries)
	return exported
}

// remember appends entries, without their data once the log is open.
func (c *contents) remember(entries []*v1.Entry) {
	for _, entry := range entries {
		if c.exported {
			entry = &v1.Entry{Index: entry.GetIndex(), Term: entry.GetTerm()}
		}
		c.entries = append(c.entries, entry)
	}
}

// header is the record that begins a segment.
func (c *contents) header() *v1.LogRecord {
	return &v1.LogRecord{HardState: c.hardState, SnapshotIndex: c.snapshot.Index, SnapshotTerm: c.snapshot.Term}
}

// replacedBy reports whether the record's snapshot conflicts with the entries held,
// so that all of them are void.
func (c *contents) replacedBy(record *v1.LogRecord) bool {
	if record.GetSnapshotIndex() == 0 {
		return false
	}
	position := Position{Index: record.GetSnapshotIndex(), Term: record.GetSnapshotTerm()}
	if position == c.snapshot {
		return false
	}
	for _, entry := range c.entries {
		if entry.GetIndex() == position.Index {
			return entry.GetTerm() != position.Term
		}
	}
	return true
}

// replay applies one record.
func (c *contents) replay(record *v1.LogRecord) error {
	if record.GetHardState() != nil {
		c.hardState = record.GetHardState()
	}
	if record.GetSnapshotIndex() > 0 {
		c.replaySnapshot(record)
	}
	entries := record.GetEntries()
	for len(entries) > 0 && entries[0].GetIndex() <= c.snapshot.Index {
		entries = entries[1:] // from before a snapshot that is newer
	}
	if len(entries) == 0 {
		return nil
	}
	if err := c.cutFrom(entries[0].GetIndex()); err != nil {
		return trace.Wrap(err)
	}
	for i, entry := range entries {
		if entry.GetIndex() != entries[0].GetIndex()+uint64(i) {
			return trace.Wrap(ErrCorrupt, "entry %d stands where %d is due", entry.GetIndex(), entries[0].GetIndex()+uint64(i))
		}
	}
	c.remember(entries)
	return nil
}

// replaySnapshot drops the entries that the snapshot covers or voids.
func (c *contents) replaySnapshot(record *v1.LogRecord) {
	if record.GetSnapshotIndex() < c.snapshot.Index {
		return
	}
	c.snapshot = Position{Index: record.GetSnapshotIndex(), Term: record.GetSnapshotTerm()}
	if record.GetReplacesLog() {
		c.entries = nil
		return
	}
	covered := 0
	for covered < len(c.entries) && c.entries[covered].GetIndex() <= c.snapshot.Index {
		covered++
	}
	c.entries = append([]*v1.Entry(nil), c.entries[covered:]...)
}

// cutFrom drops the entries from index on; index must follow what stays. While the
// log is read, its beginning may be missing: a snapshot recorded later covers it.
func (c *contents) cutFrom(index uint64) error {
	first := c.snapshot.Index + 1
	if len(c.entries) > 0 {
		first = c.entries[0].GetIndex()
	}
	end := first + uint64(len(c.entries))
	if !c.exported && (len(c.entries) == 0 || index < first) {
		c.entries = nil
		return nil
	}
	if index < first || index > end {
		return trace.Wrap(ErrCorrupt, "entry %d does not follow the log, which ends at %d", index, end-1)
	}
	c.entries = c.entries[:index-first]
	return nil
}

// check reports a hole between the snapshot and the entries once all is read.
func (c *contents) check() error {
	if len(c.entries) > 0 && c.entries[0].GetIndex() != c.snapshot.Index+1 {
		return trace.Wrap(ErrCorrupt, "the log begins with entry %d but the snapshot ends at %d; empty the data directory",
			c.entries[0].GetIndex(), c.snapshot.Index)
	}
	return nil
}
