package sharedrate

import "time"

// Bucket is a token bucket whose rate and depth may change. The zero value is
// empty and starts to fill with the first call of Refill.
type Bucket struct {
	Tokens     float64
	refilledAt time.Time
}

// Start sets the tokens of a bucket that has not been refilled yet and returns
// false for one that has.
func (b *Bucket) Start(now time.Time, tokens float64) bool {
	if !b.refilledAt.IsZero() {
		return false
	}
	b.Tokens, b.refilledAt = tokens, now
	return true
}

// Refill adds what a rate in tokens per second has brought since the last call,
// up to depth.
func (b *Bucket) Refill(now time.Time, rate, depth float64) {
	if !b.refilledAt.IsZero() {
		b.Tokens += rate * now.Sub(b.refilledAt).Seconds()
	}
	b.Tokens = min(b.Tokens, depth)
	b.refilledAt = now
}
