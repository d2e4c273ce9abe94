package steer

import (
	"math"
	"time"
)

// Placement selects the target with the lowest estimated cost: the expected
// response time plus penalties, all expressed as time. A request takes about a
// third of the time on a target that recently handled its object, and without
// this affinity the same load would need more slots than there are. Each object
// therefore has a home target. Weighted rendezvous hashing selects it, so that
// instances agree on it without messages. A request goes elsewhere only if its
// object's home may get no requests, or is so busy or slow that a run elsewhere
// without the object cached costs less.
const (
	// maxCandidates is the number of candidates of an object: the targets that
	// rank first in its rendezvous order.
	maxCandidates = 2
	// crossZoneByteCost and crossRegionByteCost are the costs of a byte that is
	// sent between zones or regions: such links are narrow and their traffic is
	// charged.
	crossZoneByteCost   = 8 * time.Microsecond
	crossRegionByteCost = 5 * time.Microsecond
	// envelopeBytes is the size of the headers of a request and its response.
	envelopeBytes = 600
	// transferCostScale is the transfer cost at which a target is the home of
	// half as many objects as a target in the same zone.
	transferCostScale = 50 * time.Millisecond
	// contentionMinLoad is the load per slot of a service above which a request
	// away from its object's home has a contention penalty, and
	// contentionMaxExcess the excess over it at which the penalty stops
	// growing. contentionPenaltyFactor is the penalty per unit of excess, in
	// multiples of the extra service time of an uncached object, which is the
	// time that the request takes from others.
	contentionMinLoad       = 0.25
	contentionMaxExcess     = 1.5
	contentionPenaltyFactor = 1.0
	// minRegionWeight is the least factor for the weight of targets in other
	// regions, which keeps them among the candidates.
	minRegionWeight = 1e-6
	// errorCost is the penalty of a target that fails all requests. It is scaled
	// by the target's error rate.
	errorCost = 600 * time.Millisecond
)

// rankCosts are the extra costs by candidate rank. They keep requests for one
// object together on one target also while its home is too busy.
var rankCosts = [maxCandidates]time.Duration{0, 20 * time.Millisecond}

// choice is a target with the estimated cost of a request to it.
type choice struct {
	target *target
	// home is the home target of the request's object, or target if the request
	// has no object.
	home *target
	// rank is the target's candidate rank, maxCandidates if it is not a
	// candidate of the object.
	rank int
	// cost is responseTime with all penalties of the placement.
	cost time.Duration
	// responseTime is the expected response time, queueWait the part of it that
	// the request spends in the target's queue.
	responseTime, queueWait time.Duration
}

// choose returns the choice of the eligible target with the lowest cost; its
// target is nil if none is eligible. Targets that are not candidates of the
// object are considered only if no candidate is eligible: there the object would
// displace objects that have their home there.
func (e *Engine) choose(now time.Time, r *Request) choice {
	targets := e.byService[r.Service]
	params := e.placementParamsOf(r)
	candidates, total := e.rankCandidates(now, r, params, targets)
	contentionPenalty := params.contentionPenalty(total)
	best := choice{cost: math.MaxInt64}
	for rank, t := range candidates {
		if t == nil || !e.eligible(now, r, t, r.Route.Kind.Retryable()) {
			continue
		}
		c := e.estimate(now, r, params, t, candidates[0])
		c.rank = rank
		if rank > 0 {
			c.cost += rankCosts[rank] + contentionPenalty
		}
		if c.cost < best.cost {
			best = c
		}
	}
	best.home = candidates[0]
	if best.target != nil {
		return best
	}
	for _, t := range targets {
		// Without an alternative any request may probe an ejected target.
		if !e.eligible(now, r, t, true) {
			continue
		}
		if c := e.estimate(now, r, params, t, candidates[0]); c.cost < best.cost {
			c.rank, c.home = len(candidates), candidates[0]
			best = c
		}
	}
	if best.home == nil {
		best.home = best.target
	}
	return best
}

// contentionPenalty returns the extra cost of a request away from its object's
// home while slots are scarce: it takes the time of several requests whose
// objects are cached. Under overload this penalty keeps objects where they are,
// and the excess requests are refused.
func (p *placementParams) contentionPenalty(total groupLoad) time.Duration {
	excess := min(total.perSlot()-contentionMinLoad, contentionMaxExcess)
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess * contentionPenaltyFactor * float64(max(p.serviceTimes.uncached-p.serviceTimes.cached, 0)))
}

// eligible reports whether the request may be sent to the target. See
// health.usable for probeEarly.
func (e *Engine) eligible(now time.Time, r *Request, t *target, probeEarly bool) bool {
	if !e.inService(now, t) || !r.allows(t.region) || r.hasTried(t.ID) {
		return false
	}
	if !t.health.usable(now, probeEarly) || t.restricted && (t.notice.isPaused(now) || !e.withinLimit(now, t)) {
		return false
	}
	return !t.isCold(now) || e.sendsToColdTarget(t) && t.coldBucket.ready(now, e.senderRateOf(t))
}

// inService reports whether the target is in service: it is not draining or
// leaving, misdirected, expired or in an evacuated zone.
func (e *Engine) inService(now time.Time, t *target) bool {
	return !t.Draining && !(t.restricted && t.notice.leaving) && !t.misdirected && !e.evacuated[t.Zone] &&
		(t.expiresAt.IsZero() || now.Before(t.expiresAt))
}

// candidate is a target with its rendezvous hash for an object.
type candidate struct {
	target *target
	hash   uint64
}

