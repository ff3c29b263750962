package relay

import (
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/packed"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// A patch makes the next document of the one held; one that does not fit has the whole asked for, and
// the configuration in force stays meanwhile.
func TestDocumentsAreMadeByPatches(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	relay.dialect.ParseConfiguration = func(content []byte) (serving.Configuration, error) {
		return serving.Configuration{Number: uint64(content[0]), Services: []serving.Service{{Name: "service"}}}, nil
	}
	knowledge := relay.fleet
	first := &v1.Document{Number: 2, Content: []byte{2, 'a'}}
	knowledge.ApplyUpdate(&v1.WatchResponse{PackedDocument: packed.Pack(first)})
	require.Equal(t, uint64(2), knowledge.WatchRequest(time.Second).GetDocumentNumber())
	patch, err := packed.MakePatch(first.GetContent(), []byte{3, 'b'})
	require.NoError(t, err)
	knowledge.ApplyUpdate(&v1.WatchResponse{DocumentPatch: patch, PatchedNumber: 3})
	require.Equal(t, uint64(3), relay.view.Load().table.Configuration.Number)
	require.Equal(t, uint64(3), knowledge.WatchRequest(time.Second).GetDocumentNumber())

	knowledge.ApplyUpdate(&v1.WatchResponse{DocumentPatch: []byte("garbled"), PatchedNumber: 4})
	require.Equal(t, uint64(3), relay.view.Load().table.Configuration.Number)
	require.Zero(t, knowledge.WatchRequest(time.Second).GetDocumentNumber(), "the whole is asked for")
	knowledge.ApplyUpdate(&v1.WatchResponse{PackedDocument: packed.Pack(&v1.Document{Number: 3, Content: []byte{3, 'b'}})})
	require.Equal(t, uint64(3), knowledge.WatchRequest(time.Second).GetDocumentNumber(), "and held, though it is in force already")
	knowledge.ApplyUpdate(&v1.WatchResponse{PackedDocument: packed.Pack(&v1.Document{Number: 4, Content: []byte{4}})})
	require.Equal(t, uint64(4), relay.view.Load().table.Configuration.Number)
}

// The number that the leader is told is that of the configuration in force: one that this build cannot put in force is
// not held, and what has changed since the one in force is still understood.
func TestADocumentThatCannotBePutInForceIsNotHeld(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	relay.dialect.ParseConfiguration = func(content []byte) (serving.Configuration, error) {
		if content[1] == '?' {
			return serving.Configuration{}, trace.BadParameter("a field of another build")
		}
		return serving.Configuration{Number: uint64(content[0]), Services: []serving.Service{{Name: "service"}}}, nil
	}
	knowledge := relay.fleet
	tell := func(number byte, content byte) bool {
		return knowledge.ApplyUpdate(&v1.WatchResponse{PackedDocument: packed.Pack(&v1.Document{Number: uint64(number), Content: []byte{number, content}})})
	}
	require.True(t, tell(2, 'a'))
	require.False(t, tell(3, '?'))
	require.Equal(t, uint64(2), knowledge.WatchRequest(time.Second).GetDocumentNumber())
	patch, err := packed.MakePatch([]byte{2, 'a'}, []byte{4, 'b'})
	require.NoError(t, err)
	require.True(t, knowledge.ApplyUpdate(&v1.WatchResponse{DocumentPatch: patch, PatchedNumber: 4}))
	require.Equal(t, uint64(4), relay.view.Load().table.Configuration.Number)
}
