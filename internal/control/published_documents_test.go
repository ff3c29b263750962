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

// manyTenants returns a document with 33,000 tenants of two keys each, in which one tenant's keys depend on the number.
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

// A large document changes in one of 33,000 tenants every 60 ms. Relays get only some of the versions, as patches,
// and the last version within the operator's time limit.
func TestRapidLargeDocumentsAreSkippedAndPatched(t *testing.T) {
	published := publishedDocuments{}
	current := published.advance(0, manyTenants(1))
	require.Equal(t, uint64(1), current.GetNumber())
	unpatched, patchBytes, count := 0, 0, 0
	newest, now := current, time.Duration(0)
	for number := uint64(2); number <= 40; number++ {
		now += 60 * time.Millisecond
		newest = manyTenants(number)
		next := published.advance(now, newest)
		if next.GetNumber() == current.GetNumber() {
			continue
		}
		patch := published.patchFrom(current.GetNumber())
		if patch == nil {
			unpatched++
			continue
		}
		content, err := packed.ApplyPatch(current.GetContent(), patch)
		require.NoError(t, err)
		require.True(t, bytes.Equal(next.GetContent(), content))
		current, count = next, count+1
		patchBytes += len(patch)
	}
	require.Zero(t, unpatched)
	require.Equal(t, 1, count, "one version in the 1.5 s that a relay takes to parse it")
	require.Less(t, patchBytes, 2_000)
	now = published.nextAt
	require.LessOrEqual(t, now, 2*1600*time.Millisecond)
	require.Equal(t, newest.GetNumber(), published.advance(now, newest).GetNumber())
	t.Logf("%d bytes of patches for a change of a document of %d", patchBytes, len(current.GetContent()))
}

// Small documents are published at once, however fast they follow each other.
func TestSmallDocumentsArePublishedAtOnce(t *testing.T) {
	published := publishedDocuments{}
	for number := uint64(1); number <= 20; number++ {
		document := &v1.Document{Number: number, Content: bytes.Repeat([]byte{byte(number)}, 20_000)}
		require.Equal(t, number, published.advance(time.Duration(number)*60*time.Millisecond, document).GetNumber())
	}
	require.Nil(t, published.patchFrom(3), "the document is no longer retained")
	require.NotNil(t, published.patchFrom(18))
	require.Nil(t, published.patchFrom(20), "this is the newest document")
}

// A relay that holds the previous document gets a patch; one without a document gets the whole document.
func TestRelaysGetPatchesOfTheDocumentTheyHold(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
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
	response := watch(5)
	require.Empty(t, response.GetPackedDocument())
	require.Equal(t, uint64(6), response.GetPatchedNumber())
	patched, err := packed.ApplyPatch([]byte(content+"five"), response.GetDocumentPatch())
	require.NoError(t, err)
	require.Equal(t, content+"six", string(patched))
	require.NotEmpty(t, watch(0).GetPackedDocument())
	require.NotEmpty(t, watch(4).GetPackedDocument(), "the leader does not retain this document")
	require.Empty(t, watch(6).GetDocumentPatch())
}
