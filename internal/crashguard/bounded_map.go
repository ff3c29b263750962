package crashguard

import (
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// boundedMap maps the signatures of requests to values and evicts the oldest entries beyond a limit.
type boundedMap[Value any] struct {
	values map[quarantine.Signature]Value
	// order holds the signatures in the order in which they were first set.
	order []quarantine.Signature
	limit int
}

func newBoundedMap[Value any](limit int) *boundedMap[Value] {
	return &boundedMap[Value]{values: map[quarantine.Signature]Value{}, limit: limit}
}

func (m *boundedMap[Value]) get(signature quarantine.Signature) (Value, bool) {
	value, known := m.values[signature]
	return value, known
}

// set sets the value of a request. If the map is then larger than its limit, the oldest request is evicted.
func (m *boundedMap[Value]) set(signature quarantine.Signature, value Value) {
	if _, known := m.values[signature]; !known {
		m.order = append(m.order, signature)
	}
	m.values[signature] = value
	for len(m.order) > m.limit {
		delete(m.values, m.order[0])
		m.order = m.order[1:]
	}
}

func (m *boundedMap[Value]) remove(signature quarantine.Signature) {
	if _, known := m.values[signature]; !known {
		return
	}
	delete(m.values, signature)
	m.order = slices.DeleteFunc(m.order, func(each quarantine.Signature) bool { return each == signature })
}
