package wal

import (
	"errors"
	"fmt"
	"path"
	"strings"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// ErrCorrupt means that acknowledged records are damaged; the disk must be replaced.
var ErrCorrupt = errors.New("the log is corrupt")

// segmentPattern is the file name of a segment with its number.
const segmentPattern = "segment-%016x.log"

// segment is one log file.
type segment struct {
	number uint64
	// validBytes is the length of the segment's valid records in bytes.
	validBytes int64
	// highestIndex is the highest index of an entry in the segment.
	highestIndex uint64
}

// segmentPath returns the path of a segment.
func segmentPath(directory string, number uint64) string {
	return path.Join(directory, fmt.Sprintf(segmentPattern, number))
}

// parseSegmentName returns the number in the name of a segment file.
func parseSegmentName(name string) (number uint64, isSegment bool) {
	if !strings.HasPrefix(name, "segment-") {
		return 0, false
	}
	_, err := fmt.Sscanf(name, segmentPattern, &number)
	return number, err == nil && name == fmt.Sprintf(segmentPattern, number)
}

// corruptionError returns an error for damage at an offset of a file.
func corruptionError(file string, offset int64, problem string) error {
	return trace.Wrap(ErrCorrupt, "%s at offset %d: %s; empty the data directory so that the controller joins as a new member",
		file, offset, problem)
}

// readSegment passes each record to apply, in order, and returns the length of the valid records in bytes.
// In the last segment, damage that no valid record follows is a torn write and ends the
// segment; any other damage is corruption. *nextSequence is the number of the next expected record, which
// readSegment advances; 0 accepts any number.
func readSegment(file string, data []byte, isLast bool, nextSequence *uint64, apply func(*v1.LogRecord) error) (size int64, err error) {
	offset := int64(0)
	for int(offset) < len(data) {
		record, length, valid := decodeRecord(data[offset:])
		if !valid {
			if !isLast || containsValidRecord(data[offset:], *nextSequence) {
				return 0, corruptionError(file, offset, "record "+fmt.Sprint(*nextSequence)+" is damaged and records follow it")
			}
			return offset, nil
		}
		if *nextSequence != 0 && record.GetSequence() != *nextSequence {
			return 0, corruptionError(file, offset, fmt.Sprintf("record %d stands where %d is due", record.GetSequence(), *nextSequence))
		}
		if err := apply(record); err != nil {
			return 0, trace.Wrap(err, "%s at offset %d", file, offset)
		}
		*nextSequence = record.GetSequence() + 1
		offset += int64(length)
	}
	return offset, nil
}
