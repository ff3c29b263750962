package controlstate

import (
	"cmp"
	"slices"

	"github.com/google/btree"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// catalogueDegree is the degree of the B-tree that orders objects by revision.
const catalogueDegree = 32

// catalogue holds the declared objects and the retained tombstones, indexed by key and by
// the revision that last changed them.
type catalogue struct {
	objects    map[Key]*v1.Object
	byType     map[v1.ObjectType]map[string]*v1.Object // in force only
	byRevision *btree.BTreeG[*v1.Object]
	// tenantOfKey maps the hash of an API key to its tenant's name.
	tenantOfKey map[string]string
	tombstones  *btree.BTreeG[*v1.Object]
	// tombstoneFloor is the highest revision of a dropped tombstone; all later tombstones are retained.
	tombstoneFloor uint64
	inForce        int
}

func newCatalogue() *catalogue {
	return &catalogue{
		objects:     map[Key]*v1.Object{},
		byType:      map[v1.ObjectType]map[string]*v1.Object{},
		byRevision:  btree.NewG(catalogueDegree, revisionLess),
		tenantOfKey: map[string]string{},
		tombstones:  btree.NewG(catalogueDegree, revisionLess),
	}
}

func revisionLess(a, b *v1.Object) bool {
	if order := cmp.Compare(a.Revision, b.Revision); order != 0 {
		return order < 0
	}
	return KeyOf(a.Key).Compare(KeyOf(b.Key)) < 0
}

// get returns the object in force, or nil.
func (c *catalogue) get(key Key) *v1.Object {
	object := c.objects[key]
	if object == nil || object.Deleted {
		return nil
	}
	return object
}

// put stores the object or tombstone and replaces what its key held.
func (c *catalogue) put(object *v1.Object) {
	key := KeyOf(object.Key)
	c.remove(key)
	c.objects[key] = object
	c.byRevision.ReplaceOrInsert(object)
	if object.Deleted {
		c.tombstones.ReplaceOrInsert(object)
		c.trimTombstones()
		return
	}
	c.inForce++
	names := c.byType[key.Type]
	if names == nil {
		names = map[string]*v1.Object{}
		c.byType[key.Type] = names
	}
	names[key.Name] = object
	for _, hash := range object.GetTenant().GetApiKeyHashes() {
		c.tenantOfKey[hash] = key.Name
	}
}

// remove deletes the object or tombstone of the key, if any.
func (c *catalogue) remove(key Key) {
	old := c.objects[key]
	if old == nil {
		return
	}
	delete(c.objects, key)
	c.byRevision.Delete(old)
	if old.Deleted {
		c.tombstones.Delete(old)
		return
	}
	c.inForce--
	delete(c.byType[key.Type], key.Name)
	for _, hash := range old.GetTenant().GetApiKeyHashes() {
		if c.tenantOfKey[hash] == key.Name {
			delete(c.tenantOfKey, hash)
		}
	}
}

// trimTombstones drops the oldest tombstones beyond MaximumTombstones.
func (c *catalogue) trimTombstones() {
	for c.tombstones.Len() > MaximumTombstones {
		oldest, _ := c.tombstones.Min()
		c.tombstoneFloor = max(c.tombstoneFloor, oldest.Revision)
		c.remove(KeyOf(oldest.Key))
	}
}

// ofType lists the objects in force of one type, sorted by name.
func (c *catalogue) ofType(objectType v1.ObjectType) []*v1.Object {
	return sortedValues(c.byType[objectType])
}

// sortedValues returns the values of a map in the order of their keys.
func sortedValues[K cmp.Ordered, V any](values map[K]V) []V {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	sorted := make([]V, len(keys))
	for i, key := range keys {
		sorted[i] = values[key]
	}
	return sorted
}
