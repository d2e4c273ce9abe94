package idempotency

import "time"

// expiryEntry holds a finished record and the time at which its retention
// ends.
type expiryEntry struct {
	key       string
	record    *record
	expiresAt time.Time
}

// expiryHeap is a min-heap of finished records by the end of their retention.
// That order differs from the order in which they finished if a document
// changes the retention.
type expiryHeap []expiryEntry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an entry. Only container/heap calls it.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryEntry)) }

// Pop removes the last entry. Only container/heap calls it.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = expiryEntry{}
	*h = (*h)[:last]
	return e
}
