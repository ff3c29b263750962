package wal

import (
	"errors"
	"fmt"
	"path"
	"strings"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// ErrCorrupt tells that acknowledged records are damaged: the disk must be replaced.
var ErrCorrupt = errors.New("the log is corrupt")

// segmentPattern names segments by their number.
const segmentPattern = "segment-%016x.log"

// segment is one log file.
type segment struct {
	number uint64
	// size is the length of its sound records in bytes.
	size int64
	// highest is the highest index of an entry in it.
	highest uint64
}

// segmentPath returns the path of a segment.
func segmentPath(directory string, number uint64) string {
	return path.Join(directory, fmt.Sprintf(segmentPattern, number))
}

// parseSegmentName returns the number of a segment file.
func parseSegmentName(name string) (number uint64, isSegment bool) {
	if !strings.HasPrefix(name, "segment-") {
		return 0, false
	}
	_, err := fmt.Sscanf(name, segmentPattern, &number)
	return number, err == nil && name == fmt.Sprintf(segmentPattern, number)
}

// corruption describes damage at an offset of a file.
func corruption(file string, offset int64, what string) error {
	return trace.Wrap(ErrCorrupt, "%s at offset %d: %s; empty the data directory so that the controller joins as a new member",
		file, offset, what)
}

// readSegment hands each record to take, in order. In the last segment a damaged
// end that no sound record follows is a torn write, and ends the reading; anywhere
// else it is corruption. next is the number of the record due.
func readSegment(file string, data []byte, last bool, next *uint64, take func(*v1.LogRecord) error) (size int64, err error) {
	offset := int64(0)
	for int(offset) < len(data) {
		record, length, sound := decodeRecord(data[offset:])
		if !sound {
			if !last || soundRecordAfter(data[offset:], *next) {
				return 0, corruption(file, offset, "record "+fmt.Sprint(*next)+" is damaged and records follow it")
			}
			return offset, nil
		}
		if *next != 0 && record.GetSequence() != *next {
			return 0, corruption(file, offset, fmt.Sprintf("record %d stands where %d is due", record.GetSequence(), *next))
		}
		if err := take(record); err != nil {
			return 0, trace.Wrap(err, "%s at offset %d", file, offset)
		}
		*next = record.GetSequence() + 1
		offset += int64(length)
	}
	return offset, nil
}
