package crashguard

import (
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// boundedMap maps requests to values and evicts the oldest entries beyond a limit.
type boundedMap[Value any] struct {
	values map[quarantine.Signature]Value
	// order holds the requests in the order in which they were first set.
	order []quarantine.Signature
	limit int
}

func newBoundedMap[Value any](limit int) *boundedMap[Value] {
	return &boundedMap[Value]{values: map[quarantine.Signature]Value{}, limit: limit}
}

func (r *boundedMap[Value]) get(signature quarantine.Signature) (Value, bool) {
	value, known := r.values[signature]
	return value, known
}

// set sets the value of a request. Beyond the limit the oldest request is evicted.
func (r *boundedMap[Value]) set(signature quarantine.Signature, value Value) {
	if _, known := r.values[signature]; !known {
		r.order = append(r.order, signature)
	}
	r.values[signature] = value
	for len(r.order) > r.limit {
		delete(r.values, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *boundedMap[Value]) remove(signature quarantine.Signature) {
	if _, known := r.values[signature]; !known {
		return
	}
	delete(r.values, signature)
	r.order = slices.DeleteFunc(r.order, func(each quarantine.Signature) bool { return each == signature })
}
