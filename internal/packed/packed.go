// Package packed compresses messages that are made once and sent to many: compressing them for each
// receiver would cost the sender more than everything else.
package packed

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// maximumSize bounds what a message may unpack to, in bytes.
const maximumSize = 64 << 20

// Pack returns a message in compressed form.
func Pack(message proto.Message) []byte {
	content, _ := proto.MarshalOptions{Deterministic: true}.Marshal(message) // strings come from messages, and so are valid
	return compress(content)
}

func compress(content []byte) []byte {
	var buffer bytes.Buffer
	writer, _ := gzip.NewWriterLevel(&buffer, gzip.BestSpeed) // the level is known
	_, _ = writer.Write(content)                              // a buffer takes everything
	_ = writer.Close()
	return buffer.Bytes()
}

// Unpack reads a message from its compressed form. One that is garbled or too large is an error.
func Unpack(content []byte, message proto.Message) error {
	reader, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return trace.BadParameter("a packed message is not compressed: %v", err)
	}
	whole, err := io.ReadAll(io.LimitReader(reader, maximumSize+1))
	if err != nil {
		return trace.BadParameter("a packed message cannot be read to its end: %v", err)
	}
	if len(whole) > maximumSize {
		return trace.LimitExceeded("a packed message is larger than %d bytes", maximumSize)
	}
	return trace.Wrap(proto.Unmarshal(whole, message))
}
