package packed

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// tenantsDocument returns a document with the given number of tenants, each with two keys.
func tenantsDocument(tenants int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var content bytes.Buffer
	content.WriteString(`{"Version":7,"Tenants":[`)
	for index := range tenants {
		fmt.Fprintf(&content, `{"Name":"tenant-%05d","ApiKeys":["%016x%04x","%016x%04x"],"Priority":1},`,
			index, random.Uint64(), random.IntN(1<<16), random.Uint64(), random.IntN(1<<16))
	}
	content.WriteString(`{"Name":"last"}]}`)
	return content.Bytes()
}

// The patch for one changed key among 33,000 tenants must be hardly larger than that key.
func TestPatchSizeIsProportionalToChange(t *testing.T) {
	from := tenantsDocument(33_000)
	to := bytes.Replace(from, []byte(`"Version":7`), []byte(`"Version":19`), 1)
	at := bytes.Index(to, []byte(`tenant-20000`)) + len(`tenant-20000","ApiKeys":["`)
	copy(to[at:], "abcdefghijklmnopqrst")
	patch, err := MakePatch(from, to)
	require.NoError(t, err)
	t.Logf("%d bytes of %d", len(patch), len(to))
	require.Less(t, len(patch), 2_000)
	patched, err := ApplyPatch(from, patch)
	require.NoError(t, err)
	require.True(t, bytes.Equal(to, patched))
}

func TestPatchRoundTrip(t *testing.T) {
	for _, row := range [][2]string{{"", ""}, {"", "new"}, {"old", ""}, {"same", "same"}, {"one and two", "two and one"}} {
		patch, err := MakePatch([]byte(row[0]), []byte(row[1]))
		require.NoError(t, err)
		patched, err := ApplyPatch([]byte(row[0]), patch)
		require.NoError(t, err)
		require.Equal(t, row[1], string(patched))
	}
}

func TestMismatchedPatchesAreRejected(t *testing.T) {
	from := tenantsDocument(100)
	to := bytes.Replace(from, []byte(`"Version":7`), []byte(`"Version":8`), 1)
	patch, err := MakePatch(from, to)
	require.NoError(t, err)
	other := bytes.ReplaceAll(from, []byte("tenant"), []byte("nobody"))
	for name, row := range map[string][2][]byte{
		"another content": {other, patch}, "cut": {from, patch[:len(patch)-3]}, "garbled": {from, []byte("garbled")}, "none": {from, nil},
	} {
		patched, err := ApplyPatch(row[0], row[1])
		if name == "none" {
			require.Empty(t, patched)
			continue
		}
		require.Error(t, err, name)
	}
}
