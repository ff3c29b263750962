// Package lines reads lines that may be longer than the buffer they are read through.
package lines

import (
	"bufio"
	"errors"
)

// ErrTooLong means that a line does not fit into the limit.
var ErrTooLong = errors.New("the line is too long")

// Append appends the next line, including its line feed, to destination, which holds limit bytes at most. On an error it
// has appended what was read of the line.
func Append(destination []byte, source *bufio.Reader, limit int) ([]byte, error) {
	for {
		fragment, err := source.ReadSlice('\n')
		destination = append(destination, fragment...)
		switch {
		case len(destination) > limit:
			return destination, ErrTooLong
		case !errors.Is(err, bufio.ErrBufferFull):
			return destination, err
		}
	}
}
