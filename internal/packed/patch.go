package packed

import (
	"math/bits"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
)

const (
	// patchDictionaryID identifies the content that a patch was made against; there is only one.
	patchDictionaryID = 1
	// minimumWindow and maximumWindow bound the zstd window in bytes; it must span both contents.
	minimumWindow = 1 << 16
	maximumWindow = 32 << 20
)

// MakePatch returns a compressed patch that turns one content into the other. The patch is small if they differ
// little.
func MakePatch(from, to []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(patchDictionaryID, from), zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithWindowSize(windowSize(len(from)+len(to))), zstd.WithEncoderCRC(true))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(to, nil), nil
}

// ApplyPatch applies a patch to the content it was made against. It returns an error for a patch of another
// content, for a corrupt patch, and for a result that is too large.
func ApplyPatch(from, patch []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(patchDictionaryID, from), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maximumUnpackedBytes), zstd.WithDecoderMaxWindow(maximumWindow))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(patch, nil)
	if err != nil {
		return nil, trace.BadParameter("the patch cannot be applied to this content: %v", err)
	}
	return content, nil
}

// windowSize returns the smallest power of two above the size, within the bounds.
func windowSize(size int) int {
	return min(max(1<<bits.Len(uint(size)), minimumWindow), maximumWindow)
}
