package snapshot

import (
	"encoding/binary"
	"hash/crc32"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// FuzzDecode reads arbitrary files, with and without the right checksum: each is
// refused with an error or gives a snapshot that is written as it was read.
func FuzzDecode(f *testing.F) {
	sound, err := encode(&v1.Snapshot{Metadata: &v1.SnapshotMetadata{Index: 7, Term: 2}, Data: []byte("state")})
	require.NoError(f, err)
	f.Add(sound, false)
	f.Add(sound[:headerBytes], false)
	f.Add(sound[:len(sound)-1], true)
	f.Add([]byte(magic), true)
	f.Fuzz(func(t *testing.T, data []byte, mend bool) {
		if mend && len(data) >= headerBytes {
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
		again, err := decode(encoded)
		require.NoError(t, err)
		require.True(t, proto.Equal(snapshot, again))
	})
}
