// Package admission decides which requests are sent, delayed or refused when a
// service has too little room.
package admission

import "time"

// A Controller distinguishes a short peak from sustained overload. At a peak
// slightly above capacity the queue drains soon, and a late response is worth
// more to the caller than none. Under overload each late response delays the
// next one: requests that would be late only because of the queue are then
// refused, so that the slots serve callers in time. The two cases differ in the
// congestion: the fraction of arrivals that would be late because of a queue. As
// it grows, the limit on the expected response time falls from
// peakObjectiveFactor to overloadObjectiveFactor. A request is never refused
// while the chosen target has a free slot.
const (
	// overloadObjectiveFactor and peakObjectiveFactor limit the expected
	// response time of a queued request, in multiples of its route's latency
	// objective.
	overloadObjectiveFactor = 1.25
	peakObjectiveFactor     = 3.5
	// inTimeObjectiveFactor replaces overloadObjectiveFactor where requests compete
	// by priority or account: with a higher one the queue settles where all
	// responses are a little late, also those of urgent requests.
	inTimeObjectiveFactor = 0.9
	// priorityStep lowers both factors for each level of a request's priority,
	// of which 0 is the most urgent.
	priorityStep = 0.1
	// congestionWeight is the weight of the newest arrival in the congestion.
	congestionWeight = 0.02
	// Between peakCongestion and overloadCongestion the limit falls linearly
	// from that of a peak to that of overload.
	peakCongestion     = 0.3
	overloadCongestion = 0.7
	// inTimePeakCongestion and inTimeOverloadCongestion replace them together with
	// inTimeObjectiveFactor. Below the objective the queue settles where the
	// requests beyond the capacity, however few, would be late.
	inTimePeakCongestion     = 0.1
	inTimeOverloadCongestion = 0.25
	// Between orderFromCongestion and orderFullCongestion the order of priorities
	// takes effect: before all requests lose, the less urgent ones wait.
	orderFromCongestion = 0.05
	orderFullCongestion = 0.15
)

// Request is what a Controller needs to know of a request. Times count from its
// arrival.
type Request struct {
	// Elapsed is the time since the arrival: a request that was delayed is decided
	// on again.
	Elapsed time.Duration
	// Expected is the expected response time, QueueWait the part of it that the
	// request is expected to wait at its target.
	Expected, QueueWait time.Duration
	// Left is the time until the deadline, Objective the latency objective of the
	// route, 0 if it has none.
	Left, Objective time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// Account names the client account, empty if there is none. Weight is what the
	// account may have beside others.
	Account string
	Weight  float64
}

// Decider decides on the requests of one service. Controller is the one in use;
// models compare others with it.
type Decider interface {
	Decide(now time.Time, r Request) Verdict
	// Order enables the order of priorities.
	Order(enabled bool)
	// OverloadAt returns how far the service is from a peak, 0, to overload, 1.
	OverloadAt(now time.Time) float64
}

// Controller decides on the requests of one service. It is not safe for
// concurrent use.
type Controller struct {
	// congestion is the moving average of the fraction of arrivals that would get
	// a late response because of a queue.
	congestion float64
	// observedAt is when the congestion was last updated.
	observedAt time.Time
	order      order
	shares     shares
}

// Order makes the controller keep the order of priorities, see order. A
// controller without it treats each request on its own.
func (c *Controller) Order(enabled bool) { c.order.enabled = enabled }

// Verdict is what happens to a request.
type Verdict uint8

// Verdicts.
const (
	// Send means that the request is sent now.
	Send Verdict = iota
	// Delay means that the request waits here, and is sent or refused later.
	Delay
	// Refuse means that the request is refused.
	Refuse
)

// Decide decides on a request, and updates the congestion if it is a new one
// whose route has a latency objective.
func (c *Controller) Decide(now time.Time, r Request) Verdict {
	if r.Objective <= 0 {
		return sendIf(r.QueueWait == 0 || r.Expected <= r.Left)
	}
	if r.Elapsed == 0 {
		c.observe(now, r)
	}
	limit := min(r.Left, c.limitFor(now, r))
	verdict := sendIf(r.QueueWait == 0 || r.Expected <= limit)
	if c.order.enabled {
		verdict = c.order.decide(now, r, limit, c.overloadBetween(orderFromCongestion, orderFullCongestion))
	}
	if verdict == Send && r.Account != "" {
		c.shares.record(now, r)
	}
	return verdict
}

// limitFor returns the limit of a request, which is lower for an account that
// has more than its share.
func (c *Controller) limitFor(now time.Time, r Request) time.Duration {
	overload, limit := c.Overload(), r.limit
	if c.order.enabled {
		limit = r.inTimeLimit
	}
	if r.Account == "" || overload == 0 {
		return limit(overload)
	}
	excess := c.shares.excess(now, r)
	return limit(overload*min(excess, 1)) - r.excessReduction(overload, excess)
}

func sendIf(send bool) Verdict {
	if send {
		return Send
	}
	return Refuse
}

func (c *Controller) observe(now time.Time, r Request) {
	c.observedAt = now
	sample := 0.0
	overloadLimit := r.scaleObjective(overloadObjectiveFactor - priorityStep*float64(r.Priority))
	if c.order.enabled {
		overloadLimit = r.inTimeLimit(1)
	}
	if r.QueueWait > 0 && r.Expected > overloadLimit {
		sample = 1
	}
	c.congestion += congestionWeight * (sample - c.congestion)
}

// Overload returns how far the service is from a peak, 0, to overload, 1.
func (c *Controller) Overload() float64 {
	if c.order.enabled {
		return c.overloadBetween(inTimePeakCongestion, inTimeOverloadCongestion)
	}
	return c.overloadBetween(peakCongestion, overloadCongestion)
}

func (c *Controller) overloadBetween(from, to float64) float64 {
	return min(max((c.congestion-from)/(to-from), 0), 1)
}

// idleAfter is the time without a request after which a service counts as idle.
const idleAfter = 2 * time.Second

// OverloadAt returns the overload, or 0 if the service is idle.
func (c *Controller) OverloadAt(now time.Time) float64 {
	if now.Sub(c.observedAt) >= idleAfter {
		return 0
	}
	return c.Overload()
}

// limit returns the longest response time to expect of a request that is sent.
func (r Request) limit(overload float64) time.Duration {
	reduction := priorityStep * float64(r.Priority)
	return r.scaleObjective(peakObjectiveFactor-reduction) - time.Duration(overload*float64(r.scaleObjective(peakObjectiveFactor-overloadObjectiveFactor)))
}

// inTimeLimit is as limit, and falls below the objective under overload. The
// order of priorities is kept by order.
func (r Request) inTimeLimit(overload float64) time.Duration {
	factor := peakObjectiveFactor - overload*(peakObjectiveFactor-inTimeObjectiveFactor)
	return time.Duration(factor * float64(r.Objective))
}

// scaleObjective returns a multiple of the latency objective, at least the
// objective itself.
func (r Request) scaleObjective(factor float64) time.Duration {
	return time.Duration(max(factor, 1) * float64(r.Objective))
}
