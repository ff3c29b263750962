package controlstate

// recent keeps the latest items up to a bound, oldest first.
type recent[T any] struct {
	limit int
	items []T
	// start is the position of the oldest item that is kept.
	start int
}

func newRecent[T any](limit int) recent[T] { return recent[T]{limit: limit} }

// add appends an item and returns the items forgotten for it: none or one.
func (r *recent[T]) add(item T) (forgotten []T) {
	r.items = append(r.items, item)
	if len(r.items)-r.start <= r.limit {
		return nil
	}
	forgotten = []T{r.items[r.start]}
	var zero T
	r.items[r.start] = zero
	r.start++
	if r.start >= r.limit {
		r.items = append([]T(nil), r.items[r.start:]...)
		r.start = 0
	}
	return forgotten
}

// all returns the items, oldest first. The slice must not be changed.
func (r *recent[T]) all() []T { return r.items[r.start:] }
