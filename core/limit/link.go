package limit

import (
	"time"

	"pistachioford.example/core/document"
)

const (
	// bulkThreshold is the size in bytes above which a body is treated as
	// large.
	bulkThreshold = 64 << 10
	// bulkFraction is the fraction of the link that large bodies may use.
	// Without the rest, a single upload of several seconds' worth of the
	// budget would stop all urgent forwarding for that time.
	bulkFraction = 0.7
	// burstFraction is the burst as a fraction of the bytes or requests per
	// second. The refill rate is lowered by the burst, so that no second
	// exceeds the budget; a large body is charged at once and can still exceed
	// it.
	burstFraction = 0.1
)

// Link is this instance's part of the byte budget for one direction between
// two regions. The zero value allows nothing.
type Link struct {
	short, bulk Bucket
}

// Set changes the instance's part of the budget, in bytes per second.
func (l *Link) Set(now time.Time, bytesPerSecond float64) {
	burst := bytesPerSecond * burstFraction
	rate := bytesPerSecond - burst
	l.short.Set(now, rate*(1-bulkFraction), burst*(1-bulkFraction))
	l.bulk.Set(now, rate*bulkFraction, burst*bulkFraction)
}

// Ready reports whether a transfer of n bytes may start now.
func (l *Link) Ready(now time.Time, n int64, p document.Priority) bool {
	return l.selectBucket(now, n, p) != nil
}

// Charge takes n bytes from the budget. It returns false and takes nothing if
// the transfer may not start now.
func (l *Link) Charge(now time.Time, n int64, p document.Priority) bool {
	b := l.selectBucket(now, n, p)
	if b == nil {
		return false
	}
	b.Take(now, float64(n))
	return true
}

// selectBucket returns the bucket to charge, or nil if the transfer may not
// start now. Short bodies use their own bucket first and the one for large
// bodies when their own is short of tokens.
func (l *Link) selectBucket(now time.Time, n int64, p document.Priority) *Bucket {
	if n <= bulkThreshold && l.short.Ready(now, float64(n), l.short.reserve(p)) {
		return &l.short
	}
	if l.bulk.Ready(now, float64(n), l.bulk.reserve(p)) {
		return &l.bulk
	}
	return nil
}

// reserve returns the tokens that work of priority p must leave in the bucket:
// a quarter of the burst for each level below urgent, so that a flood of less
// urgent work does not stop urgent work.
func (b *Bucket) reserve(p document.Priority) float64 {
	return b.burst * float64(p) / 4
}
