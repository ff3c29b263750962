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

// A patch is applied to the held document. After a patch that does not apply, the complete document is requested, and the
// current configuration stays in effect meanwhile.
func TestPatchesAreAppliedToTheHeldDocument(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	relay.dialect.ParseConfiguration = func(content []byte) (serving.Configuration, error) {
		return serving.Configuration{Number: uint64(content[0]), Services: []serving.Service{{Name: "service"}}}, nil
	}
	fleet := relay.fleet
	first := &v1.Document{Number: 2, Content: []byte{2, 'a'}}
	fleet.ApplyUpdate(&v1.WatchResponse{PackedDocument: packed.Pack(first)})
	require.Equal(t, uint64(2), fleet.WatchRequest(time.Second).GetDocumentNumber())
	patch, err := packed.MakePatch(first.GetContent(), []byte{3, 'b'})
	require.NoError(t, err)
	fleet.ApplyUpdate(&v1.WatchResponse{DocumentPatch: patch, PatchedNumber: 3})
	require.Equal(t, uint64(3), relay.view.Load().table.Configuration.Number)
	require.Equal(t, uint64(3), fleet.WatchRequest(time.Second).GetDocumentNumber())

	fleet.ApplyUpdate(&v1.WatchResponse{DocumentPatch: []byte("garbled"), PatchedNumber: 4})
	require.Equal(t, uint64(3), relay.view.Load().table.Configuration.Number)
	require.Zero(t, fleet.WatchRequest(time.Second).GetDocumentNumber(), "the complete document is requested")
	fleet.ApplyUpdate(&v1.WatchResponse{PackedDocument: packed.Pack(&v1.Document{Number: 3, Content: []byte{3, 'b'}})})
	require.Equal(t, uint64(3), fleet.WatchRequest(time.Second).GetDocumentNumber(), "it is held, although it is applied already")
	fleet.ApplyUpdate(&v1.WatchResponse{PackedDocument: packed.Pack(&v1.Document{Number: 4, Content: []byte{4}})})
	require.Equal(t, uint64(4), relay.view.Load().table.Configuration.Number)
}

// The document number that is sent to the leader is that of the current configuration. A document that this build cannot
// apply is not held, so later patches still apply to the current one.
func TestADocumentThatCannotBePutInForceIsNotHeld(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	relay.dialect.ParseConfiguration = func(content []byte) (serving.Configuration, error) {
		if content[1] == '?' {
			return serving.Configuration{}, trace.BadParameter("a field of another build")
		}
		return serving.Configuration{Number: uint64(content[0]), Services: []serving.Service{{Name: "service"}}}, nil
	}
	fleet := relay.fleet
	apply := func(number byte, content byte) bool {
		return fleet.ApplyUpdate(&v1.WatchResponse{PackedDocument: packed.Pack(&v1.Document{Number: uint64(number), Content: []byte{number, content}})})
	}
	require.True(t, apply(2, 'a'))
	require.False(t, apply(3, '?'))
	require.Equal(t, uint64(2), fleet.WatchRequest(time.Second).GetDocumentNumber())
	patch, err := packed.MakePatch([]byte{2, 'a'}, []byte{4, 'b'})
	require.NoError(t, err)
	require.True(t, fleet.ApplyUpdate(&v1.WatchResponse{DocumentPatch: patch, PatchedNumber: 4}))
	require.Equal(t, uint64(4), relay.view.Load().table.Configuration.Number)
}
