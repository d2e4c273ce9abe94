package traffic

import (
	"time"

	"pistachioford.example/core/limit"
)

const (
	// maxAttempts bounds the attempts of one request, here and at peers.
	maxAttempts = 5
	// backoffBase is the backoff before its jitter, doubled for each attempt
	// already made, up to maxBackoff.
	backoffBase = 5 * time.Millisecond
	maxBackoff  = 100 * time.Millisecond
	// immediateFailureLatency is the latency up to which a failure is treated as
	// immediate, even if the group's median latency is lower or unknown.
	immediateFailureLatency = 5 * time.Millisecond
)

// retry schedules another attempt and returns ReasonNone, or returns why there
// is none. A refused connection costs its upstream no work, so the next attempt
// is not charged to the retry budget. When it was, and all upstreams of a group
// were down, the few probes earned so little budget that 1 in 20 requests ended
// unserved although a peer could have served it.
func (e *Engine) retry(now time.Time, row int32, class limit.RetryClass, cause Reason) Reason {
	r := &e.requests.rows[row]
	g := &e.groups.rows[r.group]
	switch {
	case r.canceled || r.bodyConsumed:
		return cause
	case r.attempts >= maxAttempts:
		return ReasonAttempts
	case !e.hasAlternative(now, r):
		return ReasonAttempts
	case g.shedWindow.shedding(now):
		return ReasonShed
	case cause != ReasonNotSent && !g.retryBudget.Take(class):
		return ReasonRetryBudget
	}
	e.count(CountRetry, cause)
	r.state = stateBackoff
	e.startTimer(row, now.Add(e.backoff(r.attempts)))
	return ReasonNone
}

// hasAlternative reports whether another attempt could go to an untried target
// or to a peer.
func (e *Engine) hasAlternative(now time.Time, r *request) bool {
	if e.targets.HasUntried(e.groups.rows[r.group].id, &r.triedTargets) {
		return true
	}
	if !e.mayForward(r) {
		return false
	}
	best, _ := e.choosePeer(now, r, maxWait, none)
	return best != none
}

// mayRetryTimeout reports whether an attempt that times out could be retried on
// another target of this zone.
func (e *Engine) mayRetryTimeout(now time.Time, r *request, g *group) bool {
	return r.attempts < maxAttempts && g.retryBudget.Allows(limit.Costly) && !g.shedWindow.shedding(now) &&
		e.targets.HasUntried(g.id, &r.triedTargets)
}

// backoff returns a random backoff with full jitter, so that retries of many
// instances do not coincide.
func (e *Engine) backoff(attempts uint8) time.Duration {
	bound := min(backoffBase<<min(attempts, 8), maxBackoff)
	return time.Duration(e.random.Int64N(int64(bound)))
}

// retryClass returns Cheap for a failure that came at once while capacity was
// free, and Costly otherwise.
func (e *Engine) retryClass(r *request, latency time.Duration) limit.RetryClass {
	g := &e.groups.rows[r.group]
	bound := max(immediateFailureLatency, e.targets.MedianLatency(g.id))
	if latency <= bound && g.waiting() == 0 && e.targets.FreeSlots(g.id) > 0 && !e.targets.SlowerThanUsual(g.id) {
		return limit.Cheap
	}
	return limit.Costly
}

// startTimer schedules a request to be resumed by runTimers at the given time.
func (e *Engine) startTimer(row int32, due time.Time) {
	r := &e.requests.rows[row]
	r.due = due
	r.timerIndex = int32(len(e.timers))
	e.timers = append(e.timers, row)
}

// stopTimer cancels the timer of a request, if it has one.
func (e *Engine) stopTimer(row int32) {
	r := &e.requests.rows[row]
	if r.timerIndex == none {
		return
	}
	last := e.timers[len(e.timers)-1]
	e.timers[r.timerIndex] = last
	e.requests.rows[last].timerIndex = r.timerIndex
	e.timers = e.timers[:len(e.timers)-1]
	r.timerIndex = none
}

// runTimers resumes the requests whose timers have expired.
func (e *Engine) runTimers(now time.Time) {
	for i := len(e.timers) - 1; i >= 0; i-- {
		if i >= len(e.timers) {
			continue
		}
		row := e.timers[i]
		if now.Before(e.requests.rows[row].due) {
			continue
		}
		e.stopTimer(row)
		e.timerExpired(now, row)
	}
}

func (e *Engine) timerExpired(now time.Time, row int32) {
	switch e.requests.rows[row].state {
	case stateBackoff:
		e.place(now, row)
	case stateBroadcast:
		e.afterBroadcast(now, row)
	case stateWaitingKey:
		e.stopWaitingForKey(row)
		e.finish(now, row, ending{outcome: Unknown, reason: ReasonTimeout})
	}
}
