package steer

import (
	"math"
	"time"
)

// Placement answers a load in which work on an object that a target handled
// lately takes a third of the time: without affinity the same requests would
// need more slots than there are. Weighted rendezvous hashing gives each
// object a home target, so that instances agree without messages. A request
// goes where its answer is expected first, and leaves its home only when
// waiting there costs more than work without the object at hand elsewhere.
const (
	// homeChance is the assumed chance that an object is at hand at its home
	// target if this instance has not sent it there lately.
	homeChance = 0.7
	// places is the number of targets in an object's order that it may use.
	places = 2
	// zoneByteCost and regionByteCost are the time that a byte between zones
	// or regions is worth: such links are narrow and priced.
	zoneByteCost   = 8 * time.Microsecond
	regionByteCost = 5 * time.Microsecond
	// envelopeBytes is the size of the headers of a request and its answer.
	envelopeBytes = 600
	// wayScale is the price of the way at which a target gets half as many
	// homes as one nearby.
	wayScale = 50 * time.Millisecond
	// crowdedFrom is the load per slot of a service from which work away from
	// the home has a price; it grows up to crowdedMost above. A load of 1 costs
	// as much time as the work takes from others.
	crowdedFrom = 0.25
	crowdedMost = 1.5
	crowdedCost = 4.0
	// leastWeight leaves each target a place in the order of homes.
	leastWeight = 1e-6
	// errorCost is the price of a target that fails all requests.
	errorCost = 600 * time.Millisecond
)

// placeCosts keep an object that leaves its home together on one target.
var placeCosts = [places]time.Duration{0, 20 * time.Millisecond}

// choice is the target chosen for a request.
type choice struct {
	target *target
	// place is the target's place in the object's order, places if it has none.
	place int
	// cost is the expected time to the answer with the price of the way, which
	// is price.
	cost, price time.Duration
	// wait is the part of cost that the request spends in the target's queue.
	wait time.Duration
}

// choose returns the target with the least cost; its target is nil if none may
// get the request. An object that cannot use its home stays among the next few
// targets in its order: elsewhere it would push out objects that are at home.
func (e *Engine) choose(now time.Time, r *Request) choice {
	targets := e.byService[r.Service]
	p := e.pricesOf(r)
	order, all := e.rank(now, r, p, targets)
	crowded := p.crowding(all)
	best := choice{cost: math.MaxInt64}
	for place, t := range order {
		if t == nil || !e.may(now, r, t, r.Route.Kind.Repeatable()) {
			continue
		}
		c := e.weigh(now, r, p, t, order[0])
		c.place = place
		if place > 0 {
			c.cost += placeCosts[place] + crowded
		}
		if c.cost < best.cost {
			best = c
		}
	}
	if best.target != nil {
		return best
	}
	for _, t := range targets {
		// Any work may test a target if there is no other.
		if !e.may(now, r, t, true) {
			continue
		}
		if c := e.weigh(now, r, p, t, order[0]); c.cost < best.cost {
			c.place = len(order)
			best = c
		}
	}
	return best
}

// crowding is the price of work away from an object's home while slots are
// scarce: it takes the time of several requests that have their object at hand.
// In a flood it keeps the objects where they are, and the surplus is refused.
func (p *prices) crowding(all sideLoad) time.Duration {
	scarce := min(all.perSlot()-crowdedFrom, crowdedMost)
	if scarce <= 0 {
		return 0
	}
	return time.Duration(scarce * crowdedCost * float64(max(p.durations.cold-p.durations.warm, 0)))
}

// may tells whether the request may be sent to the target; tests says that it
// may be the one that tests an ejected target.
func (e *Engine) may(now time.Time, r *Request, t *target, tests bool) bool {
	if !e.listed(now, t) || !r.allows(t.region) || r.triedTarget(t.ID) {
		return false
	}
	if !t.failing.usable(now, tests) {
		return false
	}
	return !t.isCold(now) || e.sendsToCold(t) && t.cold.ready(now, e.coldRateOf(t))
}

