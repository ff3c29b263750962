package wal

import (
	"io"
	"path"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/filesystem"
)

// DefaultSegmentBytes is the size after which a new segment is started.
const DefaultSegmentBytes = 16 << 20

// formatVersion is written into every segment; a newer one is refused.
const formatVersion = 1

// lockName is the file that keeps two processes off one directory.
const lockName = "lock"

// Options tell where and whose the log is.
type Options struct {
	FileSystem filesystem.FileSystem
	Directory  string
	// SegmentBytes is the size after which a new segment is started; zero means the default.
	SegmentBytes int64
	// Identity is written when the directory holds no log yet.
	Identity *v1.DiskIdentity
}

// Log is the open log of one controller.
type Log struct {
	options  Options
	identity *v1.DiskIdentity
	lock     io.Closer
	segments []segment
	file     filesystem.File
	next     uint64 // number of the next record
	contents *contents
	broken   error
}

// Open reads the log in the directory, or starts one when there is none. It returns
// what the log held.
func Open(options Options) (*Log, Contents, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	if err := options.FileSystem.MakeDirectory(options.Directory); err != nil {
		return nil, Contents{}, trace.Wrap(err, "create %s", options.Directory)
	}
	lock, err := options.FileSystem.Lock(path.Join(options.Directory, lockName))
	if err != nil {
		return nil, Contents{}, trace.Wrap(err)
	}
	log := &Log{options: options, lock: lock, contents: &contents{}}
	if err := log.open(); err != nil {
		_ = lock.Close()
		return nil, Contents{}, trace.Wrap(err)
	}
	return log, log.contents.export(log.identity), nil
}

// open reads all segments and opens the last one for writing.
func (l *Log) open() error {
	if err := l.listSegments(); err != nil {
		return trace.Wrap(err)
	}
	for i := range l.segments {
		if err := l.readInto(i); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := l.contents.check(); err != nil {
		return trace.Wrap(err, "%s", l.options.Directory)
	}
	if l.identity == nil {
		return trace.Wrap(l.startEmpty())
	}
	return trace.Wrap(l.reopenLast())
}

// listSegments finds the segments, which must be numbered without a hole.
func (l *Log) listSegments() error {
	names, err := l.options.FileSystem.ReadDirectory(l.options.Directory)
	if err != nil {
		return trace.Wrap(err, "read %s", l.options.Directory)
	}
	for _, name := range names {
		number, isSegment := parseSegmentName(name)
		if !isSegment {
			continue
		}
		if count := len(l.segments); count > 0 && l.segments[count-1].number+1 != number {
			return corruption(segmentPath(l.options.Directory, l.segments[count-1].number+1), 0, "the segment is missing")
		}
		l.segments = append(l.segments, segment{number: number})
	}
	return nil
}

// readInto replays the segment at the position in the list.
func (l *Log) readInto(at int) error {
	current := &l.segments[at]
	file := segmentPath(l.options.Directory, current.number)
	data, err := l.options.FileSystem.ReadFile(file)
	if err != nil {
		return trace.Wrap(err, "read %s", file)
	}
	first := true
	current.size, err = readSegment(file, data, at == len(l.segments)-1, &l.next, func(record *v1.LogRecord) error {
		if err := l.checkIdentity(record, first); err != nil {
			return trace.Wrap(err)
		}
		first = false
		current.note(record)
		return trace.Wrap(l.contents.replay(record))
	})
	return trace.Wrap(err)
}

// note takes the record's entries into account.
func (s *segment) note(record *v1.LogRecord) {
	for _, entry := range record.GetEntries() {
		s.highest = max(s.highest, entry.GetIndex())
	}
}

// checkIdentity refuses a log that is not this controller's.
func (l *Log) checkIdentity(record *v1.LogRecord, first bool) error {
	identity := record.GetIdentity()
	if identity == nil {
		if first {
			return trace.Wrap(ErrCorrupt, "the segment does not begin with the disk's identity")
		}
		return nil
	}
	wanted := l.options.Identity
	switch {
	case identity.GetFormat() > formatVersion:
		return trace.BadParameter("the log has format %d; this program reads up to %d: use a newer program",
			identity.GetFormat(), formatVersion)
	case identity.GetFleet() != wanted.GetFleet():
		return trace.BadParameter("the data directory belongs to fleet %q, not %q: correct `fleet` or `data_directory`",
			identity.GetFleet(), wanted.GetFleet())
	case identity.GetName() != wanted.GetName():
		return trace.BadParameter("the data directory belongs to controller %q, not %q: correct `name` or `data_directory`",
			identity.GetName(), wanted.GetName())
	}
	l.identity = identity
	return nil
}

// startEmpty begins a log with a new identity. Segments without a single sound
// record are leftovers of a first start that crashed before anything was promised.
func (l *Log) startEmpty() error {
	for _, leftover := range l.segments {
		if err := l.options.FileSystem.Remove(segmentPath(l.options.Directory, leftover.number)); err != nil {
			return trace.Wrap(err)
		}
	}
	l.segments = nil
	l.identity = &v1.DiskIdentity{
		DiskId: l.options.Identity.GetDiskId(), Fleet: l.options.Identity.GetFleet(),
		Name: l.options.Identity.GetName(), Format: formatVersion,
	}
	l.next = 1
	return trace.Wrap(l.startSegment(1))
}

// reopenLast opens the last segment and cuts off its torn end. A last segment
// without a sound record is a crash while it was started.
func (l *Log) reopenLast() error {
	last := &l.segments[len(l.segments)-1]
	if last.size == 0 {
		number := last.number
		l.segments = l.segments[:len(l.segments)-1]
		return trace.Wrap(l.startSegment(number))
	}
	file, err := l.options.FileSystem.OpenAppend(segmentPath(l.options.Directory, last.number))
	if err != nil {
		return trace.Wrap(err)
	}
	l.file = file
	if err := file.Truncate(last.size); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(file.Sync())
}

// startSegment begins a segment with a record of everything but the entries.
func (l *Log) startSegment(number uint64) error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return trace.Wrap(err)
		}
	}
	file, err := l.options.FileSystem.Create(segmentPath(l.options.Directory, number))
	if err != nil {
		return trace.Wrap(err, "start segment %d", number)
	}
	l.file = file
	l.segments = append(l.segments, segment{number: number})
	record := l.contents.header()
	record.Identity = l.identity
	if err := l.write(record); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.options.FileSystem.SyncDirectory(l.options.Directory))
}

