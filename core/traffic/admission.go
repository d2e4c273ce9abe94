package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

// retryAfter is the hint to callers that were told "not run"; queues of 2 s
// deadlines have moved on by then.
const retryAfter = time.Second

// arrive takes a new request.
func (e *Engine) arrive(now time.Time, ev *RequestArrived) {
	if _, known := e.requests.find(ev.ID); known {
		return
	}
	if e.doc == nil {
		e.reject(ev, ReasonNoDocument)
		return
	}
	service, ok := e.serviceRow(ev.Service, ev.Revision)
	if !ok {
		e.reject(ev, ReasonNoService)
		return
	}
	row := e.newRequest(now, service, ev)
	if ev.Key != "" && (ev.Forwarded == nil || ev.Forwarded.ToOwner) {
		e.arriveKeyed(now, row, ev)
		return
	}
	e.admit(now, row)
}

// reject refuses a request that never enters the table.
func (e *Engine) reject(ev *RequestArrived, reason Reason) {
	outcome := NotRun
	if ev.Key != "" && (ev.Forwarded == nil || ev.Forwarded.ToOwner) {
		outcome = Unknown // An earlier attempt with the key may have run.
	}
	e.emit(Reply{ID: ev.ID, Outcome: outcome, Reason: reason, RetryAfter: retryAfter})
	e.count(CountRefusal, reason)
	e.emit(Release{ID: ev.ID})
}

func (e *Engine) newRequest(now time.Time, service int32, ev *RequestArrived) int32 {
	row := e.requests.add(ev.ID)
	s := &e.services.rows[service]
	r := &e.requests.rows[row]
	r.service, r.group, r.priority = service, s.group, s.priority
	r.key, r.fingerprint, r.bodyBytes = ev.Key, ev.Fingerprint, ev.BodyBytes
	r.replayable = ev.Replayable
	r.deadline = now.Add(s.deadline)
	if !ev.Deadline.IsZero() && ev.Deadline.Before(r.deadline) {
		r.deadline = ev.Deadline
	}
	r.origin = e.region
	if f := ev.Forwarded; f != nil {
		e.takeForwarded(r, f)
	}
	if ev.HomeRegion >= 0 {
		r.origin = document.RegionID(ev.HomeRegion)
	}
	return row
}

func (e *Engine) takeForwarded(r *request, f *Forwarded) {
	r.forwarded = !f.ToOwner
	r.origin = f.FromRegion
	r.runs = f.Runs
	r.shiftCharged = f.ShiftCharged
	if f.FromRegion != e.region {
		r.answerTo = int32(f.FromRegion)
	}
}

// admit decides on a request that is new here: keyed requests only at their
// owner, and only when the key has no record.
func (e *Engine) admit(now time.Time, row int32) {
	if reason := e.barred(now, row); reason != ReasonNone {
		e.refuse(now, row, reason)
		return
	}
	if !e.inTime(now, row, 0) {
		e.refuse(now, row, ReasonDeadline)
		return
	}
	if e.movePlanned(now, row) {
		return
	}
	e.place(now, row)
}

// barred returns the reason for which a request must not be taken at all.
func (e *Engine) barred(now time.Time, row int32) Reason {
	r := &e.requests.rows[row]
	switch {
	case e.poison.Blocked(now, r.fingerprint):
		return ReasonPoison
	case e.draining && r.forwarded:
		return ReasonShed
	case !e.answerReady(now, r):
		return ReasonLinkBudget
	default:
		return ReasonNone
	}
}

// place finds the way of a request: an own slot, a peer, or the queue.
func (e *Engine) place(now time.Time, row int32) {
	r := &e.requests.rows[row]
	if !e.inTime(now, row, 0) {
		e.refuse(now, row, ReasonDeadline)
		return
	}
	bar := e.barredHere(now, r)
	wait := maxWait
	if bar == ReasonNone {
		wait = e.waitHere(r.group, r.priority)
	}
	if wait == 0 && e.start(now, row) {
		return
	}
	forwarded, linkFull := e.tryForward(now, row, wait)
	if forwarded {
		return
	}
	if bar == ReasonNone {
		bar = e.barredFromQueue(now, row, wait)
	}
	if bar != ReasonNone {
		e.refuse(now, row, e.explain(r, bar, linkFull))
		return
	}
	e.charge(now, r)
	e.enqueue(row)
	e.dispatch(now, r.group)
	e.recall(now, r.group)
}

// barredHere returns why a request may not run on this instance's slots.
func (e *Engine) barredHere(now time.Time, r *request) Reason {
	g := &e.groups.rows[r.group]
	switch {
	case len(e.held) == 0:
		return ReasonNoShard
	case !g.present || !e.targets.Untried(g.id, &r.avoid):
		return ReasonNoTarget
	case e.moved(r) && !e.shift(r.service, r.origin).limit.Ready(now):
		return ReasonShiftCap
	default:
		return ReasonNone
	}
}

// barredFromQueue returns why a request may not wait here.
func (e *Engine) barredFromQueue(now time.Time, row int32, wait time.Duration) Reason {
	r := &e.requests.rows[row]
	switch {
	case !e.inTime(now, row, wait):
		return ReasonDeadline
	case r.forwarded && r.origin != e.region && wait > e.movedWait(r):
		return ReasonShed
	case e.groups.rows[r.group].queues[r.priority].length >= queueLimit:
		return ReasonQueueFull
	default:
		return ReasonNone
	}
}

// movedWait is how long work forwarded from another region may wait here: one
// usual exchange. With longer queues of it the region's own callers wait too,
// and a decision made elsewhere overloads this region. Callers that come here
// themselves may have no other region left, so they wait as usual.
func (e *Engine) movedWait(r *request) time.Duration {
	return time.Duration(e.groups.rows[r.group].service.meanOr(usualService))
}

// explain prefers the reason of what stood in the way of a request that this
// instance could not have run anyhow.
func (e *Engine) explain(r *request, bar Reason, linkFull bool) Reason {
	if bar != ReasonNoShard && bar != ReasonNoTarget {
		return bar
	}
	if linkFull {
		return ReasonLinkBudget
	}
	if r.refused != ReasonNone {
		return r.refused
	}
	return bar
}

// answerReady tells whether the answer may go back over the link.
func (e *Engine) answerReady(now time.Time, r *request) bool {
	if r.answerTo == none {
		return true
	}
	bytes := e.services.rows[r.service].answerBytes
	return e.links.ready(now, document.RegionID(r.answerTo), bytes, r.priority)
}

// charge counts an admitted request against the shift cap and the link back.
func (e *Engine) charge(now time.Time, r *request) {
	if e.chargeShift(now, r) {
		e.chargeAnswer(now, r, e.services.rows[r.service].answerBytes)
	}
}

// chargeAnswer reports whether the answer may go back over the link.
func (e *Engine) chargeAnswer(now time.Time, r *request, bytes int64) bool {
	if r.answerTo == none {
		return true
	}
	to := document.RegionID(r.answerTo)
	if !e.links.charge(now, to, bytes, r.priority) {
		return false
	}
	r.answerTo = none
	return true
}
