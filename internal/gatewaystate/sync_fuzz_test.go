package gatewaystate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// FuzzApplySync applies two arbitrary answers of controllers: the state must not panic or return to an earlier
// revision, and its snapshot must show the applied revision.
func FuzzApplySync(f *testing.F) {
	seed := func(response *v1.SyncResponse) []byte {
		data, err := proto.Marshal(response)
		require.NoError(f, err)
		return data
	}
	tenant := &v1.Object{Key: &v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_TENANT, Name: "t"}, Revision: 3,
		Spec: &v1.Object_Tenant{Tenant: &v1.Tenant{Weight: 1, ApiKeyHashes: []string{"ab"}}}}
	kind := &v1.Object{Key: &v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_KIND, Name: "k"}, Revision: 2,
		Spec: &v1.Object_Kind{Kind: &v1.Kind{Worth: 1, DeadlineMs: 5}}}
	full := seed(&v1.SyncResponse{Revision: 3, Full: true, Objects: []*v1.Object{tenant, kind},
		Directory: &v1.Directory{Version: 7, BackEnds: []*v1.BackEnd{{Name: "b", Service: "s"}}}})
	f.Add(full, seed(&v1.SyncResponse{Revision: 4, Objects: []*v1.Object{{Key: tenant.Key, Revision: 4, Deleted: true}}}))
	f.Add(full, seed(&v1.SyncResponse{Revision: 2, Full: true, Behind: true, RejectedKeyHashes: []string{"cd"}}))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		state := New(Config{Identity: &v1.NodeIdentity{Name: "gateway-1"}})
		for i, data := range [][]byte{first, second} {
			response := &v1.SyncResponse{}
			if proto.Unmarshal(data, response) != nil {
				return
			}
			now, before := time.Duration(i)*time.Second, state.Revision()
			state.RequestKeyLookup("ab")
			state.ApplySync(now, now, state.SyncRequest(now), response)
			require.GreaterOrEqual(t, state.Revision(), before)
			require.Equal(t, state.Revision(), state.Snapshot().Revision)
			state.BackEnds()
		}
	})
}
