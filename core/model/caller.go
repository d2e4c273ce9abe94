package model

import (
	"time"

	"pistachioford.example/core/steer"
)

// scheduleArrivals schedules the requests of one kind of work in a zone, as a
// Poisson process whose rate changes with the bursts.
func (sim *simulation) scheduleArrivals(work *Work, z Zone) {
	if work.Rate == 0 {
		return
	}
	end := sim.loadStart.Add(sim.plan.Length)
	var next func()
	next = func() {
		if !sim.Now.Before(end) {
			return
		}
		sim.startCall(work, z)
		gap := sim.loadRandom.ExpFloat64() / (work.Rate * sim.burstFactor(work, z))
		sim.After(time.Duration(gap*float64(time.Second)), next)
	}
	sim.After(time.Duration(sim.loadRandom.ExpFloat64()/work.Rate*float64(time.Second)), next)
}

// burstFactor returns the factor by which current bursts multiply the rate.
func (sim *simulation) burstFactor(work *Work, z Zone) float64 {
	factor := 1.0
	for _, e := range sim.plan.Events {
		begin := sim.loadStart.Add(e.At)
		if e.Kind == Burst && (e.Work == "" || e.Work == work.Name) && (e.Zone == "" || e.Zone == z.Name) &&
			!sim.Now.Before(begin) && sim.Now.Before(begin.Add(e.For)) {
			factor *= e.Factor
		}
	}
	return factor
}

// call is a caller's request, with all its attempts.
type call struct {
	sim     *simulation
	work    *Work
	zone    Zone
	object  uint64
	arrived time.Time
	// tail is set if the request takes longer than usual.
	tail bool
	// attempts counts the attempts so far.
	attempts int
}

func (sim *simulation) startCall(work *Work, z Zone) {
	c := &call{sim: sim, work: work, zone: z, arrived: sim.Now}
	c.object = objectID(work, z.Region, sim.loadRandom.IntN(work.Objects))
	if share := sim.tailShares[work.Service]; share > 0 {
		c.tail = sim.loadRandom.Float64() < share
	}
	c.attempt()
}

// pickInstance returns a random instance of a zone, as a lookup does.
func (sim *simulation) pickInstance(z Zone) *instance {
	n := sim.otherRandom.IntN(z.Instances)
	for _, in := range sim.instances {
		if in.zone.Name != z.Name {
			continue
		}
		if n == 0 {
			return in
		}
		n--
	}
	return nil
}

// attempt sends the request to an instance of the caller's zone.
func (c *call) attempt() {
	c.attempts++
	sim := c.sim
	in := sim.pickInstance(c.zone)
	request := &steer.Request{
		Route: sim.routes[c.work.Name], Object: c.object, Fingerprint: sim.otherRandom.Uint64(),
		Deadline: c.arrived.Add(c.work.Timeout),
	}
	send, refusal := in.engine.Arrive(sim.Now, request)
	switch {
	case refusal != nil && refusal.Reason == steer.ReasonDelayed:
		in.delay(c, request)
		return
	case refusal != nil:
		c.handleRefusal(refusal)
		return
	}
	sim.dispatch(&exchange{call: c, instance: in, request: request, send: &send})
}

// delay makes a call wait until the engine decides on its request again, at most
// until its deadline.
func (in *instance) delay(c *call, request *steer.Request) {
	sim := c.sim
	in.delayed[request] = c
	in.scheduleResume(sim)
	sim.After(request.Deadline.Sub(sim.Now), func() {
		if in.delayed[request] == nil {
			return
		}
		delete(in.delayed, request)
		in.engine.CancelDelay(request)
		sim.result.delaysExpired++
		sim.result.recordOutcome(c, outcomeRefused, sim.Now.Sub(sim.loadStart))
	})
}

func (in *instance) scheduleResume(sim *simulation) {
	if in.resumeDue || len(in.delayed) == 0 {
		return
	}
	in.resumeDue = true
	sim.After(resumeInterval, func() {
		in.resumeDue = false
		in.resume(sim)
		in.scheduleResume(sim)
	})
}

// resume sends or refuses the delayed requests on which the engine has decided.
func (in *instance) resume(sim *simulation) {
	if len(in.delayed) == 0 {
		return
	}
	for _, resumed := range in.engine.Resume(sim.Now) {
		c := in.delayed[resumed.Request]
		delete(in.delayed, resumed.Request)
		if resumed.Refusal != nil {
			c.handleRefusal(resumed.Refusal)
			continue
		}
		sim.dispatch(&exchange{call: c, instance: in, request: resumed.Request, send: &resumed.Send})
	}
}

// handleRefusal retries a refused call later, or ends it if it has no retries or
// no time left.
func (c *call) handleRefusal(refusal *steer.Refusal) {
	sim := c.sim
	remaining := c.arrived.Add(c.work.Timeout).Sub(sim.Now)
	if c.attempts > sim.plan.Retries || remaining <= 0 {
		sim.result.recordOutcome(c, outcomeRefused, sim.Now.Sub(sim.loadStart))
		return
	}
	sim.After(min(refusal.RetryAfter, time.Duration(maxRetryFraction*float64(remaining))), c.attempt)
}

// exchange is one transmission of a request to a target, up to the report on its
// result.
type exchange struct {
	call     *call
	instance *instance
	request  *steer.Request
	send     *steer.Send
	target   *target
	rtt      time.Duration
	// done is set once the instance has the result or has stopped waiting.
	done bool
}

// dispatch sends a request to the target that the policy chooses.
func (sim *simulation) dispatch(x *exchange) {
	x.target = sim.targets[x.send.Target]
	if sim.policy == PolicyRandom {
		all := sim.targetsByService[x.call.work.Service]
		x.target = all[sim.otherRandom.IntN(len(all))]
	}
	x.rtt = sim.rtt(x.call.zone, x.target.zone)
	sim.After(x.rtt/2, func() { x.target.accept(x) })
	sim.After(x.request.Deadline.Sub(sim.Now), func() { x.finish(steer.ExchangeReport{Result: steer.TimedOut}) })
}

// report delivers a report to the instance after the way back, which is half of
// the round-trip time.
func (x *exchange) report(report steer.ExchangeReport) {
	x.call.sim.After(x.rtt/2, func() { x.finish(report) })
}

// finish passes the report to the engine, which decides whether the request is
// sent again. Only the first call has an effect.
func (x *exchange) finish(report steer.ExchangeReport) {
	if x.done {
		return
	}
	x.done = true
	sim := x.call.sim
	x.target.release(x)
	next, refusal := x.instance.engine.Finish(sim.Now, x.request, x.send, report)
	x.instance.resume(sim)
	switch {
	case next != nil:
		sim.dispatch(&exchange{call: x.call, instance: x.instance, request: x.request, send: next})
	case refusal != nil && !x.request.MayHaveRun():
		x.call.handleRefusal(refusal)
	case refusal != nil:
		sim.result.recordOutcome(x.call, outcomeFailed, sim.Now.Sub(sim.loadStart))
	default:
		sim.result.recordOutcome(x.call, outcomeServed, sim.Now.Sub(sim.loadStart))
	}
}
