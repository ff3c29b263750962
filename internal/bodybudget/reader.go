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
	body, isWhole, err := readInSteps(source, limit, r.Grow)
	switch {
	case errors.Is(err, ErrExhausted):
		return nil, err
	case isWhole:
		return r.fit(body), nil
	default:
		return body, err
	}
}

// ReadAvailable reads a body of unknown length as ReadUpTo does, but does not wait for memory: where none is left, it returns what it
// has read so far. copies is how often the body will be in memory at once, for which the reservation is made. isWhole is true if the
// body was read up to its end.
func (r *Reservation) ReadAvailable(source io.Reader, limit, copies int) (body []byte, isWhole bool, err error) {
	body, isWhole, err = readInSteps(source, limit, func(size int) error {
		if size <= FreeBytes {
			return nil
		}
		return r.TryGrow(copies * size)
	})
	if errors.Is(err, ErrExhausted) {
		err = nil
	}
	return body, isWhole, err
}

// readInSteps reads a body into memory that grows in steps, each of which is reserved first. isWhole is true if the source has ended.
func readInSteps(source io.Reader, limit int, reserve func(size int) error) (body []byte, isWhole bool, err error) {
	for size := min(firstReadBytes, limit); ; size = nextSize(size, limit) {
		if err := reserve(size); err != nil {
			return body, false, err
		}
		longer := make([]byte, size)
		held := copy(longer, body)
		n, err := readFull(source, longer[held:])
		body = longer[:held+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return body, false, err
		case size == limit:
			return body, false, nil
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
