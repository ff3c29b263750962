// Package packed compresses messages that are created once and sent to many receivers. Compressing them for each
// receiver would dominate the sender's CPU time.
package packed

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// maximumUnpackedBytes limits the size of an unpacked message.
const maximumUnpackedBytes = 64 << 20

// Pack returns the compressed encoding of a message.
func Pack(message proto.Message) []byte {
	content, _ := proto.MarshalOptions{Deterministic: true}.Marshal(message) // strings come from decoded messages, so they are valid UTF-8
	return compress(content)
}

func compress(content []byte) []byte {
	var buffer bytes.Buffer
	writer, _ := gzip.NewWriterLevel(&buffer, gzip.BestSpeed) // the level is valid
	_, _ = writer.Write(content)                              // writes to a buffer never fail
	_ = writer.Close()
	return buffer.Bytes()
}

// Unpack decodes a message from its compressed encoding. It returns an error if the content is corrupt or too large.
func Unpack(content []byte, message proto.Message) error {
	reader, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return trace.BadParameter("a packed message is not in gzip format: %v", err)
	}
	unpacked, err := io.ReadAll(io.LimitReader(reader, maximumUnpackedBytes+1))
	if err != nil {
		return trace.BadParameter("a packed message cannot be decompressed: %v", err)
	}
	if len(unpacked) > maximumUnpackedBytes {
		return trace.LimitExceeded("a packed message is larger than %d bytes", maximumUnpackedBytes)
	}
	return trace.Wrap(proto.Unmarshal(unpacked, message))
}
