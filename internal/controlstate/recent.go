package controlstate

// recent retains the most recently added items, up to a limit.
type recent[T any] struct {
	limit int
	items []T
	// oldest is the index of the oldest retained item.
	oldest int
}

func newRecent[T any](limit int) recent[T] { return recent[T]{limit: limit} }

// add appends an item. If the limit is exceeded, it removes the oldest item and returns it as the only evicted one.
func (r *recent[T]) add(item T) (evicted []T) {
	r.items = append(r.items, item)
	if len(r.items)-r.oldest <= r.limit {
		return nil
	}
	evicted = []T{r.items[r.oldest]}
	var zero T
	r.items[r.oldest] = zero
	r.oldest++
	if r.oldest >= r.limit {
		r.items = append([]T(nil), r.items[r.oldest:]...)
		r.oldest = 0
	}
	return evicted
}

// all returns the items, oldest first. Callers must not change the slice.
func (r *recent[T]) all() []T { return r.items[r.oldest:] }
