package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

// retryAfter is the hint to callers whose request did not run. It gives a queue
// of requests with 2 s deadlines the time to become much shorter.
const retryAfter = time.Second

// requestArrived registers a new request and decides on it. A request with a
// known ID is ignored.
func (e *Engine) requestArrived(now time.Time, ev *RequestArrived) {
	if _, known := e.requests.find(ev.ID); known {
		return
	}
	if e.doc == nil {
		e.refuseUntracked(ev, ReasonNoDocument)
		return
	}
	service, ok := e.serviceRow(ev.Service, ev.Revision)
	if !ok {
		e.refuseUntracked(ev, ReasonNoService)
		return
	}
	row := e.newRequest(now, service, ev)
	if ev.Key != "" && (ev.Forwarded == nil || ev.Forwarded.ToOwner) {
		e.routeKeyed(now, row, ev)
		return
	}
	e.admit(now, row)
}

// refuseUntracked refuses a request that is not entered in the request table.
func (e *Engine) refuseUntracked(ev *RequestArrived, reason Reason) {
	outcome := NotRun
	if ev.Key != "" && (ev.Forwarded == nil || ev.Forwarded.ToOwner) {
		outcome = Unknown // An earlier attempt with the key may have run.
	}
	e.emit(Reply{ID: ev.ID, Outcome: outcome, Reason: reason, RetryAfter: retryAfter})
	e.count(CountRefusal, reason)
	e.emit(Release{ID: ev.ID})
}

// newRequest enters a request in the request table and returns its row.
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
		e.applyForwarded(r, f)
	}
	if ev.HomeRegion >= 0 {
		r.origin = document.RegionID(ev.HomeRegion)
	}
	return row
}

// applyForwarded takes over what the forwarding peer reported of a request.
func (e *Engine) applyForwarded(r *request, f *Forwarded) {
	r.forwarded = !f.ToOwner
	r.origin = f.FromRegion
	r.attempts = f.Attempts
	r.shiftCharged = f.ShiftCharged
	if f.FromRegion != e.region {
		r.responseRegion = int32(f.FromRegion)
	}
}

// admit decides on a request that is new to this instance. A keyed request gets
// here only at the owner of its key, if the key has no record, or when a peer
// forwarded it for capacity.
func (e *Engine) admit(now time.Time, row int32) {
	if reason := e.admissionRefusal(now, row); reason != ReasonNone {
		e.refuse(now, row, reason)
		return
	}
	if !e.canMeetDeadline(now, row, 0) {
		e.refuse(now, row, ReasonDeadline)
		return
	}
	if e.forwardPlannedShift(now, row) {
		return
	}
	e.place(now, row)
}

// admissionRefusal returns why a request must not be accepted at all, or
// ReasonNone.
func (e *Engine) admissionRefusal(now time.Time, row int32) Reason {
	r := &e.requests.rows[row]
	switch {
	case e.poison.Blocked(now, r.fingerprint):
		return ReasonPoison
	case e.draining && r.forwarded:
		return ReasonShed
	case !e.linkAllowsResponse(now, r):
		return ReasonLinkBudget
	default:
		return ReasonNone
	}
}

// place sends a request to a free own slot or to a peer, queues it, or refuses
// it.
func (e *Engine) place(now time.Time, row int32) {
	r := &e.requests.rows[row]
	if !e.canMeetDeadline(now, row, 0) {
		e.refuse(now, row, ReasonDeadline)
		return
	}
	refusal := e.localRefusal(now, r)
	wait := maxWait
	if refusal == ReasonNone {
		wait = e.waitHere(r.group, r.priority)
	}
	if wait == 0 && e.start(now, row) {
		return
	}
	forwarded, linkFull := e.tryForward(now, row, wait)
	if forwarded {
		return
	}
	if refusal == ReasonNone {
		refusal = e.queueRefusal(now, row, wait)
	}
	if refusal != ReasonNone {
		e.refuse(now, row, e.refusalReason(r, refusal, linkFull))
		return
	}
	e.charge(now, r)
	e.enqueue(row)
	e.dispatch(now, r.group)
	e.preempt(now, r.group)
}

// localRefusal returns why a request may not run on this instance's slots, or
// ReasonNone.
func (e *Engine) localRefusal(now time.Time, r *request) Reason {
	g := &e.groups.rows[r.group]
	switch {
	case len(e.heldShards) == 0:
		return ReasonNoShard
	case !g.present || !e.targets.HasUntried(g.id, &r.triedTargets):
		return ReasonNoTarget
	case e.needsShiftCharge(r) && !e.shift(r.service, r.origin).limit.Ready(now):
		return ReasonShiftCap
	default:
		return ReasonNone
	}
}

// queueRefusal returns why a request may not wait here, or ReasonNone.
func (e *Engine) queueRefusal(now time.Time, row int32, wait time.Duration) Reason {
	r := &e.requests.rows[row]
	switch {
	case !e.canMeetDeadline(now, row, wait):
		return ReasonDeadline
	case r.forwarded && r.origin != e.region && wait > e.maxShiftedWait(r):
		return ReasonShed
	case e.groups.rows[r.group].queues[r.priority].length >= queueLimit:
		return ReasonQueueFull
	default:
		return ReasonNone
	}
}

// maxShiftedWait returns how long a request forwarded from another region may
// wait here: the mean time of an exchange. If such requests formed longer
// queues, the region's own callers would wait too, and a decision made
// elsewhere would overload this region. Callers of other regions that connect
// here directly may have no other region left, so this limit does not apply to
// them.
func (e *Engine) maxShiftedWait(r *request) time.Duration {
	return time.Duration(e.groups.rows[r.group].serviceTime.meanOr(defaultServiceTime))
}

// refusalReason returns the reason to report for a refused request. If this
// instance has no shard or no target for it, the reason why no peer took the
// request is reported instead, if there is one.
func (e *Engine) refusalReason(r *request, refusal Reason, linkFull bool) Reason {
	if refusal != ReasonNoShard && refusal != ReasonNoTarget {
		return refusal
	}
	if linkFull {
		return ReasonLinkBudget
	}
	if r.peerRefusal != ReasonNone {
		return r.peerRefusal
	}
	return refusal
}

// linkAllowsResponse reports whether the link budget allows the response to be
// sent to the region that forwarded the request.
func (e *Engine) linkAllowsResponse(now time.Time, r *request) bool {
	if r.responseRegion == none {
		return true
	}
	bytes := e.services.rows[r.service].responseBytes
	return e.links.ready(now, document.RegionID(r.responseRegion), bytes, r.priority)
}

// charge counts an admitted request against the shift cap and its response
// against the budget of the return link.
func (e *Engine) charge(now time.Time, r *request) {
	if e.chargeShift(now, r) {
		e.chargeResponse(now, r, e.services.rows[r.service].responseBytes)
	}
}

// chargeResponse charges a response to the budget of the return link, once per
// request. It reports false if the budget does not allow the response.
func (e *Engine) chargeResponse(now time.Time, r *request, bytes int64) bool {
	if r.responseRegion == none {
		return true
	}
	to := document.RegionID(r.responseRegion)
	if !e.links.charge(now, to, bytes, r.priority) {
		return false
	}
	r.responseRegion = none
	return true
}
