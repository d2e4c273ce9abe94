package admission

import (
	"container/heap"
	"time"
)

// Queue orders delayed requests: the most urgent first, and of one priority those
// that can be delayed least. T identifies a request.
type Queue[T comparable] struct {
	entries entries[T]
	byID    map[T]*entry[T]
}

type entry[T comparable] struct {
	id       T
	priority int
	until    time.Time
	index    int
}

// Len returns the number of delayed requests.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Add adds a request that may be delayed until a time.
func (q *Queue[T]) Add(id T, priority int, until time.Time) {
	if q.byID == nil {
		q.byID = map[T]*entry[T]{}
	}
	e := &entry[T]{id: id, priority: priority, until: until}
	q.byID[id] = e
	heap.Push(&q.entries, e)
}

// Remove removes a request and reports whether it was delayed.
func (q *Queue[T]) Remove(id T) bool {
	e := q.byID[id]
	if e == nil {
		return false
	}
	delete(q.byID, id)
	heap.Remove(&q.entries, e.index)
	return true
}

// First returns up to n requests in their order. They stay in the queue.
func (q *Queue[T]) First(n int) []T {
	taken := make([]*entry[T], 0, min(n, len(q.entries)))
	for len(taken) < n && len(q.entries) > 0 {
		taken = append(taken, heap.Pop(&q.entries).(*entry[T]))
	}
	ids := make([]T, 0, len(taken))
	for _, e := range taken {
		ids = append(ids, e.id)
		heap.Push(&q.entries, e)
	}
	return ids
}

// Due returns the requests that cannot be delayed beyond now, in no particular
// order, the same in each run. They stay in the queue.
func (q *Queue[T]) Due(now time.Time) []T {
	var due []T
	for _, e := range q.entries {
		if !e.until.After(now) {
			due = append(due, e.id)
		}
	}
	return due
}

// entries implements heap.Interface.
type entries[T comparable] []*entry[T]

func (e entries[T]) Len() int { return len(e) }

func (e entries[T]) Less(i, j int) bool {
	if e[i].priority != e[j].priority {
		return e[i].priority < e[j].priority
	}
	return e[i].until.Before(e[j].until)
}

func (e entries[T]) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index, e[j].index = i, j
}

// Push implements heap.Interface.
func (e *entries[T]) Push(x any) {
	added := x.(*entry[T])
	added.index = len(*e)
	*e = append(*e, added)
}

// Pop implements heap.Interface.
func (e *entries[T]) Pop() any {
	last := len(*e) - 1
	removed := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return removed
}
