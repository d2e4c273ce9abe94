package limit

import (
	"time"

	"pistachioford.example/core/document"
)

const (
	// bulkBytes separates large bodies from short requests and answers.
	bulkBytes = 64 << 10
	// bulkShare is the part of the link that large bodies may use; without the
	// rest, one upload of some seconds' worth of the budget would stop all
	// urgent forwarding for that time.
	bulkShare = 0.7
	// burstSeconds is the burst in seconds of the budget. The rate is lowered by
	// it, so that no second exceeds the budget (large bodies aside).
	burstSeconds = 0.1
)

// Link is the byte budget of one direction between two regions, as far as this
// instance holds it. The zero value allows nothing.
type Link struct {
	short, bulk Bucket
}

// Set gives the instance's part of the budget in bytes a second.
func (l *Link) Set(now time.Time, bytesPerSecond float64) {
	burst := bytesPerSecond * burstSeconds
	rate := bytesPerSecond - burst
	l.short.Set(now, rate*(1-bulkShare), burst*(1-bulkShare))
	l.bulk.Set(now, rate*bulkShare, burst*bulkShare)
}

// Ready tells whether n bytes may start now.
func (l *Link) Ready(now time.Time, n int64, p document.Priority) bool {
	return l.choose(now, n, p) != nil
}

// Charge takes n bytes; it reports false and takes nothing if they may not
// start now.
func (l *Link) Charge(now time.Time, n int64, p document.Priority) bool {
	b := l.choose(now, n, p)
	if b == nil {
		return false
	}
	b.Take(now, float64(n))
	return true
}

// choose prefers the part for short bodies, which may borrow from the other.
func (l *Link) choose(now time.Time, n int64, p document.Priority) *Bucket {
	if n <= bulkBytes && l.short.Ready(now, float64(n), l.short.reserve(p)) {
		return &l.short
	}
	if l.bulk.Ready(now, float64(n), l.bulk.reserve(p)) {
		return &l.bulk
	}
	return nil
}

// reserve is what less urgent work must leave in the bucket, a quarter of the
// burst for each level, so that a flood of it does not stop urgent work.
func (b *Bucket) reserve(p document.Priority) float64 {
	return b.burst * float64(p) / 4
}
