package model

import (
	"time"

	"pistachioford.example/core/steer"
)

// arrivals plans the requests of one kind of work in a zone, as a Poisson
// process whose rate bursts change.
func (w *world) arrivals(work *Work, z Zone) {
	if work.PerSecond == 0 {
		return
	}
	end := w.start.Add(w.plan.Length)
	var next func()
	next = func() {
		if !w.Now.Before(end) {
			return
		}
		w.arrive(work, z)
		gap := w.random.ExpFloat64() / (work.PerSecond * w.burstOf(work, z))
		w.After(time.Duration(gap*float64(time.Second)), next)
	}
	w.After(time.Duration(w.random.ExpFloat64()/work.PerSecond*float64(time.Second)), next)
}

// burstOf is the factor on the rate at this moment.
func (w *world) burstOf(work *Work, z Zone) float64 {
	factor := 1.0
	for _, e := range w.plan.Events {
		begin := w.start.Add(e.At)
		if e.Kind == Burst && (e.Work == "" || e.Work == work.Name) && (e.Zone == "" || e.Zone == z.Name) &&
			!w.Now.Before(begin) && w.Now.Before(begin.Add(e.For)) {
			factor *= e.Factor
		}
	}
	return factor
}

// call is a caller's request with its attempts.
type call struct {
	world   *world
	work    *Work
	zone    Zone
	object  uint64
	arrived time.Time
	tries   int
}

func (w *world) arrive(work *Work, z Zone) {
	c := &call{world: w, work: work, zone: z, arrived: w.Now}
	c.object = objectOf(work, z.Region, w.random.IntN(work.Objects))
	c.attempt()
}

// instanceOf picks an instance of a zone, as a lookup does.
func (w *world) instanceOf(z Zone) *instance {
	n := w.chance.IntN(z.Instances)
	for _, in := range w.instances {
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

// attempt sends the request to an instance.
func (c *call) attempt() {
	c.tries++
	w := c.world
	in := w.instanceOf(c.zone)
	request := &steer.Request{
		Route: w.routes[c.work.Name], Object: c.object, Fingerprint: w.chance.Uint64(),
		Deadline: c.arrived.Add(c.work.Timeout),
	}
	send, refusal := in.engine.Arrive(w.Now, request)
	if refusal != nil {
		c.refused(refusal)
		return
	}
	w.dispatch(&run{call: c, instance: in, request: request, send: &send})
}

// refused makes the caller come back, if there is time.
func (c *call) refused(refusal *steer.Refusal) {
	w := c.world
	left := c.arrived.Add(c.work.Timeout).Sub(w.Now)
	if c.tries > w.plan.Retries || left <= 0 {
		w.result.end(c, outcomeRefused, w.Now.Sub(w.start))
		return
	}
	w.After(min(refusal.RetryAfter, time.Duration(retryPart*float64(left))), c.attempt)
}

// run is one exchange of a request with a target.
type run struct {
	call     *call
	instance *instance
	request  *steer.Request
	send     *steer.Send
	target   *target
	trip     time.Duration
	// done is set once the exchange has ended.
	done bool
}

// dispatch sends a request to the target that was chosen.
func (w *world) dispatch(r *run) {
	r.target = w.targets[r.send.Target]
	if w.policy == PolicyRandom {
		all := w.byService[r.call.work.Service]
		r.target = all[w.chance.IntN(len(all))]
	}
	r.trip = w.trip(r.call.zone, r.target.zone)
	w.After(r.trip/2, func() { r.target.accept(r) })
	w.After(r.request.Deadline.Sub(w.Now), func() { r.end(steer.ExchangeReport{Result: steer.TimedOut}) })
}

// answer brings the target's word back to the instance.
func (r *run) answer(ended steer.ExchangeReport) {
	r.call.world.After(r.trip/2, func() { r.end(ended) })
}

// end lets the instance decide what follows.
func (r *run) end(ended steer.ExchangeReport) {
	if r.done {
		return
	}
	r.done = true
	w := r.call.world
	r.target.leave(r)
	next, refusal := r.instance.engine.Finish(w.Now, r.request, r.send, ended)
	switch {
	case next != nil:
		w.dispatch(&run{call: r.call, instance: r.instance, request: r.request, send: next})
	case refusal != nil && !r.request.MayHaveRun():
		r.call.refused(refusal)
	case refusal != nil:
		w.result.end(r.call, outcomeFailed, w.Now.Sub(w.start))
	default:
		w.result.end(r.call, outcomeServed, w.Now.Sub(w.start))
	}
}
