package routing

import "slices"

// queue holds waiters in the order in which they get slots.
type queue struct {
	items []*waiter
}

func (q *queue) len() int { return len(q.items) }

func (q *queue) push(w *waiter) {
	i, _ := slices.BinarySearchFunc(q.items, w, func(a, b *waiter) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	q.items = slices.Insert(q.items, i, w)
}

func (q *queue) head() *waiter {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// last returns the waiter at the end of the queue, or nil.
func (q *queue) last() *waiter {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[len(q.items)-1]
}

// remove removes w and reports whether it was in the queue.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.items, w)
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}
