package traffic

import (
	"math"
	"time"

	"pistachioford.example/core/document"
)

const (
	// estimateWeight is the weight of a new sample; 20 samples replace most of
	// the old value, so that the estimate follows a recovered group within a
	// second.
	estimateWeight = 0.1
	// conservativeDeviations is the number of mean deviations added to the mean
	// for the conservative estimate, so that few slots are wasted on responses
	// that come too late.
	conservativeDeviations = 4
	// maxWait bounds all estimated waits and stands for a wait without end.
	maxWait = time.Hour
	// defaultServiceTime is the assumed time of an exchange before the first
	// one has been measured.
	defaultServiceTime = 50 * time.Millisecond
)

// estimate is the moving average of the time of an exchange, in nanoseconds,
// and its mean deviation.
type estimate struct{ mean, deviation float64 }

// add adds a sample. All values stay at 1 ns or above: averages that decay
// towards zero become denormal numbers, which are 100 times slower.
func (s *estimate) add(sample time.Duration) {
	x := max(float64(sample), 1)
	if s.mean == 0 {
		s.mean, s.deviation = x, 1
		return
	}
	off := x - s.mean
	s.mean += estimateWeight * off
	s.deviation += estimateWeight * (max(math.Abs(off), 1) - s.deviation)
}

// meanOr returns the mean, or the fallback before the first sample.
func (s *estimate) meanOr(fallback time.Duration) float64 {
	if s.mean == 0 {
		return float64(fallback)
	}
	return s.mean
}

// conservative returns a time that few exchanges exceed.
func (s *estimate) conservative() time.Duration {
	return time.Duration(s.mean + conservativeDeviations*s.deviation)
}

// waitHere estimates how long a new request of a priority waits for an own slot
// of a group. The guaranteed share bounds the wait behind more urgent work.
func (e *Engine) waitHere(row int32, p document.Priority) time.Duration {
	g := &e.groups.rows[row]
	if g.present && g.waiting() == 0 && e.targets.HasFreeSlots(g.id) {
		return 0
	}
	slots := e.ownSlots(g)
	if slots == 0 {
		return maxWait
	}
	ahead := 0
	for q := range p + 1 {
		ahead += g.queues[q].length
	}
	releaseInterval := g.serviceTime.meanOr(defaultServiceTime) / float64(slots)
	wait := float64(ahead+1) * releaseInterval
	if share := g.scheduler.Share(p); share > 0 {
		wait = min(wait, float64(g.queues[p].length+1)*releaseInterval/share)
	}
	return min(time.Duration(wait), maxWait)
}

// ownSlots returns the number of own slots of the group's usable targets.
func (e *Engine) ownSlots(g *group) int {
	if !g.present {
		return 0
	}
	return e.targets.OwnedSlots(g.id)
}

// advertisedSlots returns the number of free slots to report to peers.
func (e *Engine) advertisedSlots(row int32) uint16 {
	g := &e.groups.rows[row]
	if !g.present || g.waiting() > 0 || e.draining {
		return 0
	}
	return uint16(min(e.targets.FreeSlots(g.id), math.MaxUint16))
}

// canMeetDeadline reports whether a request that starts after the wait is
// expected to finish before its deadline. The estimate is limited to half of
// the service's deadline, so that some work always starts and can show that the
// upstreams have recovered.
func (e *Engine) canMeetDeadline(now time.Time, row int32, wait time.Duration) bool {
	r := &e.requests.rows[row]
	s := &e.services.rows[r.service]
	needed := min(s.slotTime.conservative(), s.deadline/2)
	return !now.Add(wait + needed).After(r.deadline)
}

const (
	// shedWindowLength is the length of one counting interval of a shedWindow.
	shedWindowLength = time.Second
	// minSheds and minShedFraction define when a group is treated as shedding:
	// at least that many sheds, and at least that fraction of all outcomes.
	minSheds        = 3
	minShedFraction = 0.05
)

// shedWindow counts outcomes and sheds in the current and the previous
// interval.
type shedWindow struct {
	start              time.Time
	all, sheds         int
	lastAll, lastSheds int
}

// roll starts a new interval if the current one is over.
func (w *shedWindow) roll(now time.Time) {
	age := now.Sub(w.start)
	if age < shedWindowLength {
		return
	}
	if age < 2*shedWindowLength {
		w.lastAll, w.lastSheds = w.all, w.sheds
	} else {
		w.lastAll, w.lastSheds = 0, 0
	}
	w.start, w.all, w.sheds = now, 0, 0
}

// add counts the outcome of an exchange.
func (w *shedWindow) add(now time.Time, shed bool) {
	w.roll(now)
	w.all++
	if shed {
		w.sheds++
	}
}

// shedding reports whether the group's upstreams are refusing work.
func (w *shedWindow) shedding(now time.Time) bool {
	w.roll(now)
	sheds := w.sheds + w.lastSheds
	return sheds >= minSheds && float64(sheds) >= minShedFraction*float64(w.all+w.lastAll)
}
