package limit

import "time"

// Bucket is a token bucket. The zero value has no tokens and no rate.
type Bucket struct {
	rate       float64 // tokens per second
	burst      float64 // maximum number of tokens
	tokens     float64 // negative after a charge larger than the burst
	refilledAt time.Time
}

// Set changes the rate and the burst. The first call fills the bucket. Later
// calls keep the tokens collected so far, up to the new burst.
func (b *Bucket) Set(now time.Time, rate, burst float64) {
	if b.refilledAt.IsZero() {
		b.refilledAt, b.tokens = now, burst
	}
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// refill adds the tokens collected since the last refill, up to the burst.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
}

// Ready reports whether n tokens can be taken while reserve tokens stay for
// more urgent work. A charge for which n+reserve exceeds the burst needs a
// full bucket, since it could never be made otherwise. It can leave a debt, so
// that the average rate stays bounded.
func (b *Bucket) Ready(now time.Time, n, reserve float64) bool {
	b.refill(now)
	return b.burst > 0 && b.tokens >= min(n+reserve, b.burst)
}

// Take charges n tokens without a check. Call it only after Ready has returned
// true.
func (b *Bucket) Take(now time.Time, n float64) {
	b.refill(now)
	b.tokens -= n
}