// Append writes and syncs one record. After an error the log is broken: what is on
// disk is unknown, and every later call returns the same error.
func (l *Log) Append(record *v1.LogRecord) error {
	if l.broken != nil {
		return l.broken
	}
	if err := l.append(record); err != nil {
		l.broken = trace.Wrap(err, "the log is unusable until the process restarts")
		return l.broken
	}
	return nil
}

// append starts a new segment where one is due and writes the record.
func (l *Log) append(record *v1.LogRecord) error {
	last := l.segments[len(l.segments)-1]
	if last.size >= l.options.SegmentBytes {
		if err := l.startSegment(last.number + 1); err != nil {
			return trace.Wrap(err)
		}
	}
	record.ReplacesLog = l.contents.replacedBy(record)
	if err := l.contents.replay(record); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.write(record))
}

// write writes one record to the last segment and syncs it.
func (l *Log) write(record *v1.LogRecord) error {
	record.Sequence = l.next
	encoded, err := encodeRecord(record)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := l.file.Write(encoded); err != nil {
		return trace.Wrap(err, "write log record %d", record.GetSequence())
	}
	if err := l.file.Sync(); err != nil {
		return trace.Wrap(err, "sync log record %d", record.GetSequence())
	}
	l.next++
	last := &l.segments[len(l.segments)-1]
	last.size += int64(len(encoded))
	last.note(record)
	return nil
}

// RemoveCovered removes the segments whose entries the newest snapshot covers, the
// oldest first, so that a crash leaves no hole. It returns how many it removed.
func (l *Log) RemoveCovered() (removed int, err error) {
	for len(l.segments) > 1 && l.segments[0].highest <= l.contents.snapshot.Index {
		if err := l.options.FileSystem.Remove(segmentPath(l.options.Directory, l.segments[0].number)); err != nil {
			return removed, trace.Wrap(err)
		}
		if err := l.options.FileSystem.SyncDirectory(l.options.Directory); err != nil {
			return removed, trace.Wrap(err)
		}
		l.segments = l.segments[1:]
		removed++
	}
	return removed, nil
}

// Close closes the log. It syncs nothing: every record was synced when it was appended.
func (l *Log) Close() error {
	err := l.file.Close()
	if lockErr := l.lock.Close(); err == nil {
		err = lockErr
	}
	return trace.Wrap(err)
}
