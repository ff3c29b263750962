package control

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/packed"
)

// manyTenants is a document with 33,000 tenants of two keys, and the number in one of them.
func manyTenants(number uint64) *v1.Document {
	var content bytes.Buffer
	fmt.Fprintf(&content, `{"Version":%d,"Tenants":[`, number)
	for index := range 33_000 {
		hash := uint64(index+1) * 0x9e3779b97f4a7c15
		if index == 20_000 {
			hash = number
		}
		fmt.Fprintf(&content, `{"Name":"tenant-%05d","ApiKeys":["%020x","%020x"],"Priority":1},`, index, hash, hash*31)
	}
	content.WriteString(`{"Name":"last"}]}`)
	return &v1.Document{Number: number, Content: content.Bytes()}
}

// A change of one key among 33,000 tenants each 60 ms: relays are told of some of the documents, as what
// has changed, never later than the operator's bound, and of the last one.
func TestAStormOfLargeDocumentsIsToldInParts(t *testing.T) {
	told := publishedDocuments{}
	held := told.advance(0, manyTenants(1))
	require.Equal(t, uint64(1), held.GetNumber())
	wholes, bytesTold, count := 0, 0, 0
	newest, now := held, time.Duration(0)
	for number := uint64(2); number <= 40; number++ {
		now += 60 * time.Millisecond
		newest = manyTenants(number)
		next := told.advance(now, newest)
		if next.GetNumber() == held.GetNumber() {
			continue
		}
		patch := told.patchFrom(held.GetNumber())
		if patch == nil {
			wholes++
			continue
		}
		content, err := packed.ApplyPatch(held.GetContent(), patch)
		require.NoError(t, err)
		require.True(t, bytes.Equal(next.GetContent(), content))
		held, count = next, count+1
		bytesTold += len(patch)
	}
	require.Zero(t, wholes)
	require.Equal(t, 1, count, "one in 1.5 s of reading at a relay")
	require.Less(t, bytesTold, 2_000)
	now = told.nextAt
	require.LessOrEqual(t, now, 2*1600*time.Millisecond)
	require.Equal(t, newest.GetNumber(), told.advance(now, newest).GetNumber())
	t.Logf("%d bytes told for a change of a document of %d", bytesTold, len(held.GetContent()))
}

// Small documents are told at once, however fast they come.
func TestSmallDocumentsAreToldAtOnce(t *testing.T) {
	told := publishedDocuments{}
	for number := uint64(1); number <= 20; number++ {
		document := &v1.Document{Number: number, Content: bytes.Repeat([]byte{byte(number)}, 20_000)}
		require.Equal(t, number, told.advance(time.Duration(number)*60*time.Millisecond, document).GetNumber())
	}
	require.Nil(t, told.patchFrom(3), "it is not kept any more")
	require.NotNil(t, told.patchFrom(18))
	require.Nil(t, told.patchFrom(20), "nothing is new")
}

// A relay that holds the former document is told what has changed, one that holds none the whole.
func TestRelaysAreToldWhatHasChanged(t *testing.T) {
	w := newWorld(t, 3, seeded)
	newSite(w, 0, 0)
	leader := w.waitLeader()
	content := string(bytes.Repeat([]byte("a long content; "), 1000))
	require.NoError(t, w.putDocument(leader, 5, content+"five").Err)
	watch := func(number uint64) *v1.WatchResponse {
		answer := w.call(leader, func(id CallID) Input {
			return WatchReceived{Call: id, Request: &v1.WatchRequest{
				Node: &v1.NodeIdentity{Name: "relay"}, WaitMs: 100, DocumentNumber: number, Formats: formats.Supported().ToWire(),
			}}
		})
		return answer.Response.(*v1.WatchResponse)
	}
	require.NotEmpty(t, watch(0).GetPackedDocument())
	require.NoError(t, w.putDocument(leader, 6, content+"six").Err)
	w.run(50 * time.Millisecond)
	told := watch(5)
	require.Empty(t, told.GetPackedDocument())
	require.Equal(t, uint64(6), told.GetPatchedNumber())
	made, err := packed.ApplyPatch([]byte(content+"five"), told.GetDocumentPatch())
	require.NoError(t, err)
	require.Equal(t, content+"six", string(made))
	require.NotEmpty(t, watch(0).GetPackedDocument())
	require.NotEmpty(t, watch(4).GetPackedDocument(), "another number is not known here")
	require.Empty(t, watch(6).GetDocumentPatch())
}