// rankCandidates returns the candidates of the request's object in rendezvous
// order, its home first, and the load of all usable targets. The rendezvous is
// weighted: the probability that a target is the home of an object is
// proportional to its weight.
func (e *Engine) rankCandidates(now time.Time, r *Request, params *placementParams, targets []*target) (candidates [maxCandidates]*target, total groupLoad) {
	// Targets of one locality and weight class have the same weight, so that the
	// larger hash ranks first and only the top few need a score.
	var top [localityCount][weightClasses][maxCandidates]candidate
	classes := 1
	for _, t := range targets {
		if !e.inService(now, t) || !t.health.usable(now, r.Route.Kind.Retryable()) || t.restricted && (t.notice.isPaused(now) || !e.sharesLimit(now, t)) {
			continue
		}
		total.add(t.load(now), t.Slots)
		if r.Object == 0 || !r.allows(t.region) {
			continue
		}
		c := candidate{t, mix(r.Object, t.hash)}
		class := 0
		if t.restricted {
			class = e.weightClassOf(now, t)
			classes = max(classes, class+1)
		}
		best := &top[t.locality][class]
		for rank := range best {
			if best[rank].target == nil || c.hash > best[rank].hash {
				best[rank], c = c, best[rank]
			}
		}
	}
	scores := [maxCandidates]float64{math.Inf(1), math.Inf(1)}
	for locality := range top {
		for class := range classes {
			weight := params.homeWeights[locality] * classWeights[class]
			for _, c := range top[locality][class] {
				if c.target == nil {
					continue
				}
				uniform := (float64(c.hash) + 1) / math.MaxUint64
				insertByScore(&candidates, &scores, c.target, -math.Log(uniform)/weight)
			}
		}
	}
	return candidates, total
}

// insertByScore inserts a target into the candidates by its score, lowest
// first.
func insertByScore(candidates *[maxCandidates]*target, scores *[maxCandidates]float64, t *target, score float64) {
	for rank := range candidates {
		if score < scores[rank] {
			score, scores[rank] = scores[rank], score
			t, candidates[rank] = candidates[rank], t
		}
	}
}

// estimate returns the choice of the target with its cost for the request.
func (e *Engine) estimate(now time.Time, r *Request, params *placementParams, t, home *target) choice {
	times := params.serviceTimes
	cachedProbability := 0.0
	switch {
	case e.recentObjects.has(now, r.Object, t):
		cachedProbability = 1
	case t == home && r.Object != 0:
		cachedProbability = times.homeCachedProbability()
	}
	slowdown := t.currentSlowdown(now)
	if params.pace.known {
		slowdown *= params.pace.expected(now, t.pace)
	}
	serviceTime := time.Duration(slowdown * float64(times.expected(cachedProbability)))
	if t.isCold(now) {
		serviceTime += times.uncached
	}
	c := choice{target: t}
	// The slots of a busy target become free one after the other.
	if ahead := t.load(now) - float64(t.Slots) + 1; ahead > 0 {
		c.queueWait = time.Duration(ahead / float64(t.Slots) * slowdown * float64(times.expected(times.homeCachedProbability())))
	}
	c.responseTime = e.rtt(t) + serviceTime + c.queueWait
	c.cost = c.responseTime + params.transferCosts[t.locality]
	c.cost += time.Duration(t.health.currentErrorRate(now) * float64(errorCost))
	return c
}

// locality is how near a target is to this instance.
type locality uint8

const (
	sameZone locality = iota
	sameRegion
	otherRegion
	localityCount
)

func (e *Engine) localityOf(r Record, region string) locality {
	switch {
	case r.Zone == e.self.Zone:
		return sameZone
	case region == e.self.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// placementParams holds the inputs that the cost estimates for a request share.
type placementParams struct {
	serviceTimes *serviceTimes
	pace         *pace
	// transferCosts holds the costs of the bytes to and from a target.
	transferCosts [localityCount]time.Duration
	// homeWeights holds the weights of a target in the rendezvous. The number of
	// objects with their home at a target is proportional to its weight.
	homeWeights [localityCount]float64
}

func (e *Engine) placementParamsOf(r *Request) *placementParams {
	times := e.serviceTimesOf(r)
	bytes := time.Duration(envelopeBytes + r.BodyBytes + int(times.responseBytes))
	params := &placementParams{serviceTimes: times, pace: e.paceOf(r.Service), transferCosts: [localityCount]time.Duration{sameRegion: bytes * crossZoneByteCost, otherRegion: bytes * crossRegionByteCost}}
	for locality, cost := range params.transferCosts {
		params.homeWeights[locality] = 1 / (1 + float64(cost)/float64(transferCostScale))
	}
	params.homeWeights[otherRegion] *= max(e.spillOf(r.Service).weight, minRegionWeight)
	return params
}

const (
	// Round-trip times that are assumed until one to the zone was measured.
	sameZoneRTT    = time.Millisecond
	otherZoneRTT   = 8 * time.Millisecond
	otherRegionRTT = 60 * time.Millisecond
	// rttWeight is the weight of the newest measured round-trip time.
	rttWeight = 0.2
)

// rtt returns the round-trip time to a target's zone.
func (e *Engine) rtt(t *target) time.Duration {
	if rtt, found := e.rtts[t.Zone]; found {
		return rtt
	}
	switch t.locality {
	case sameZone:
		return sameZoneRTT
	case sameRegion:
		return otherZoneRTT
	default:
		return otherRegionRTT
	}
}
