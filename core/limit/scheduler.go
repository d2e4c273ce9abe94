package limit

import (
	"math"
	"time"

	"pistachioford.example/core/document"
)

const (
	// usageTimeConstant is the time constant of the average number of busy
	// slots. It is longer than a typical exchange and shorter than a flood.
	usageTimeConstant = time.Second
	// shareMargin raises the guaranteed share by 10%, because the average
	// stays below the share while a priority waits for a slot to become free.
	shareMargin = 1.1
)

// Waiting holds, for each priority, whether it has work waiting.
type Waiting [document.NumPriorities]bool

// Scheduler decides which priority gets a free slot of one group: first one
// that uses less than its guaranteed share, then the most urgent one with
// work. Other priorities can thus use the unused part of a share.
type Scheduler struct {
	shares   [document.NumPriorities]float64
	inFlight [document.NumPriorities]int
	// averageInFlight is the moving average of inFlight.
	averageInFlight [document.NumPriorities]float64
	updatedAt       time.Time
}

// Set gives the guaranteed shares, as fractions of the group's slots.
func (s *Scheduler) Set(shares [document.NumPriorities]float64) { s.shares = shares }

// Share returns the guaranteed share of a priority.
func (s *Scheduler) Share(p document.Priority) float64 { return s.shares[p] }

// Start records that a request of the priority occupies a slot.
func (s *Scheduler) Start(now time.Time, p document.Priority) {
	s.updateAverages(now)
	s.inFlight[p]++
}

// End records that a request of the priority has freed its slot.
func (s *Scheduler) End(now time.Time, p document.Priority) {
	s.updateAverages(now)
	s.inFlight[p]--
}

// Next returns the priority that gets the next free slot of a group with the
// given number of slots. It returns false if nothing is waiting.
func (s *Scheduler) Next(now time.Time, slots int, waiting Waiting) (document.Priority, bool) {
	s.updateAverages(now)
	for p := range document.Priority(document.NumPriorities) {
		if waiting[p] && s.belowShare(p, slots) {
			return p, true
		}
	}
	for p := range document.Priority(document.NumPriorities) {
		if waiting[p] {
			return p, true
		}
	}
	return 0, false
}

// belowShare reports whether a priority uses less than its guaranteed share.
// The bound on slots in flight keeps a lagging average from granting too many
// at once.
func (s *Scheduler) belowShare(p document.Priority, slots int) bool {
	guaranteed := s.shares[p] * float64(slots)
	if float64(s.inFlight[p]) >= math.Ceil(guaranteed) {
		return false
	}
	return s.averageInFlight[p] < guaranteed*shareMargin
}

// ExceedsShare reports whether a priority uses more slots than its guaranteed
// share, both now and on average.
func (s *Scheduler) ExceedsShare(now time.Time, p document.Priority, slots int) bool {
	s.updateAverages(now)
	guaranteed := s.shares[p] * float64(slots)
	return float64(s.inFlight[p]) > math.Ceil(guaranteed) && s.averageInFlight[p] > guaranteed*shareMargin
}

// updateAverages brings the averages up to now. Call it before inFlight
// changes.
func (s *Scheduler) updateAverages(now time.Time) {
	elapsed := now.Sub(s.updatedAt)
	if elapsed <= 0 {
		return
	}
	s.updatedAt = now
	decay := math.Exp(-float64(elapsed) / float64(usageTimeConstant))
	for p := range s.averageInFlight {
		s.averageInFlight[p] = s.averageInFlight[p]*decay + float64(s.inFlight[p])*(1-decay)
	}
}
