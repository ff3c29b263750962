package checkedconn

import (
	"bufio"
	"bytes"
	"net/http"
)

var (
	headEnd  = []byte("\r\n\r\n")
	chunkEnd = []byte("0\r\n\r\n")
)

// writtenRequest is what was written of one request, which a library may write piece by piece. The zero value is one of which nothing was.
type writtenRequest struct {
	// head is its beginning, up to the end of its head if that was written.
	head       []byte
	isHeadRead bool
	// bodyBytes is the number of bytes of its body, and last are the last ones.
	bodyBytes int64
	last      []byte
}

// reset begins another request.
func (w *writtenRequest) reset() {
	*w = writtenRequest{head: w.head[:0], last: w.last[:0]}
}

// add records the next piece.
func (w *writtenRequest) add(piece []byte) {
	if !w.isHeadRead {
		begun := len(w.head)
		w.head = append(w.head, piece...)
		end := bytes.Index(w.head[max(begun-len(headEnd)+1, 0):], headEnd)
		if end < 0 {
			return
		}
		end += max(begun-len(headEnd)+1, 0) + len(headEnd)
		piece = piece[end-begun:]
		w.head, w.isHeadRead = w.head[:end], true
	}
	w.bodyBytes += int64(len(piece))
	w.last = append(w.last, piece[max(len(piece)-len(chunkEnd), 0):]...)
	w.last = w.last[max(len(w.last)-len(chunkEnd), 0):]
}

// isWhole reports whether all of the request was written, as far as its head tells.
func (w *writtenRequest) isWhole() bool {
	if !w.isHeadRead {
		return false
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(w.head)))
	switch {
	case err != nil: // no library writes such a head
		return true
	case request.ContentLength >= 0:
		return w.bodyBytes >= request.ContentLength
	default:
		return bytes.Equal(w.last, chunkEnd)
	}
}
