package packed

import (
	"math/bits"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
)

const (
	// patchDictionary names the content that a patch is made against; there is one.
	patchDictionary = 1
	// leastWindow and mostWindow bound how far back a patch looks, in bytes: as far as both contents.
	leastWindow = 1 << 16
	mostWindow  = 32 << 20
)

// MakePatch returns what makes one content of another, in compressed form. It is small where they differ
// little.
func MakePatch(from, to []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(patchDictionary, from), zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithWindowSize(window(len(from)+len(to))), zstd.WithEncoderCRC(true))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(to, nil), nil
}

// ApplyPatch makes a content of another by a patch. A patch that was made against another content is an
// error, as are a garbled one and one whose result is too large.
func ApplyPatch(from, patch []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(patchDictionary, from), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maximumSize), zstd.WithDecoderMaxWindow(mostWindow))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(patch, nil)
	if err != nil {
		return nil, trace.BadParameter("a patch cannot be applied: %v", err)
	}
	return content, nil
}

// window is the least power of two that holds so many bytes, within bounds.
func window(size int) int {
	return min(max(1<<bits.Len(uint(size)), leastWindow), mostWindow)
}
