package wal

import (
	"io"
	"path"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/filesystem"
)

// DefaultSegmentBytes is the default size at which a new segment is started.
const DefaultSegmentBytes = 4 << 20

// formatVersion is the format written into every segment; a log of a newer format is refused.
const formatVersion = 1

// lockName is the name of the file whose lock keeps other processes out of the directory.
const lockName = "lock"

// Options say where the log is and to which controller it belongs.
type Options struct {
	FileSystem filesystem.FileSystem
	Directory  string
	// SegmentBytes is the size at which a new segment is started; zero means the default.
	SegmentBytes int64
	// Identity is written when the directory has no log yet.
	Identity *v1.DiskIdentity
}

// Log is the open log of one controller.
type Log struct {
	options      Options
	identity     *v1.DiskIdentity
	lock         io.Closer
	segments     []segment
	file         filesystem.File
	nextSequence uint64 // number of the next record
	contents     *contents
	failure      error
}

// Open opens the log in the directory, or creates one when there is none. It returns
// the contents of the log.
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
		if err := l.replaySegment(i); err != nil {
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

// listSegments lists the segments, whose numbers must have no gap.
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
			return corruptionError(segmentPath(l.options.Directory, l.segments[count-1].number+1), 0, "the segment is missing")
		}
		l.segments = append(l.segments, segment{number: number})
	}
	return nil
}

// replaySegment reads and applies the segment at the position in the list.
func (l *Log) replaySegment(position int) error {
	current := &l.segments[position]
	file := segmentPath(l.options.Directory, current.number)
	data, err := l.options.FileSystem.ReadFile(file)
	if err != nil {
		return trace.Wrap(err, "read %s", file)
	}
	isFirst := true
	current.validBytes, err = readSegment(file, data, position == len(l.segments)-1, &l.nextSequence, func(record *v1.LogRecord) error {
		if err := l.checkIdentity(record, isFirst); err != nil {
			return trace.Wrap(err)
		}
		isFirst = false
		current.recordHighestIndex(record)
		return trace.Wrap(l.contents.replay(record))
	})
	return trace.Wrap(err)
}

// recordHighestIndex updates the segment's highest index with the record's entries.
func (s *segment) recordHighestIndex(record *v1.LogRecord) {
	for _, entry := range record.GetEntries() {
		s.highestIndex = max(s.highestIndex, entry.GetIndex())
	}
}

// checkIdentity returns an error if the log does not belong to this controller.
func (l *Log) checkIdentity(record *v1.LogRecord, first bool) error {
	identity := record.GetIdentity()
	if identity == nil {
		if first {
			return trace.Wrap(ErrCorrupt, "the segment does not begin with the disk's identity")
		}
		return nil
	}
	expected := l.options.Identity
	switch {
	case identity.GetFormat() > formatVersion:
		return trace.BadParameter("the log has format %d; this program reads up to %d: use a newer program",
			identity.GetFormat(), formatVersion)
	case identity.GetFleet() != expected.GetFleet():
		return trace.BadParameter("the data directory belongs to fleet %q, not %q: correct `fleet` or `data_directory`",
			identity.GetFleet(), expected.GetFleet())
	case identity.GetName() != expected.GetName():
		return trace.BadParameter("the data directory belongs to controller %q, not %q: correct `name` or `data_directory`",
			identity.GetName(), expected.GetName())
	}
	l.identity = identity
	return nil
}

// startEmpty creates a log with a new identity. It first removes segments without a valid
// record: a first start that crashed before it acknowledged anything left them behind.
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
	l.nextSequence = 1
	return trace.Wrap(l.startSegment(1))
}

// reopenLast opens the last segment and truncates it after its last valid record. If the last
// segment has no valid record, a crash interrupted its creation and it is started anew.
func (l *Log) reopenLast() error {
	last := &l.segments[len(l.segments)-1]
	if last.validBytes == 0 {
		number := last.number
		l.segments = l.segments[:len(l.segments)-1]
		return trace.Wrap(l.startSegment(number))
	}
	file, err := l.options.FileSystem.OpenAppend(segmentPath(l.options.Directory, last.number))
	if err != nil {
		return trace.Wrap(err)
	}
	l.file = file
	if err := file.Truncate(last.validBytes); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(file.Sync())
}

// startSegment creates a segment. Its first record holds the whole state except the entries.
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

// Append writes and syncs one record. After an error the state on disk is unknown:
// every later call returns the same error.
func (l *Log) Append(record *v1.LogRecord) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.append(record); err != nil {
		l.failure = trace.Wrap(err, "the log is unusable until the process restarts")
		return l.failure
	}
	return nil
}

// append starts a new segment if the last one is full, and writes the record.
func (l *Log) append(record *v1.LogRecord) error {
	last := l.segments[len(l.segments)-1]
	if last.validBytes >= l.options.SegmentBytes {
		if err := l.startSegment(last.number + 1); err != nil {
			return trace.Wrap(err)
		}
	}
	record.ReplacesLog = l.contents.isReplacedBy(record)
	if err := l.contents.replay(record); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.write(record))
}

// write writes one record to the last segment and syncs it.
func (l *Log) write(record *v1.LogRecord) error {
	record.Sequence = l.nextSequence
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
	l.nextSequence++
	last := &l.segments[len(l.segments)-1]
	last.validBytes += int64(len(encoded))
	last.recordHighestIndex(record)
	return nil
}

// RemoveCovered removes the segments whose entries are all covered by the newest snapshot. It
// removes the oldest first, so that a crash leaves no gap, and returns their number.
func (l *Log) RemoveCovered() (removed int, err error) {
	for len(l.segments) > 1 && l.segments[0].highestIndex <= l.contents.snapshot.Index {
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

// Close closes the log. It does not sync, because Append syncs every record.
func (l *Log) Close() error {
	err := l.file.Close()
	if lockErr := l.lock.Close(); err == nil {
		err = lockErr
	}
	return trace.Wrap(err)
}
