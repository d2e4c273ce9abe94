package limit

import "time"

// Bucket is a token bucket. The zero value is empty and gets no tokens.
type Bucket struct {
	rate   float64 // tokens a second
	burst  float64
	tokens float64 // negative while a charge beyond the burst is paid off
	at     time.Time
}

// Set changes the rate and the burst; the first call fills the bucket. Tokens
// collected at the old rate stay, up to the new burst.
func (b *Bucket) Set(now time.Time, rate, burst float64) {
	if b.at.IsZero() {
		b.at, b.tokens = now, burst
	}
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
}

// Ready tells whether n tokens can be taken while reserve tokens stay for more
// urgent work. A charge larger than the burst needs a full bucket and leaves a
// debt, so that it is possible at all and still bounded on average.
func (b *Bucket) Ready(now time.Time, n, reserve float64) bool {
	b.refill(now)
	return b.burst > 0 && b.tokens >= min(n+reserve, b.burst)
}

// Take charges n tokens; call it only after Ready.
func (b *Bucket) Take(now time.Time, n float64) {
	b.refill(now)
	b.tokens -= n
}
