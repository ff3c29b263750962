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

// Contents is the state that a log had when it was opened.
type Contents struct {
	Identity  *v1.DiskIdentity
	HardState *v1.HardState
	// Snapshot is the position of the newest snapshot; zero when there is none.
	Snapshot Position
	// Entries follow the snapshot without a gap.
	Entries []*v1.Entry
}

// contents is the state that results from replaying the log. Once the log is open, only the
// positions of the entries are needed, not their data.
type contents struct {
	hardState  *v1.HardState
	snapshot   Position
	entries    []*v1.Entry
	isExported bool
}

// export returns the contents and drops the entries' data.
func (c *contents) export(identity *v1.DiskIdentity) Contents {
	exported := Contents{Identity: identity, HardState: c.hardState, Snapshot: c.snapshot, Entries: c.entries}
	c.isExported = true
	c.entries = nil
	c.appendEntries(exported.Entries)
	return exported
}

// appendEntries appends entries; once the log is open, it drops their data.
func (c *contents) appendEntries(entries []*v1.Entry) {
	for _, entry := range entries {
		if c.isExported {
			entry = &v1.Entry{Index: entry.GetIndex(), Term: entry.GetTerm()}
		}
		c.entries = append(c.entries, entry)
	}
}

// header returns the record that begins a segment.
func (c *contents) header() *v1.LogRecord {
	return &v1.LogRecord{HardState: c.hardState, SnapshotIndex: c.snapshot.Index, SnapshotTerm: c.snapshot.Term}
}

// isReplacedBy reports whether the record's snapshot replaces the log: the log has no entry at the snapshot's position,
// or one with another term, so that all of its entries are invalid.
func (c *contents) isReplacedBy(record *v1.LogRecord) bool {
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
		entries = entries[1:] // covered by a newer snapshot
	}
	if len(entries) == 0 {
		return nil
	}
	if err := c.truncateFrom(entries[0].GetIndex()); err != nil {
		return trace.Wrap(err)
	}
	for i, entry := range entries {
		if entry.GetIndex() != entries[0].GetIndex()+uint64(i) {
			return trace.Wrap(ErrCorrupt, "entry %d stands where %d is due", entry.GetIndex(), entries[0].GetIndex()+uint64(i))
		}
	}
	c.appendEntries(entries)
	return nil
}

// replaySnapshot drops the entries that the snapshot covers or invalidates.
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

// truncateFrom drops the entries from index on. The index must be within the log or right after it, except while
// the log is read: its beginning may then be missing, because a snapshot recorded later covers it.
func (c *contents) truncateFrom(index uint64) error {
	firstIndex := c.snapshot.Index + 1
	if len(c.entries) > 0 {
		firstIndex = c.entries[0].GetIndex()
	}
	endIndex := firstIndex + uint64(len(c.entries))
	if !c.isExported && (len(c.entries) == 0 || index < firstIndex) {
		c.entries = nil
		return nil
	}
	if index < firstIndex || index > endIndex {
		return trace.Wrap(ErrCorrupt, "entry %d does not follow the log, which ends at %d", index, endIndex-1)
	}
	c.entries = c.entries[:index-firstIndex]
	return nil
}

// check returns an error if there is a gap between the snapshot and the entries after the whole log is read.
func (c *contents) check() error {
	if len(c.entries) > 0 && c.entries[0].GetIndex() != c.snapshot.Index+1 {
		return trace.Wrap(ErrCorrupt, "the log begins with entry %d but the snapshot ends at %d; empty the data directory",
			c.entries[0].GetIndex(), c.snapshot.Index)
	}
	return nil
}
