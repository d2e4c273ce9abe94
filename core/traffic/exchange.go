package traffic

import (
	"time"

	"pistachioford.example/core/limit"
	"pistachioford.example/core/route"
)

// targetRow identifies a target in the routing table.
type targetRow = route.Row

// exchangeEnded handles the end of an exchange. An exchange that is not the
// request's current attempt is ignored.
func (e *Engine) exchangeEnded(now time.Time, ev *ExchangeEnded) {
	row, ok := e.requests.find(ev.ID)
	if !ok || e.requests.rows[row].attempt != ev.Attempt {
		return
	}
	switch e.requests.rows[row].state {
	case stateUpstream:
		slotGroup := e.requests.rows[row].slotGroup
		e.untrackPreemptible(row)
		e.freeSlot(now, row, ev)
		if !e.requeuePreempted(now, row, ev) {
			e.upstreamEnded(now, row, ev)
		}
		e.dispatch(now, slotGroup)
	case statePeer:
		e.peerEnded(now, row, ev)
	}
}

// freeSlot frees the slot of an exchange and adds the exchange to the
// measurements.
func (e *Engine) freeSlot(now time.Time, row int32, ev *ExchangeEnded) {
	r := &e.requests.rows[row]
	g := &e.groups.rows[r.slotGroup]
	e.targets.End(now, r.target, e.routeOutcome(r, ev), ev.Latency)
	g.scheduler.End(now, r.priority)
	if ev.Result == Completed {
		e.poison.Succeeded(r.fingerprint)
		elapsed := now.Sub(r.startedAt)
		g.serviceTime.add(elapsed)
		g.preemptBudget = min(maxPreemptBudget, g.preemptBudget+time.Duration(preemptBudgetFraction*float64(elapsed)))
		e.services.rows[r.service].slotTime.add(elapsed)
	}
	if ev.Result != Canceled {
		g.shedWindow.add(now, ev.Result == Shed)
	}
	if ev.Leaving {
		e.reportLeaving(now, r.target)
	}
}

// reportLeaving handles an upstream's own announcement that it is leaving.
func (e *Engine) reportLeaving(now time.Time, target targetRow) {
	if id, ok := e.targets.TargetID(target); ok {
		e.targetLeaving(TargetLeaving{Target: id, Seen: now})
	}
}

// routeOutcome classifies the end of an exchange for the routing table.
func (e *Engine) routeOutcome(r *request, ev *ExchangeEnded) route.Outcome {
	switch ev.Result {
	case Completed:
		return route.Success
	case Shed:
		return route.Shed
	case Broken:
		if r.canceled {
			return route.Ignored
		}
		if r.streamed {
			return route.Failure
		}
		return route.Crash
	case NotSent:
		return route.Refused
	case Failed, Malformed, TimedOut:
		return route.Failure
	default:
		return route.Ignored
	}
}

// upstreamEnded retries or finishes a request after an exchange with an
// upstream.
func (e *Engine) upstreamEnded(now time.Time, row int32, ev *ExchangeEnded) {
	r := &e.requests.rows[row]
	r.state = stateNew
	e.recordRun(r, ev)
	if r.canceled && !r.ownsKeyRecord || r.replied {
		e.finish(now, row, endingOf(ev))
		return
	}
	switch ev.Result {
	case Failed:
		e.retryOrFinish(now, row, e.retryClass(r, ev.Latency), endingOf(ev))
	case Shed, TimedOut:
		e.retryOrFinish(now, row, limit.Costly, endingOf(ev))
	case NotSent:
		e.retryOrFinish(now, row, e.retryClass(r, ev.Latency), endingOf(ev))
	case Broken:
		e.reportCrash(now, row, ev)
	case Malformed:
		// The upstream has responded, even if nobody can tell what: a success of
		// another one would contradict it.
		e.finish(now, row, endingOf(ev))
	default:
		e.finish(now, row, endingOf(ev))
	}
}

// recordRun records whether an attempt may have run and whether it consumed the
// body.
func (e *Engine) recordRun(r *request, ev *ExchangeEnded) {
	switch ev.Result {
	case Shed, NotSent, KeyReusedAtPeer, BadKeyAtPeer:
	default:
		r.mayHaveRun, r.unknownReason = true, reasonOf(ev)
	}
	if ev.Result != NotSent && !r.replayable {
		r.bodyConsumed = true
	}
}

