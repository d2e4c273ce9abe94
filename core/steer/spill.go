package steer

import "time"

// Spill answers a region whose targets are too few for its callers, for good
// or for the length of a peak. Objects, not single requests, move to other
// regions, and back, a few at each step: each move costs one run without the
// object at hand, and a jump would move the load of a whole region.
const (
	// spillPeriod is the time between two steps.
	spillPeriod = 500 * time.Millisecond
	// busyLoad and calmLoad are the loads per slot of the own region at which
	// objects leave and come back.
	busyLoad = 0.75
	calmLoad = 0.45
	// busyMargin is the least difference to the other regions for a move.
	busyMargin = 0.15
	// spillUp and spillDown are the factors of a step.
	spillUp   = 1.4
	spillDown = 1.15
	// spillLeast leaves a few objects in other regions, whose load is then
	// known. spillMost treats all regions alike.
	spillLeast = 0.02
	spillMost  = 1.0
)

// spill is the weight of other regions' targets for one service.
type spill struct {
	share float64
	at    time.Time
}

func (e *Engine) spillOf(service string) *spill {
	s := e.spills[service]
	if s == nil {
		s = &spill{share: spillLeast}
		e.spills[service] = s
	}
	return s
}

// adjustSpills takes a step for each service.
func (e *Engine) adjustSpills(now time.Time) {
	for service, targets := range e.byService {
		s := e.spillOf(service)
		if now.Sub(s.at) < spillPeriod {
			continue
		}
		s.at = now
		own, others := e.loads(now, targets)
		switch {
		case own > busyLoad && own > others+busyMargin:
			s.share = min(s.share*spillUp, spillMost)
		case own < calmLoad:
			s.share = max(s.share/spillDown, spillLeast)
		}
	}
}

// loads returns the load per slot of the own region and of all others. A
// region without targets counts as fully loaded.
func (e *Engine) loads(now time.Time, targets []*target) (own, others float64) {
	var load, slots [2]float64
	for _, t := range targets {
		if !e.listed(now, t) || t.failing.ejections > 0 {
			continue
		}
		side := 0
		if t.region != e.self.Region {
			side = 1
		}
		load[side] += t.load(now)
		slots[side] += float64(t.Slots)
	}
	return perSlot(load[0], slots[0]), perSlot(load[1], slots[1])
}

func perSlot(load, slots float64) float64 {
	if slots == 0 {
		return 1
	}
	return load / slots
}
