package idempotency

import "time"

// expiry is the end of the retention of one finished record.
type expiry struct {
	key    string
	record *record
	at     time.Time
}

// expiryHeap orders records by the end of their retention, which can differ
// from the order in which they finished when a document changes the retention.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an expiry; only container/heap calls it.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop removes the last expiry; only container/heap calls it.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = expiry{}
	*h = (*h)[:last]
	return e
}
