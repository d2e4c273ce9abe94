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
	// fairPart is the part of an equal share of all slots that a region is
	// expected to need before its load was measured.
	fairPart = 0.6
	// settleTime is how long after the first targets were known the expected
	// share is used; until then the registry may still fill.
	settleTime = 3 * time.Second
)

// spill is the weight of other regions' targets for one service.
type spill struct {
	share float64
	at    time.Time
	// since is when the first targets were known.
	since time.Time
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
		if s.since.IsZero() {
			s.since = now
		}
		if now.Sub(s.since) < settleTime {
			s.share = e.expectedSpill(targets)
			continue
		}
		own, others := e.loads(now, targets)
		switch {
		case own > busyLoad && own > others+busyMargin:
			s.share = min(s.share*spillUp, spillMost)
		case own < calmLoad:
			s.share = max(s.share/spillDown, spillLeast)
		}
	}
}

// expectedSpill is the share with which a region with few targets sends what
// it lacks to the others.
func (e *Engine) expectedSpill(targets []*target) float64 {
	slots := map[string]float64{}
	total := 0.0
	for _, t := range targets {
		slots[t.region] += float64(t.Slots)
		total += float64(t.Slots)
	}
	own := slots[e.self.Region]
	if len(slots) < 2 {
		return spillLeast
	}
	if own == 0 {
		return spillMost
	}
	need := fairPart * total / float64(len(slots))
	share := (need - own) / (total - own)
	return min(max(share, spillLeast), spillMost)
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
