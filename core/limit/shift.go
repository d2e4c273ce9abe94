package limit

import "time"

// Shift is this instance's part of the cap on requests of one service that
// move from one region to another. The rate rises from the start to the cap
// within the ramp, because the receiving region's caches are cold at first.
// The zero value allows nothing.
type Shift struct {
	start, cap float64 // requests a second
	ramp       time.Duration
	bucket     Bucket
	since      time.Time // start of the ramp
	last       time.Time // last request that moved
}

// Set gives the instance's part of the start rate and of the cap, in requests
// a second. A ramp in progress continues.
func (s *Shift) Set(start, cap float64, ramp time.Duration) {
	s.start, s.cap, s.ramp = min(start, cap), cap, ramp
}

// Ready tells whether one more request may move now.
func (s *Shift) Ready(now time.Time) bool {
	if s.cap <= 0 {
		return false
	}
	s.advance(now)
	return s.bucket.Ready(now, 1, 0)
}

// Take counts one moved request; it reports false and counts nothing if none
// may move now.
func (s *Shift) Take(now time.Time) bool {
	if !s.Ready(now) {
		return false
	}
	s.last = now
	s.bucket.Take(now, 1)
	return true
}

// advance follows the ramp. The ramp starts again after a pause as long as
// itself, since caches have cooled by then.
func (s *Shift) advance(now time.Time) {
	if s.since.IsZero() || now.Sub(s.last) > max(s.ramp, time.Second) {
		s.since, s.last = now, now
	}
	rate := s.Rate(now)
	burst := max(1, rate*burstSeconds)
	s.bucket.Set(now, max(rate-burst, rate/2), burst)
}

// Rate is the current limit in requests a second.
func (s *Shift) Rate(now time.Time) float64 {
	elapsed := now.Sub(s.since)
	if s.ramp <= 0 || elapsed >= s.ramp {
		return s.cap
	}
	return s.start + (s.cap-s.start)*float64(elapsed)/float64(s.ramp)
}