// listed tells whether the target is in service as far as is known.
func (e *Engine) listed(now time.Time, t *target) bool {
	return !t.Draining && !t.misdirected && !e.evacuated[t.Zone] &&
		(t.goneAt.IsZero() || now.Before(t.goneAt))
}

// candidate is a target with the hash that orders it for an object.
type candidate struct {
	target *target
	hash   uint64
}

// rank returns the object's home target and those after it in its order, and
// the load of all targets. Each order is a weighted rendezvous: the chance of a
// target to be the home is proportional to its weight.
func (e *Engine) rank(now time.Time, r *Request, p *prices, targets []*target) (order [places]*target, all sideLoad) {
	// Among targets of one weight the largest hash comes first, so that scores
	// are needed for few of them.
	var first [wayKinds][places]candidate
	for _, t := range targets {
		if !e.listed(now, t) || !t.failing.usable(now, r.Route.Kind.Repeatable()) {
			continue
		}
		all.add(t.load(now), t.Slots)
		if r.Object == 0 || !r.allows(t.region) {
			continue
		}
		c := candidate{t, mix(r.Object, t.hash)}
		row := &first[t.way]
		for place := range row {
			if row[place].target == nil || c.hash > row[place].hash {
				row[place], c = c, row[place]
			}
		}
	}
	scores := [places]float64{math.Inf(1), math.Inf(1)}
	for way, row := range first {
		for _, c := range row {
			if c.target == nil {
				continue
			}
			unit := (float64(c.hash) + 1) / math.MaxUint64
			insert(&order, &scores, c.target, -math.Log(unit)/p.weights[way])
		}
	}
	return order, all
}

// insert puts a target into an order by its score; the least comes first.
func insert(order *[places]*target, scores *[places]float64, t *target, score float64) {
	for place := range order {
		if score < scores[place] {
			score, scores[place] = scores[place], score
			t, order[place] = order[place], t
		}
	}
}

// weigh computes the expected time until the answer, with what the way costs.
func (e *Engine) weigh(now time.Time, r *Request, p *prices, t, home *target) choice {
	d := p.durations
	chance := 0.0
	switch {
	case e.warm.has(now, r.Object, t):
		chance = 1
	case t == home && r.Object != 0:
		chance = homeChance
	}
	slow := t.slowness(now)
	work := time.Duration(slow * float64(d.expected(chance)))
	if t.isCold(now) {
		work += d.cold
	}
	c := choice{target: t}
	// A busy target's slots free one after the other.
	if ahead := t.load(now) - float64(t.Slots) + 1; ahead > 0 {
		c.wait = time.Duration(ahead / float64(t.Slots) * slow * float64(d.expected(homeChance)))
	}
	c.price = p.ways[t.way]
	c.cost = e.distance(t) + c.price + work + c.wait
	c.cost += time.Duration(t.failing.errorShare(now) * float64(errorCost))
	return c
}

// way is the kind of way to a target.
type way uint8

const (
	sameZone way = iota
	sameRegion
	otherRegion
	wayKinds
)

func (e *Engine) wayTo(r Record, region string) way {
	switch {
	case r.Zone == e.self.Zone:
		return sameZone
	case region == e.self.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// prices are what the placement of a request needs to know of its route and
// service, apart from the targets.
type prices struct {
	durations *durations
	// ways is the price of the bytes to a target.
	ways [wayKinds]time.Duration
	// weights is the share of objects that a target is home to.
	weights [wayKinds]float64
}

func (e *Engine) pricesOf(r *Request) *prices {
	d := e.durationsOf(r)
	bytes := time.Duration(envelopeBytes + r.BodyBytes + int(d.bytes))
	p := &prices{durations: d, ways: [wayKinds]time.Duration{sameRegion: bytes * zoneByteCost, otherRegion: bytes * regionByteCost}}
	for way, price := range p.ways {
		p.weights[way] = 1 / (1 + float64(price)/float64(wayScale))
	}
	p.weights[otherRegion] *= max(e.spillOf(r.Service).weight, leastWeight)
	return p
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
	switch t.way {
	case sameZone:
		return sameZoneTrip
	case sameRegion:
		return otherZoneTrip
	default:
		return otherRegionTrip
	}
}
