package controlstate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// node is the configuration of a gateway, which is changed by deltas only.
type node struct {
	revision uint64
	objects  map[Key]*v1.Object
}

func (n *node) apply(delta Delta) {
	if delta.Full || n.objects == nil {
		n.objects = map[Key]*v1.Object{}
	}
	for _, object := range delta.Objects {
		if object.Deleted {
			delete(n.objects, KeyOf(object.Key))
		} else {
			n.objects[KeyOf(object.Key)] = object
		}
	}
	n.revision = delta.Revision
}

func (n *node) tenants() []string {
	var names []string
	for key := range n.objects {
		if key.Type == v1.ObjectType_OBJECT_TYPE_TENANT {
			names = append(names, key.Name)
		}
	}
	return names
}

func TestNodeCatchesUpByDelta(t *testing.T) {
	s := newTestState(t)
	s.accept(append(baseObjects(), tenantObject("a", keyHash(1)), tenantObject("b", keyHash(2)))...)
	n := &node{}
	n.apply(s.Delta(DeltaRequest{UnknownKeyHashes: []string{keyHash(1), keyHash(9)}}))
	require.ElementsMatch(t, []string{"a"}, n.tenants(), "only the tenant whose key it has received")
	for i := range 1000 {
		s.accept(modelObject("base", fmt.Sprint(i+2)))
	}
	s.accept(deleted(v1.ObjectType_OBJECT_TYPE_KIND, "matching"), tenantObject("b", keyHash(3)))
	delta := s.Delta(DeltaRequest{Revision: n.revision, HeldTenants: n.tenants()})
	require.False(t, delta.Full)
	require.Len(t, delta.Objects, 2, "1,001 revisions changed two objects that this node holds")
	n.apply(delta)
	require.Equal(t, s.Revision(), n.revision)
	require.Equal(t, "1001", n.objects[Key{v1.ObjectType_OBJECT_TYPE_MODEL, "base"}].GetModel().Version)
	require.Nil(t, n.objects[Key{v1.ObjectType_OBJECT_TYPE_KIND, "matching"}])
	require.Empty(t, s.Delta(DeltaRequest{Revision: n.revision}).Objects)
}

func TestNodeAheadKeepsItsRevision(t *testing.T) {
	s := newTestState(t)
	s.accept(baseObjects()...)
	delta := s.Delta(DeltaRequest{Revision: 5, UnknownKeyHashes: []string{keyHash(1)}})
	require.Equal(t, Delta{Revision: 5}, delta, "the delta is empty and rejects no key")
}

func TestNodeBehindDroppedTombstonesGetsFullConfiguration(t *testing.T) {
	s := newTestState(t)
	s.accept(baseObjects()...)
	for i := range MaximumTombstones + 1 {
		s.accept(modelObject(fmt.Sprint("m", i), "1"))
		s.accept(deleted(v1.ObjectType_OBJECT_TYPE_MODEL, fmt.Sprint("m", i)))
	}
	require.True(t, s.Delta(DeltaRequest{Revision: 1}).Full)
	require.Len(t, s.Delta(DeltaRequest{Revision: 1}).Objects, 3)
	require.False(t, s.Delta(DeltaRequest{Revision: s.Revision() - 2}).Full)
}

func TestDeltaSizeIsLimitedByWhatTheNodeHolds(t *testing.T) {
	s := newTestState(t)
	s.accept(baseObjects()...)
	var tenants []*v1.Object
	for i := range 5000 {
		tenants = append(tenants, tenantObject(fmt.Sprint("t", i), keyHash(i+1)))
	}
	s.accept(tenants...)
	require.Len(t, s.Delta(DeltaRequest{}).Objects, 3)
	require.Len(t, s.Delta(DeltaRequest{Revision: 1, HeldTenants: []string{"t7", "t9"}}).Objects, 2)
	delta := s.Delta(DeltaRequest{Revision: 1})
	require.True(t, delta.Full, "too many tenants changed to send them all")
	require.Len(t, delta.Objects, 3)
	s.accept(tenantObject("t7", keyHash(8), keyHash(9999)))
	require.Len(t, s.Delta(DeltaRequest{Revision: 2}).Objects, 1, "a node that names no tenants gets the few changed ones")
}

func TestDeltaOmitsObjectsThatNodesDoNotNeed(t *testing.T) {
	s := newTestState(t)
	s.accept(append(baseObjects(), &v1.Object{Key: objectKey(v1.ObjectType_OBJECT_TYPE_OPERATOR, "alice"),
		Spec: &v1.Object_Operator{Operator: &v1.Operator{KeyHash: keyHash(1), Role: v1.OperatorRole_OPERATOR_ROLE_VIEWER}}})...)
	for _, request := range []DeltaRequest{{}, {Revision: 0, HeldTenants: []string{"x"}}} {
		for _, object := range s.Delta(request).Objects {
			require.NotEqual(t, v1.ObjectType_OBJECT_TYPE_OPERATOR, object.Key.Type)
		}
	}
}
