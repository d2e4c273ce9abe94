package traffic

import (
	"time"

	"pistachioford.example/core/limit"
)

const (
	// maxRuns is the number of attempts of one request, here and at peers.
	maxRuns = 5
	// backoffBase and backoffMax bound the backoff before its jitter.
	backoffBase = 5 * time.Millisecond
	backoffMax  = 100 * time.Millisecond
	// immediateFailure is the latency up to which a failure counts as
	// immediate while no usual latency is known.
	immediateFailure = 5 * time.Millisecond
)

// retry schedules another attempt, or returns why there is none. A refused
// connection costs its upstream no work, so the next attempt is none of the
// budget's retries; while all upstreams of a group were down, the budget of the
// few probes left 1 in 20 of the requests unserved that a peer could take.
func (e *Engine) retry(now time.Time, row int32, class limit.RetryClass, cause Reason) Reason {
	r := &e.requests.rows[row]
	g := &e.groups.rows[r.group]
	switch {
	case r.canceled || r.bodyGone:
		return cause
	case r.runs >= maxRuns:
		return ReasonAttempts
	case !e.elsewhere(now, r):
		return ReasonAttempts
	case g.shed.shedding(now):
		return ReasonShed
	case cause != ReasonNotSent && !g.retries.Take(class):
		return ReasonRetryBudget
	}
	e.count(CountRetry, cause)
	r.state = stateBackoff
	e.startTimer(row, now.Add(e.backoff(r.runs)))
	return ReasonNone
}

// elsewhere tells whether an attempt could go to another target.
func (e *Engine) elsewhere(now time.Time, r *request) bool {
	if e.targets.Untried(e.groups.rows[r.group].id, &r.avoid) {
		return true
	}
	if !e.mayForward(r) {
		return false
	}
	best, _ := e.choosePeer(now, r, maxWait, none)
	return best != none
}

// mayRetryCostly tells whether an attempt that hangs could be followed by
// another.
func (e *Engine) mayRetryCostly(now time.Time, r *request, g *group) bool {
	return r.runs < maxRuns && g.retries.Allows(limit.Costly) && !g.shed.shedding(now) &&
		e.targets.Untried(g.id, &r.avoid)
}

// backoff draws a time with full jitter, so that retries of many instances do
// not meet.
func (e *Engine) backoff(runs uint8) time.Duration {
	bound := min(backoffBase<<min(runs, 8), backoffMax)
	return time.Duration(e.random.Int64N(int64(bound)))
}

// classify tells whether a failure came at once while capacity was free.
func (e *Engine) classify(r *request, latency time.Duration) limit.RetryClass {
	g := &e.groups.rows[r.group]
	bound := max(immediateFailure, e.targets.Latency(g.id))
	if latency <= bound && g.waiting() == 0 && e.targets.Free(g.id) > 0 && !e.targets.Slow(g.id) {
		return limit.Cheap
	}
	return limit.Costly
}

// startTimer lets runTimers see the request again at the given time.
func (e *Engine) startTimer(row int32, due time.Time) {
	r := &e.requests.rows[row]
	r.due = due
	r.timer = int32(len(e.timers))
	e.timers = append(e.timers, row)
}

func (e *Engine) stopTimer(row int32) {
	r := &e.requests.rows[row]
	if r.timer == none {
		return
	}
	last := e.timers[len(e.timers)-1]
	e.timers[r.timer] = last
	e.requests.rows[last].timer = r.timer
	e.timers = e.timers[:len(e.timers)-1]
	r.timer = none
}

// runTimers resumes the requests whose time has come.
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
		e.timerDue(now, row)
	}
}

func (e *Engine) timerDue(now time.Time, row int32) {
	switch e.requests.rows[row].state {
	case stateBackoff:
		e.place(now, row)
	case stateBroadcast:
		e.afterBroadcast(now, row)
	case stateWaitingKey:
		e.leaveKey(row)
		e.finish(now, row, ending{outcome: Unknown, reason: ReasonTimeout})
	}
}
