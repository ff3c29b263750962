package bodybudget

import (
	"bytes"
	"errors"
	"io"
)

const (
	// firstReadBytes is the memory that a body of unknown length gets at first, and growthFactor how much more it gets at each
	// step.
	firstReadBytes = 1 << 10
	growthFactor   = 4
)

// ReadLength reads a body of a known length.
func (r *Reservation) ReadLength(source io.Reader, length int) ([]byte, error) {
	if err := r.Grow(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(source, body)
	return body, err
}

// ReadUpTo reads a body of unknown length up to its end, or up to the given number of bytes. The reservation covers the body.
func (r *Reservation) ReadUpTo(source io.Reader, limit int) ([]byte, error) {
	var body []byte
	for size := min(firstReadBytes, limit); ; size = nextSize(size, limit) {
		if err := r.Grow(size); err != nil {
			return nil, err
		}
		longer := make([]byte, size)
		held := copy(longer, body)
		n, err := readFull(source, longer[held:])
		body = longer[:held+n]
		switch {
		case errors.Is(err, io.EOF):
			return r.fit(body), nil
		case err != nil:
			return body, err
		case size == limit:
			return body, nil
		}
	}
}

// nextSize returns the memory that a body gets when the given size is used up.
func nextSize(size, limit int) int {
	if next := growthFactor * size; next <= limit/2 {
		return next
	}
	return limit
}

// readFull fills the buffer unless an error ends the source before. Unlike io.ReadFull, it leaves the error as it is.
func readFull(source io.Reader, buffer []byte) (read int, err error) {
	for read < len(buffer) && err == nil {
		var n int
		n, err = source.Read(buffer[read:])
		read += n
	}
	if read == len(buffer) {
		return read, nil
	}
	return read, err
}

// fit gives back the memory that a complete body does not need.
func (r *Reservation) fit(body []byte) []byte {
	if cap(body) <= FreeBytes {
		return body
	}
	body = bytes.Clone(body)
	r.Shrink(len(body))
	return body
}
