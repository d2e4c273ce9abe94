package admission

import "time"

// The load pattern: routes of several priorities share the targets of a service,
// and the less urgent ones have longer latency objectives and more work. Judged
// each by its own objective, the less urgent requests would join queues that are
// too long for the urgent ones, which are then refused or late.
//
// A request therefore joins a queue only if it leaves room for what is more
// urgent: one that is shorter than the queues which more urgent requests accept.
// Meanwhile it is delayed here, where it keeps nobody waiting, as long as it can
// still be in time.
const (
	// lessUrgentFactor is the queue that a priority may join, as a fraction of
	// the one in which a more urgent priority is still in time. A request that is
	// sent takes a slot for its whole work, so that the queue which the next
	// urgent request meets is longer.
	lessUrgentFactor = 0.3
	// priorityTTL is how long after its last request a priority counts.
	priorityTTL = 2 * time.Second
	// allowanceWeight is the weight of the newest request in the average of what
	// a priority accepts.
	allowanceWeight = 0.1
	// orderedPriorities is the number of priorities that are told apart.
	orderedPriorities = 8
)

// order is what is known of the priorities of a service.
type order struct {
	enabled bool
	// accepted is the queue in which each priority is still in time, as of seenAt.
	accepted [orderedPriorities]time.Duration
	seenAt   [orderedPriorities]time.Time
}

// decide decides on a request whose response must be expected within limit.
// Without overload only the limit counts: a queue drains soon then.
func (o *order) decide(now time.Time, r Request, limit time.Duration, overload float64) Verdict {
	unqueued := r.Expected - r.QueueWait
	allowance := limit - unqueued
	priority := min(max(r.Priority, 0), orderedPriorities-1)
	if r.Elapsed == 0 {
		o.observe(now, priority, min(limit, r.inTimeLimit(1))-unqueued)
	}
	ordered := allowance
	for p := range priority {
		if now.Sub(o.seenAt[p]) < priorityTTL {
			ordered = min(ordered, time.Duration(lessUrgentFactor*float64(o.accepted[p])))
		}
	}
	allowance -= time.Duration(overload * float64(allowance-ordered))
	if r.QueueWait == 0 || r.QueueWait <= allowance {
		return Send
	}
	// A queue that drains too late for the objective is not worth a delay.
	if slack := r.Slack(); ordered < limit-unqueued && slack > 0 && r.QueueWait-max(allowance, 0) <= slack {
		return Delay
	}
	return Refuse
}

func (o *order) observe(now time.Time, priority int, allowance time.Duration) {
	allowance = max(allowance, 0)
	if now.Sub(o.seenAt[priority]) >= priorityTTL {
		o.accepted[priority] = allowance
	}
	o.accepted[priority] += time.Duration(allowanceWeight * float64(allowance-o.accepted[priority]))
	o.seenAt[priority] = now
}

// Slack returns how long the request may still be delayed and be in time, if it
// then meets no queue.
func (r Request) Slack() time.Duration {
	return min(r.Objective, r.Left) - (r.Expected - r.QueueWait)
}
