package limit

import "time"

// Shift limits the requests of one service that move from one region to
// another to this instance's part of the cap. The rate rises from the start
// rate to the cap during the ramp, because the receiving region's caches are
// cold at first. The zero value allows nothing.
type Shift struct {
	startRate, maxRate float64 // requests per second
	ramp               time.Duration
	bucket             Bucket
	rampStart          time.Time // start of the ramp
	lastTaken          time.Time // when the last request moved
}

// Set changes the instance's part of the start rate and of the cap, in
// requests per second. A ramp in progress continues.
func (s *Shift) Set(startRate, maxRate float64, ramp time.Duration) {
	s.startRate, s.maxRate, s.ramp = min(startRate, maxRate), maxRate, ramp
}

// Ready reports whether one more request may move now.
func (s *Shift) Ready(now time.Time) bool {
	if s.maxRate <= 0 {
		return false
	}
	s.updateRate(now)
	return s.bucket.Ready(now, 1, 0)
}

// Take counts one request that moves. It returns false and counts nothing if
// none may move now.
func (s *Shift) Take(now time.Time) bool {
	if !s.Ready(now) {
		return false
	}
	s.lastTaken = now
	s.bucket.Take(now, 1)
	return true
}

// updateRate sets the rate of the bucket by the progress of the ramp. The ramp
// starts again after a pause longer than both the ramp and 1 s, since the
// caches have cooled by then.
func (s *Shift) updateRate(now time.Time) {
	if s.rampStart.IsZero() || now.Sub(s.lastTaken) > max(s.ramp, time.Second) {
		s.rampStart, s.lastTaken = now, now
	}
	rate := s.Rate(now)
	burst := max(1, rate*burstFraction)
	s.bucket.Set(now, max(rate-burst, rate/2), burst)
}

// Rate returns the limit at the given time, in requests per second.
func (s *Shift) Rate(now time.Time) float64 {
	elapsed := now.Sub(s.rampStart)
	if s.ramp <= 0 || elapsed >= s.ramp {
		return s.maxRate
	}
	return s.startRate + (s.maxRate-s.startRate)*float64(elapsed)/float64(s.ramp)
}
