package sharedrate

import "time"

// windowSlots is the number of parts of a Window. The oldest one counts in full,
// so that a Window counts up to 1/windowSlots more time.
const windowSlots = 50

// Window counts what was used in a sliding window of time. The zero value has
// counted nothing.
type Window struct {
	slots  [windowSlots]float64
	sum    float64
	newest int64
}

// Sum returns what was added within the window that ends now.
func (w *Window) Sum(now time.Time, window time.Duration) float64 {
	slot := now.UnixNano() / max(int64(window)/windowSlots, 1)
	if slot-w.newest > windowSlots {
		*w = Window{newest: slot}
	}
	for w.newest < slot {
		w.newest++
		oldest := &w.slots[w.newest%windowSlots]
		w.sum -= *oldest
		*oldest = 0
	}
	return w.sum
}

// Add counts n as of the last call of Sum.
func (w *Window) Add(n float64) {
	w.slots[w.newest%windowSlots] += n
	w.sum += n
}
