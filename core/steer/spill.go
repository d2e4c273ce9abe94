package steer

import "time"

// Spill answers a region whose targets are too few for its callers, for good
// or for the length of a peak. Objects, not single requests, move to other
// regions and back, a few at each step: each move costs one run without the
// object at hand, and the users bound the share of a region's requests that
// may change their region.
const (
	// spillPeriod is the time between two steps.
	spillPeriod = 500 * time.Millisecond
	// busyLoad and calmLoad are the loads per slot of the own region at which
	// objects leave and come back. Below idleLoad there is too little traffic
	// to tell.
	busyLoad = 0.75
	calmLoad = 0.4
	idleLoad = 0.1
	// busyMargin is the least difference to the other regions for a move.
	busyMargin = 0.15
	// spillStep is the part of a region's objects that moves at once: in 2 s
	// about half of the 0.15 that the users allow, as requests that leave a
	// full home come on top.
	spillStep = 0.02
	// spillMost is the largest part of the objects with homes elsewhere.
	spillMost = 0.95
	// fairPart is the part of an equal share of all slots that a region is
	// expected to need before its load was measured.
	fairPart = 1.0
	// settleTime is how long after the first targets were known the expected
	// part is used; until then the registry may still fill.
	settleTime = 3 * time.Second
)

// spill is the weight of other regions' targets for one service.
type spill struct {
	// weight is that of a target elsewhere beside 1 of one in the own region.
	weight float64
	at     time.Time
	// since is when the first targets were known.
	since time.Time
}

func (e *Engine) spillOf(service string) *spill {
	s := e.spills[service]
	if s == nil {
		s = &spill{}
		e.spills[service] = s
	}
	return s
}

// adjustSpills takes a step for each service.
func (e *Engine) adjustSpills(now time.Time) {
	for service, targets := range e.byService {
		s := e.spillOf(service)
		if now.Sub(s.at) < spillPeriod || len(targets) == 0 {
			continue
		}
		s.at = now
		if s.since.IsZero() {
			s.since = now
		}
		e.adjustSpill(now, s, targets)
	}
}

func (e *Engine) adjustSpill(now time.Time, s *spill, targets []*target) {
	own, others := e.regionLoads(now, targets)
	if now.Sub(s.since) < settleTime {
		s.set(e.expectedPart(targets), own.slots, others.slots)
		return
	}
	part := s.part(own.slots, others.slots)
	switch {
	case own.slots == 0 || others.slots == 0:
		// There is nothing to choose.
	case own.perSlot() > busyLoad && own.perSlot() > others.perSlot()+busyMargin:
		s.set(part+spillStep, own.slots, others.slots)
	case own.perSlot() > idleLoad && own.perSlot() < calmLoad:
		s.set(part-spillStep, own.slots, others.slots)
	}
}

// part is the part of the objects with homes in other regions.
func (s *spill) part(own, others float64) float64 {
	if own+others*s.weight == 0 {
		return 0
	}
	return others * s.weight / (own + others*s.weight)
}

// set chooses the weight that gives other regions a part of the objects.
func (s *spill) set(part, own, others float64) {
	if own == 0 || others == 0 {
		return
	}
	part = min(max(part, 0), spillMost)
	s.weight = part / (1 - part) * own / others
}

// expectedPart is what a region with few targets lacks.
func (e *Engine) expectedPart(targets []*target) float64 {
	slots := map[string]float64{}
	total := 0.0
	for _, t := range targets {
		slots[t.region] += float64(t.Slots)
		total += float64(t.Slots)
	}
	need := fairPart * total / float64(len(slots))
	return max(1-slots[e.self.Region]/need, 0)
}

// sideLoad is the load of some targets, such as those of the own region.
type sideLoad struct {
	load, slots float64
}

func (s *sideLoad) add(load float64, slots int) {
	s.load += load
	s.slots += float64(slots)
}

func (s sideLoad) perSlot() float64 {
	if s.slots == 0 {
		return 1
	}
	return s.load / s.slots
}

func (e *Engine) regionLoads(now time.Time, targets []*target) (own, others sideLoad) {
	for _, t := range targets {
		if !e.listed(now, t) || t.failing.ejections > 0 {
			continue
		}
		side := &own
		if t.region != e.self.Region {
			side = &others
		}
		side.add(t.load(now), t.Slots)
	}
	return own, others
}
