package steer

import (
	"maps"
	"slices"
	"time"

	"pistachioford.example/core/admission"
)

const (
	// maxDelayed bounds the requests that are delayed at a time. Each keeps a
	// caller's connection and its body.
	maxDelayed = 512
	// resumedAtOnce bounds the delayed requests of a service that are decided on
	// again in one call of Resume.
	resumedAtOnce = 16
)

// controllerOf returns the admission of a service.
func (e *Engine) controllerOf(service string) admission.Decider {
	c := e.controllers[service]
	if c == nil {
		c = e.newDecider()
		c.Order(e.keepsOrder(service))
		e.controllers[service] = c
	}
	return c
}

// admit decides whether a request is sent to the chosen target.
func (e *Engine) admit(now time.Time, r *Request, c choice) admission.Verdict {
	request := admission.Request{
		Expected: c.responseTime, QueueWait: c.queueWait, Left: r.Deadline.Sub(now),
		Objective: r.Route.LatencyObjective, Priority: r.Priority(),
	}
	if e.keepsOrder(r.Service) {
		request.Elapsed = now.Sub(r.arrivedAt)
		request.Expected += request.Elapsed
		request.Left += request.Elapsed
	}
	if r.Account != nil {
		request.Account, request.Weight = r.Account.Name, e.weightOf(r.Account.Rate)
	}
	verdict := e.controllerOf(r.Service).Decide(now, request)
	if verdict == admission.Delay {
		r.delayUntil = now.Add(request.Slack())
	}
	return verdict
}

// keepsOrder reports whether the order of priorities is kept for a service. It
// needs targets that state the pace of their machines: without it, expected times
// are too uncertain, and deployments whose targets state none lost by it.
func (e *Engine) keepsOrder(service string) bool {
	return e.ordered[service] && e.paceOf(service).known
}

// weightOf returns the weight of an account's share under overload: its cap, or
// the mean cap of the others if it has none.
func (e *Engine) weightOf(rate float64) float64 {
	if rate > 0 {
		return rate
	}
	return e.meanCap
}

// setOrder determines for which services the order of priorities is kept: those
// that are the main service of routes of different priorities. For the others
// nothing changes: where accounts alone differ in their priorities, it refused
// more requests without more of the urgent ones being in time.
func (e *Engine) setOrder(d *Document) {
	caps, capped := 0.0, 0
	for _, a := range d.Accounts.All() {
		if a.Rate > 0 {
			caps += a.Rate
			capped++
		}
	}
	e.meanCap = 1
	if capped > 0 {
		e.meanCap = caps / float64(capped)
	}
	priorities := map[string]map[int]bool{}
	for i := range d.Routes {
		main := d.Routes[i].mainService()
		if priorities[main] == nil {
			priorities[main] = map[int]bool{}
		}
		priorities[main][d.Routes[i].Priority] = true
	}
	e.ordered = map[string]bool{}
	for service := range d.Services {
		e.ordered[service] = len(priorities[service]) > 1
	}
	for service, c := range e.controllers {
		c.Order(e.keepsOrder(service))
	}
}

// mainService returns the service that gets most requests of the route.
func (r *Route) mainService() string {
	main := r.Shares[0]
	for _, share := range r.Shares[1:] {
		if share.Weight > main.Weight {
			main = share
		}
	}
	return main.Service
}

// Resumed is the decision on a request that was delayed. Refusal is nil if it is
// sent.
type Resumed struct {
	Request *Request
	Send    Send
	Refusal *Refusal
}

// Resume decides again on delayed requests, the most urgent first, and then on
// those that can be delayed no longer: with many urgent ones they would otherwise
// wait beyond their deadlines. Services are
// in the order of their names, so that runs of a model are reproducible.
func (e *Engine) Resume(now time.Time) []Resumed {
	var resumed []Resumed
	for _, service := range slices.Sorted(maps.Keys(e.delayed)) {
		queue := e.delayed[service]
		first := queue.First(resumedAtOnce)
		for _, r := range queue.Due(now) {
			if !slices.Contains(first, r) {
				first = append(first, r)
			}
		}
		for _, r := range first {
			send, refusal := e.dispatch(now, r)
			switch {
			case refusal != nil && refusal.Reason == ReasonDelayed && now.Before(r.latestStart):
				continue
			case refusal != nil && refusal.Reason == ReasonDelayed:
				refusal.Reason = ReasonTooLate
			}
			queue.Remove(r)
			resumed = append(resumed, Resumed{Request: r, Send: send, Refusal: refusal})
		}
	}
	return resumed
}

// Delayed returns the number of delayed requests.
func (e *Engine) Delayed() int {
	n := 0
	for _, queue := range e.delayed {
		n += queue.Len()
	}
	return n
}

// CancelDelay ends the delay of a request whose caller has disconnected.
func (e *Engine) CancelDelay(r *Request) {
	if queue := e.delayed[r.Service]; queue != nil {
		queue.Remove(r)
	}
}

// delay delays a request that has just arrived and returns false if too many are
// delayed already.
func (e *Engine) delay(r *Request) bool {
	queue := e.delayed[r.Service]
	if queue == nil {
		queue = &admission.Queue[*Request]{}
		e.delayed[r.Service] = queue
	}
	if queue.Len() >= maxDelayed {
		return false
	}
	r.latestStart = r.delayUntil
	queue.Add(r, r.Priority(), r.latestStart)
	return true
}

// Overloads returns for the services of the document how far each is from a peak,
// 0, to overload, 1.
func (e *Engine) Overloads(now time.Time) map[string]float64 {
	overloads := map[string]float64{}
	if e.document == nil {
		return overloads
	}
	for service := range e.document.Services {
		overloads[service] = 0
		if c := e.controllers[service]; c != nil {
			overloads[service] = c.OverloadAt(now)
		}
	}
	return overloads
}

// Overload returns how far the service with the least room is from a peak, 0, to
// overload, 1.
func (e *Engine) Overload(now time.Time) float64 {
	overload := 0.0
	for _, c := range e.controllers {
		overload = max(overload, c.OverloadAt(now))
	}
	return overload
}
