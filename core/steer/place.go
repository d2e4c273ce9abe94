package steer

import (
	"math"
	"time"
)

// Placement answers a load in which work on an object that a target handled
// lately takes a third of the time: without affinity the same requests would
// need more slots than there are. Each zone has a home target for an object,
// by rendezvous hash, so that instances agree without messages. A request goes
// where its answer is expected first, which moves it away from its home only
// when waiting there costs more than cold work or a longer way elsewhere.
const (
	// homeChance is the assumed chance that an object is warm at its home
	// target in a zone from which this instance has no memory of it.
	homeChance = 0.6
	// rankCost spreads the objects that leave their home over the other
	// targets in a fixed order, so that instances agree on the second choice.
	rankCost = 12 * time.Millisecond
	// zoneByteCost and regionByteCost are the time that a byte between zones
	// or regions is worth: such links are narrow and priced.
	zoneByteCost   = 3 * time.Microsecond
	regionByteCost = 5 * time.Microsecond
	// envelopeBytes is the size of a small request with its answer.
	envelopeBytes = 1000
	// errorCost is the price of a target that fails all requests.
	errorCost = 600 * time.Millisecond
	// retriedCost keeps a repeat away from targets that have refused it.
	retriedCost = time.Hour
)

// choose returns the target with the least expected time, or nil if none may
// get the request.
func (e *Engine) choose(now time.Time, r *Request) (*target, time.Duration) {
	targets := e.byService[r.Service]
	e.findHomes(now, r, targets)
	var best *target
	bestCost := time.Duration(math.MaxInt64)
	for _, t := range targets {
		if !e.may(now, r, t) {
			continue
		}
		if cost := e.cost(now, r, t); cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best, bestCost
}

// may tells whether the request may be sent to the target.
func (e *Engine) may(now time.Time, r *Request, t *target) bool {
	if !e.listed(now, t) || !r.allows(t.region) || r.triedTarget(t.ID) {
		return false
	}
	if !t.failing.usable(now) {
		return false
	}
	return !t.isCold(now) || e.sendsToCold(t) && t.cold.ready(now, e.coldRateOf(t))
}

// listed tells whether the target is in service as far as is known.
func (e *Engine) listed(now time.Time, t *target) bool {
	return !t.Draining && !t.misdirected && !e.evacuated[t.Zone] &&
		(t.goneAt.IsZero() || now.Before(t.goneAt))
}

// findHomes notes each zone's home target of the request's object.
func (e *Engine) findHomes(now time.Time, r *Request, targets []*target) {
	clear(e.homes)
	if r.Object == 0 {
		return
	}
	for _, t := range targets {
		if !e.listed(now, t) || t.failing.ejections > 0 {
			continue
		}
		rank := mix(r.Object, t.hash)
		if home, found := e.homes[t.Zone]; !found || rank < home {
			e.homes[t.Zone] = rank
		}
	}
}

// cost is the expected time until the answer, with what the way there costs.
func (e *Engine) cost(now time.Time, r *Request, t *target) time.Duration {
	d := e.durationsOf(r)
	rank := mix(r.Object, t.hash)
	chance := 0.0
	switch {
	case e.warm.has(now, r.Object, t):
		chance = 1
	case r.Object != 0 && e.homes[t.Zone] == rank:
		chance = homeChance
	}
	slow := t.slowness(now)
	work := time.Duration(slow * float64(d.expected(chance)))
	if t.isCold(now) {
		work += d.cold
	}
	total := e.distance(t) + e.wayCost(r, t) + work
	total += time.Duration(t.failing.errors * float64(errorCost))
	// A busy target's slots free one after the other.
	if ahead := t.load(now) - float64(t.Slots) + 1; ahead > 0 {
		total += time.Duration(ahead / float64(t.Slots) * slow * float64(d.expected(homeChance)))
	}
	if chance < 1 && r.Object != 0 {
		total += time.Duration(float64(rankCost) * float64(rank) / math.MaxUint64)
	}
	return total
}

// wayCost is the price of the bytes to another zone.
func (e *Engine) wayCost(r *Request, t *target) time.Duration {
	bytes := time.Duration(envelopeBytes + r.BodyBytes)
	switch {
	case t.Zone == e.self.Zone:
		return 0
	case t.region == e.self.Region:
		return bytes * zoneByteCost
	default:
		return bytes * regionByteCost
	}
}

const (
	// Round trips before one to the zone was measured.
	sameZoneTrip    = time.Millisecond
	otherZoneTrip   = 8 * time.Millisecond
	otherRegionTrip = 60 * time.Millisecond
	// tripWeight is the weight of the newest measured round trip.
	tripWeight = 0.2
)

// distance is the round trip to a target's zone.
func (e *Engine) distance(t *target) time.Duration {
	if trip, found := e.trips[t.Zone]; found {
		return trip
	}
	switch {
	case t.Zone == e.self.Zone:
		return sameZoneTrip
	case t.region == e.self.Region:
		return otherZoneTrip
	default:
		return otherRegionTrip
	}
}
