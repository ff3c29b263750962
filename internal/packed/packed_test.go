package packed

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

func TestPackRoundTrip(t *testing.T) {
	document := &v1.Document{Number: 7, Content: make([]byte, 100_000)}
	content := Pack(document)
	require.Less(t, len(content), 2_000)
	read := &v1.Document{}
	require.NoError(t, Unpack(content, read))
	require.True(t, proto.Equal(document, read))
}

func TestCorruptMessagesAreRejected(t *testing.T) {
	content := Pack(&v1.Document{Number: 7, Content: []byte("content")})
	for name, garbled := range map[string][]byte{"empty": nil, "no gzip": []byte("garbled"), "cut": content[:len(content)-9]} {
		require.Error(t, Unpack(garbled, &v1.Document{}), name)
	}
	require.Error(t, Unpack(compress([]byte{0xff}), &v1.Document{}))
}

func TestOversizedMessagesAreRejected(t *testing.T) {
	require.ErrorContains(t, Unpack(Pack(&v1.Document{Content: make([]byte, maximumUnpackedBytes)}), &v1.Document{}), "larger than")
}
