package steer

import "time"

// Spill moves a fraction of a region's objects to other regions if the region
// has too few targets for its callers, permanently or during a peak. It does so
// through the weight that targets of other regions have when objects get their
// homes. Objects move as a whole, not single requests, and few of them at each
// step: each move costs one run without the object cached, and at most 0.15 of a
// region's requests may change their region within 2 s.
const (
	// spillPeriod is the time between two steps.
	spillPeriod = 500 * time.Millisecond
	// Objects leave the own region above spillLoad and come back below
	// returnLoad, both in load per slot of the own region. Below idleLoad there
	// is too little traffic to decide.
	spillLoad  = 0.75
	returnLoad = 0.4
	idleLoad   = 0.1
	// spillMargin is by how much the load per slot must exceed that of the
	// other regions for objects to leave.
	spillMargin = 0.15
	// spillStep is the fraction of a region's objects that moves at each step:
	// in 2 s about half of the 0.15 that is allowed, since requests that leave a
	// busy home add to it.
	spillStep = 0.02
	// maxSpillFraction is the largest fraction of objects with homes in other
	// regions.
	maxSpillFraction = 0.95
	// fairShareFactor is how many slots a region is expected to need before its
	// load was measured, as a fraction of an equal share of all slots.
	fairShareFactor = 1.0
	// settleTime is how long expectedFraction is used after the first targets
	// were known. Until then the instance may not know all of them yet.
	settleTime = 3 * time.Second
)

// regionSpill is the spill of one service to other regions.
type regionSpill struct {
	// weight is the weight of a target in another region, relative to one in the
	// own region.
	weight     float64
	adjustedAt time.Time
	// startedAt is when the first targets were known.
	startedAt time.Time
}

func (e *Engine) spillOf(service string) *regionSpill {
	s := e.spills[service]
	if s == nil {
		s = &regionSpill{}
		e.spills[service] = s
	}
	return s
}

// adjustSpills adjusts the spill of each service whose period has passed.
func (e *Engine) adjustSpills(now time.Time) {
	for service, targets := range e.byService {
		s := e.spillOf(service)
		if now.Sub(s.adjustedAt) < spillPeriod || len(targets) == 0 {
			continue
		}
		s.adjustedAt = now
		if s.startedAt.IsZero() {
			s.startedAt = now
		}
		e.adjustSpill(now, s, targets)
	}
}

func (e *Engine) adjustSpill(now time.Time, s *regionSpill, targets []*target) {
	own, others := e.regionLoads(now, targets)
	if now.Sub(s.startedAt) < settleTime {
		s.setFraction(e.expectedFraction(now, targets), own.slots, others.slots)
		return
	}
	fraction := s.fraction(own.slots, others.slots)
	switch {
	case own.slots == 0 || others.slots == 0:
		// No objects can move without slots on both sides.
	case own.perSlot() > spillLoad && own.perSlot() > others.perSlot()+spillMargin:
		s.setFraction(fraction+spillStep, own.slots, others.slots)
	case own.perSlot() > idleLoad && own.perSlot() < returnLoad:
		s.setFraction(fraction-spillStep, own.slots, others.slots)
	}
}

// fraction returns the fraction of objects with homes in other regions, given
// the slots of the own region and of the others.
func (s *regionSpill) fraction(own, others float64) float64 {
	if own+others*s.weight == 0 {
		return 0
	}
	return others * s.weight / (own + others*s.weight)
}

// setFraction sets the weight at which other regions get a fraction of the
// objects, at most maxSpillFraction.
func (s *regionSpill) setFraction(fraction, own, others float64) {
	if own == 0 || others == 0 {
		return
	}
	fraction = min(max(fraction, 0), maxSpillFraction)
	s.weight = fraction / (1 - fraction) * own / others
}

// expectedFraction returns the number of slots that the own region is expected
// to lack, as a fraction of those that it is expected to need.
func (e *Engine) expectedFraction(now time.Time, targets []*target) float64 {
	slots := map[string]float64{}
	total := 0.0
	for _, t := range targets {
		if !e.inService(now, t) || t.health.ejections > 0 {
			continue
		}
		slots[t.region] += float64(t.Slots)
		total += float64(t.Slots)
	}
	if total == 0 {
		return 0
	}
	need := fairShareFactor * total / float64(len(slots))
	return max(1-slots[e.self.Region]/need, 0)
}

// groupLoad is the load of a group of targets, such as those of the own region.
type groupLoad struct {
	load, slots float64
}

func (g *groupLoad) add(load float64, slots int) {
	g.load += load
	g.slots += float64(slots)
}

func (g groupLoad) perSlot() float64 {
	if g.slots == 0 {
		return 1
	}
	return g.load / g.slots
}

func (e *Engine) regionLoads(now time.Time, targets []*target) (own, others groupLoad) {
	for _, t := range targets {
		if !e.inService(now, t) || t.health.ejections > 0 {
			continue
		}
		group := &own
		if t.region != e.self.Region {
			group = &others
		}
		group.add(t.load(now), t.Slots)
	}
	return own, others
}
