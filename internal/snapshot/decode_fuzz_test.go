package snapshot

import (
	"encoding/binary"
	"hash/crc32"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// FuzzDecode decodes arbitrary files, with and without a valid checksum: decode returns an
// error or a snapshot that is the same after encoding and decoding it again.
func FuzzDecode(f *testing.F) {
	valid, err := encode(&v1.Snapshot{Metadata: &v1.SnapshotMetadata{Index: 7, Term: 2}, Data: []byte("state")})
	require.NoError(f, err)
	f.Add(valid, false)
	f.Add(valid[:headerBytes], false)
	f.Add(valid[:len(valid)-1], true)
	f.Add([]byte(magic), true)
	f.Fuzz(func(t *testing.T, data []byte, fixChecksum bool) {
		if fixChecksum && len(data) >= headerBytes {
			copy(data, magic)
			binary.LittleEndian.PutUint32(data[4:], crc32.Checksum(data[headerBytes:], castagnoli))
		}
		snapshot, err := decode(data)
		if err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
			return
		}
		encoded, err := encode(snapshot)
		require.NoError(t, err)
		decoded, err := decode(encoded)
		require.NoError(t, err)
		require.True(t, proto.Equal(snapshot, decoded))
	})
}
