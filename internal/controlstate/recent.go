package controlstate

// recent keeps the latest items up to a bound, oldest first.
type recent[T any] struct {
	limit int
	items []T
	// oldest is the position of the oldest item that is kept.
	oldest int
}

func newRecent[T any](limit int) recent[T] { return recent[T]{limit: limit} }

// add appends an item and returns the items forgotten for it: none or one.
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

// all returns the items, oldest first. The slice must not be changed.
func (r *recent[T]) all() []T { return r.items[r.oldest:] }
