package traffic

import (
	"math"
	"time"

	"pistachioford.example/core/document"
)

const (
	// estimateWeight is the weight of a new sample; 20 samples replace most of
	// the old value, so that a group that recovers is believed within a second.
	estimateWeight = 0.1
	// cautiousDeviations is how many mean deviations above the mean an exchange
	// may take before its slot counts as wasted.
	cautiousDeviations = 4
	// maxWait stands for a wait without an end.
	maxWait = time.Hour
	// usualService stands for the time of an exchange before the first one.
	usualService = 50 * time.Millisecond
)

// estimate is the average time of an exchange and its mean deviation.
type estimate struct{ mean, deviation float64 }

// add takes a sample. All values stay at 1 ns or above: averages that decay
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

func (s *estimate) meanOr(usual time.Duration) float64 {
	if s.mean == 0 {
		return float64(usual)
	}
	return s.mean
}

// cautious is a time that few exchanges exceed.
func (s *estimate) cautious() time.Duration {
	return time.Duration(s.mean + cautiousDeviations*s.deviation)
}

// waitHere estimates how long a new request of the priority waits for an own
// slot. The guaranteed share bounds the wait behind more urgent work.
func (e *Engine) waitHere(row int32, p document.Priority) time.Duration {
	g := &e.groups.rows[row]
	if g.present && g.waiting() == 0 && e.targets.HasFree(g.id) {
		return 0
	}
	slots := e.slotsOf(g)
	if slots == 0 {
		return maxWait
	}
	ahead := 0
	for q := range p + 1 {
		ahead += g.queues[q].length
	}
	perSlot := g.service.meanOr(usualService) / float64(slots)
	wait := float64(ahead+1) * perSlot
	if share := g.shares.Share(p); share > 0 {
		wait = min(wait, float64(g.queues[p].length+1)*perSlot/share)
	}
	return min(time.Duration(wait), maxWait)
}

// slotsOf is the number of own slots in service.
func (e *Engine) slotsOf(g *group) int {
	if !g.present {
		return 0
	}
	return e.targets.Slots(g.id)
}

// freeFor is the number of free slots that peers may hope for.
func (e *Engine) freeFor(row int32) uint16 {
	g := &e.groups.rows[row]
	if !g.present || g.waiting() > 0 || e.draining {
		return 0
	}
	return uint16(min(e.targets.Free(g.id), math.MaxUint16))
}

// inTime tells whether a request that starts after the wait can finish before
// its deadline. The estimate counts at most half of the service's deadline, so
// that some work always starts and can show that the upstreams recovered.
func (e *Engine) inTime(now time.Time, row int32, wait time.Duration) bool {
	r := &e.requests.rows[row]
	s := &e.services.rows[r.service]
	needed := min(s.time.cautious(), s.deadline/2)
	return !now.Add(wait + needed).After(r.deadline)
}

const (
	// shedWindowTime is the time over which sheds are counted.
	shedWindowTime = time.Second
	// shedLeast and shedShare tell when a group counts as shedding: at least
	// that many sheds and that share of all outcomes.
	shedLeast = 3
	shedShare = 0.05
)

// shedWindow counts outcomes and sheds in the current and the last second.
type shedWindow struct {
	start          time.Time
	all, sheds     int
	lastAll, lastS int
}

func (w *shedWindow) roll(now time.Time) {
	age := now.Sub(w.start)
	if age < shedWindowTime {
		return
	}
	if age < 2*shedWindowTime {
		w.lastAll, w.lastS = w.all, w.sheds
	} else {
		w.lastAll, w.lastS = 0, 0
	}
	w.start, w.all, w.sheds = now, 0, 0
}

func (w *shedWindow) add(now time.Time, shed bool) {
	w.roll(now)
	w.all++
	if shed {
		w.sheds++
	}
}

// shedding tells whether the group's upstreams are refusing work.
func (w *shedWindow) shedding(now time.Time) bool {
	w.roll(now)
	sheds := w.sheds + w.lastS
	return sheds >= shedLeast && float64(sheds) >= shedShare*float64(w.all+w.lastAll)
}
