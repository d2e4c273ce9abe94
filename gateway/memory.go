package gateway

import (
	"io"
	"sync"

	"pistachioford.example/core/steer"
)

const (
	// minBodyBudget and defaultBodyBudget bound the bytes of bodies that an
	// instance holds, on a small machine and on one whose memory is not known.
	minBodyBudget     = 4 << 20
	defaultBodyBudget = 8 << 20
	// bodyBudgetDivisor is the part of the machine's memory that bodies may
	// take. The garbage collector may need as much again, and buffers that grow
	// leave as much behind.
	bodyBudgetDivisor = 32
	// maxTargetShare is the part of the budget that the responses of one target
	// may take.
	maxTargetShare = 4
	// unbudgetedBytes of each body are held without a reservation. Their sum is
	// bounded by the number of open connections.
	unbudgetedBytes = 8 << 10
)

// memoryBudget bounds the bytes of bodies that the instance holds at the same
// time. A body that gets no share of it passes through in pieces. It is safe for
// concurrent use.
type memoryBudget struct {
	limit int

	mu      sync.Mutex
	held    int
	byOwner map[steer.TargetID]int
}

// newMemoryBudget returns the budget of a machine with an amount of memory, 0 if
// that is not known.
func newMemoryBudget(memoryMB int) *memoryBudget {
	limit := defaultBodyBudget
	if memoryMB > 0 {
		limit = max(memoryMB<<20/bodyBudgetDivisor, minBodyBudget)
	}
	return &memoryBudget{limit: limit, byOwner: map[steer.TargetID]int{}}
}

// reserve takes n bytes for a body that a target sends, or a caller if owner is
// empty. It returns false if the budget or the owner's share is used up.
func (b *memoryBudget) reserve(owner steer.TargetID, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+n > b.limit || owner != "" && b.byOwner[owner]+n > b.limit/maxTargetShare {
		return false
	}
	b.held += n
	if owner != "" {
		b.byOwner[owner] += n
	}
	return true
}

func (b *memoryBudget) release(owner steer.TargetID, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
	if owner == "" {
		return
	}
	if b.byOwner[owner] -= n; b.byOwner[owner] == 0 {
		delete(b.byOwner, owner)
	}
}

// charge counts n bytes that are held already, even beyond the limit. It returns
// false beyond it. They are released without an owner.
func (b *memoryBudget) charge(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held += n
	return b.held <= b.limit
}

// heldBody is a body, or the first part of one, with its share of the budget.
type heldBody struct {
	bytes    []byte
	budget   *memoryBudget
	owner    steer.TargetID
	reserved int
}

// release returns the share. The bytes must not be used afterwards.
func (h *heldBody) release() {
	if h.reserved > 0 {
		h.budget.release(h.owner, h.reserved)
	}
	h.bytes, h.reserved = nil, 0
}

// grow makes room for more bytes, without a reservation before some have
// arrived. It returns false if there is no room below limit or in the budget.
func (h *heldBody) grow(limit int) bool {
	if len(h.bytes) < cap(h.bytes) {
		return true
	}
	size := min(max(bodyGrowthFactor*cap(h.bytes), firstBodyBytes), limit)
	if size <= cap(h.bytes) {
		return false
	}
	if size > unbudgetedBytes {
		if !h.budget.reserve(h.owner, size-h.reserved) {
			return false
		}
		h.reserved = size
	}
	grown := make([]byte, len(h.bytes), size)
	copy(grown, h.bytes)
	h.bytes = grown
	return true
}

const (
	// firstBodyBytes is the size of the first buffer of a body.
	firstBodyBytes = 2 << 10
	// bodyGrowthFactor is by how much a buffer grows. A small factor would leave
	// more discarded buffers to the garbage collector.
	bodyGrowthFactor = 4
)

// expect makes room for a body of a declared length, as far as that needs no
// reservation.
func (h *heldBody) expect(length int) {
	if length > 0 {
		h.bytes = make([]byte, 0, min(length, unbudgetedBytes))
	}
}

// readUpTo reads from r until its end, up to limit bytes or as far as the budget
// allows. It returns true if it reached the end.
func (h *heldBody) readUpTo(r io.Reader, limit int) (ended bool, err error) {
	for h.grow(limit) {
		n, err := r.Read(h.bytes[len(h.bytes):cap(h.bytes)])
		h.bytes = h.bytes[:len(h.bytes)+n]
		switch {
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}
