package crashguard

import (
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// recent remembers a value of the requests that were put last, up to a bound.
type recent[Value any] struct {
	values map[quarantine.Signature]Value
	// order holds the requests in the order in which they were put first.
	order []quarantine.Signature
	most  int
}

func newRecent[Value any](most int) *recent[Value] {
	return &recent[Value]{values: map[quarantine.Signature]Value{}, most: most}
}

func (r *recent[Value]) get(signature quarantine.Signature) (Value, bool) {
	value, known := r.values[signature]
	return value, known
}

// put sets the value of a request; the oldest gives way beyond the bound.
func (r *recent[Value]) put(signature quarantine.Signature, value Value) {
	if _, known := r.values[signature]; !known {
		r.order = append(r.order, signature)
	}
	r.values[signature] = value
	for len(r.order) > r.most {
		delete(r.values, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *recent[Value]) remove(signature quarantine.Signature) {
	if _, known := r.values[signature]; !known {
		return
	}
	delete(r.values, signature)
	r.order = slices.DeleteFunc(r.order, func(each quarantine.Signature) bool { return each == signature })
}
