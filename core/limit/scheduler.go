package limit

import (
	"math"
	"time"

	"pistachioford.example/core/document"
)

const (
	// usageWindow is the time constant over which the use of slots is averaged;
	// it is longer than a usual exchange and shorter than a flood.
	usageWindow = time.Second
	// shareMargin raises the guaranteed share a little, because the average
	// stays below the bound while a priority waits for a slot to become free.
	shareMargin = 1.1
)

// Waiting tells which priorities have work waiting.
type Waiting [document.Priorities]bool

// Scheduler decides which priority gets a free slot of one group: first one
// that used less than its guaranteed share, then the most urgent. A share that
// is not used is thereby lent.
type Scheduler struct {
	shares   [document.Priorities]float64
	inFlight [document.Priorities]int
	// used is the averaged number of busy slots.
	used [document.Priorities]float64
	at   time.Time
}

// Set gives the guaranteed shares, as fractions of the group's slots.
func (s *Scheduler) Set(shares [document.Priorities]float64) { s.shares = shares }

// Share returns the guaranteed share of a priority.
func (s *Scheduler) Share(p document.Priority) float64 { return s.shares[p] }

// Start counts a slot as busy.
func (s *Scheduler) Start(now time.Time, p document.Priority) {
	s.advance(now)
	s.inFlight[p]++
}

// End counts a slot as free.
func (s *Scheduler) End(now time.Time, p document.Priority) {
	s.advance(now)
	s.inFlight[p]--
}

// Next returns the priority that gets the next free slot out of the given
// number of slots; false if nothing is waiting.
func (s *Scheduler) Next(now time.Time, slots int, waiting Waiting) (document.Priority, bool) {
	s.advance(now)
	for p := range document.Priority(document.Priorities) {
		if waiting[p] && s.below(p, slots) {
			return p, true
		}
	}
	for p := range document.Priority(document.Priorities) {
		if waiting[p] {
			return p, true
		}
	}
	return 0, false
}

// below tells whether a priority used less than its guaranteed share. The
// bound on slots in flight keeps a late average from granting too many at once.
func (s *Scheduler) below(p document.Priority, slots int) bool {
	guaranteed := s.shares[p] * float64(slots)
	if float64(s.inFlight[p]) >= math.Ceil(guaranteed) {
		return false
	}
	return s.used[p] < guaranteed*shareMargin
}

// Lent tells whether a priority holds more slots than its guaranteed share.
func (s *Scheduler) Lent(now time.Time, p document.Priority, slots int) bool {
	s.advance(now)
	guaranteed := s.shares[p] * float64(slots)
	return float64(s.inFlight[p]) > math.Ceil(guaranteed) && s.used[p] > guaranteed*shareMargin
}

func (s *Scheduler) advance(now time.Time) {
	elapsed := now.Sub(s.at)
	if elapsed <= 0 {
		return
	}
	s.at = now
	kept := math.Exp(-float64(elapsed) / float64(usageWindow))
	for p := range s.used {
		s.used[p] = s.used[p]*kept + float64(s.inFlight[p])*(1-kept)
	}
}