// retryOrFinish retries a request that is idempotent or did not run, and
// finishes it otherwise or if no retry is allowed.
func (e *Engine) retryOrFinish(now time.Time, row int32, class limit.RetryClass, end ending) {
	r := &e.requests.rows[row]
	if !e.services.rows[r.service].idempotent && (r.mayHaveRun || r.key == "" && end.reason == ReasonShed) {
		// Without a key, a request that an upstream shed is not sent again
		// either.
		e.finish(now, row, end)
		return
	}
	denied := e.retry(now, row, class, end.reason)
	if denied == ReasonNone {
		return
	}
	if end.outcome == Responded {
		e.count(CountRefusal, denied)
	} else {
		end.reason = denied
	}
	e.finish(now, row, end)
}

// peerEnded retries or finishes a request after an exchange with a peer.
func (e *Engine) peerEnded(now time.Time, row int32, ev *ExchangeEnded) {
	r := &e.requests.rows[row]
	r.state = stateNew
	e.recordRun(r, ev)
	e.recordPeerResult(now, r, ev)
	r.ownerDecided = r.toOwner && ev.Result == Shed
	if r.canceled && !r.ownsKeyRecord || r.replied || r.toOwner {
		e.finish(now, row, r.ownerEnding(ev))
		return
	}
	switch ev.Result {
	case Shed, NotSent:
		e.refusedByPeer(now, row, ev)
	case Broken, TimedOut:
		r.attempts++
		e.retryOrFinish(now, row, limit.Costly, endingOf(ev))
	case Failed, UnknownAtPeer:
		if ev.Attempts == 0 || ev.Reason == ReasonMalformed {
			e.finish(now, row, endingOf(ev))
			return
		}
		r.attempts = ev.Attempts
		e.retryOrFinish(now, row, e.retryClass(r, ev.Latency), endingOf(ev))
	default:
		e.finish(now, row, endingOf(ev))
	}
}

// recordPeerResult updates the state of a peer, or of the shift to its region,
// after an exchange.
func (e *Engine) recordPeerResult(now time.Time, r *request, ev *ExchangeEnded) {
	i, ok := e.peers.byID[r.peer]
	if !ok {
		return
	}
	p := &e.peers.rows[i]
	switch {
	case ev.Result == NotSent || ev.Result == Broken || ev.Result == Malformed:
		p.pausedUntil = now.Add(peerPause)
	case ev.Result != Shed:
	case ev.Reason == ReasonShiftCap && p.region != e.region:
		e.shift(r.service, p.region).pausedUntil = now.Add(shiftPause)
	default:
		p.markFull(e.groups.rows[r.group].id)
	}
}

// refusedByPeer places a request again after a peer did not run it, or refuses
// it.
func (e *Engine) refusedByPeer(now time.Time, row int32, ev *ExchangeEnded) {
	r := &e.requests.rows[row]
	r.peerRefusal = reasonOf(ev)
	if r.peerRefusal == ReasonPoison || r.bodyConsumed {
		e.refuse(now, row, r.peerRefusal)
		return
	}
	r.refusedBy[r.peerRefusals] = r.peer
	r.peerRefusals++
	e.place(now, row)
}

// ownerEnding is like endingOf, but reports when the key's owner could not be
// reached.
func (r *request) ownerEnding(ev *ExchangeEnded) ending {
	end := endingOf(ev)
	if r.toOwner && ev.Result == NotSent {
		end.reason = ReasonOwnerUnreachable
	}
	return end
}

// responseStarted replies with a streamed response. The request is not retried
// after that.
func (e *Engine) responseStarted(now time.Time, ev *ResponseStarted) {
	row, ok := e.requests.find(ev.ID)
	if !ok {
		return
	}
	r := &e.requests.rows[row]
	if r.attempt != ev.Attempt || r.state != stateUpstream && r.state != statePeer {
		return
	}
	if r.streamed || r.preempting {
		// A preempted exchange is being canceled, so its response must not begin to
		// reach the caller.
		return
	}
	e.untrackPreemptible(row)
	r.streamed, r.mayHaveRun = true, true
	e.reply(r, ending{outcome: Responded, response: ev.Response})
}
