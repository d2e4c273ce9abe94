package traffic

import (
	"time"

	"pistachioford.example/core/limit"
	"pistachioford.example/core/route"
)

// targetRow names a target in the routing table.
type targetRow = route.Row

// exchangeEnded takes the end of an exchange; one that is not the request's
// current attempt is ignored.
func (e *Engine) exchangeEnded(now time.Time, ev *ExchangeEnded) {
	row, ok := e.requests.find(ev.ID)
	if !ok || e.requests.rows[row].attempt != ev.Attempt {
		return
	}
	switch e.requests.rows[row].state {
	case stateUpstream:
		slots := e.requests.rows[row].slots
		e.unlend(row)
		e.freeSlot(now, row, ev)
		if !e.recalled(now, row, ev) {
			e.upstreamEnded(now, row, ev)
		}
		e.dispatch(now, slots)
	case statePeer:
		e.peerEnded(now, row, ev)
	}
}

// freeSlot returns the slot and measures the exchange.
func (e *Engine) freeSlot(now time.Time, row int32, ev *ExchangeEnded) {
	r := &e.requests.rows[row]
	g := &e.groups.rows[r.slots]
	e.targets.End(now, r.row, e.blame(r, ev), ev.Latency)
	g.shares.End(now, r.priority)
	if ev.Result == Completed {
		e.poison.Succeeded(r.fingerprint)
		took := now.Sub(r.started)
		g.service.add(took)
		g.recallTime = min(recallMax, g.recallTime+time.Duration(recallShare*float64(took)))
		e.services.rows[r.service].time.add(took)
	}
	if ev.Result != CanceledByCaller {
		g.shed.add(now, ev.Result == Shed)
	}
	if ev.Leaving {
		e.signOfLeaving(now, r.row)
	}
}

func (e *Engine) signOfLeaving(now time.Time, target targetRow) {
	if id, ok := e.targets.ID(target); ok {
		e.targetLeaving(TargetLeaving{Target: id, Seen: now})
	}
}

// blame translates the end of an exchange for the target's measurements.
func (e *Engine) blame(r *request, ev *ExchangeEnded) route.Outcome {
	switch ev.Result {
	case Completed:
		return route.Success
	case Shed:
		return route.Shed
	case Broken:
		if r.canceled {
			return route.Neutral
		}
		if r.streamed {
			return route.Failure
		}
		return route.Crash
	case NotSent:
		return route.Refused
	case Failed, TimedOut:
		return route.Failure
	default:
		return route.Neutral
	}
}

// upstreamEnded decides what follows an exchange with an upstream.
func (e *Engine) upstreamEnded(now time.Time, row int32, ev *ExchangeEnded) {
	r := &e.requests.rows[row]
	r.state = stateNew
	e.noteRun(r, ev)
	if r.canceled && !r.owned || r.replied {
		e.finish(now, row, endingOf(ev))
		return
	}
	switch ev.Result {
	case Failed:
		e.retryOr(now, row, e.classify(r, ev.Latency), endingOf(ev))
	case Shed, TimedOut:
		e.retryOr(now, row, limit.Costly, endingOf(ev))
	case NotSent:
		e.retryOr(now, row, e.classify(r, ev.Latency), endingOf(ev))
	case Broken:
		e.suspect(now, row, ev)
	default:
		e.finish(now, row, endingOf(ev))
	}
}

// noteRun remembers whether the attempt may have run and used up the body.
func (e *Engine) noteRun(r *request, ev *ExchangeEnded) {
	switch ev.Result {
	case Shed, NotSent, KeyReusedAtPeer, BadKeyAtPeer:
	default:
		r.ran, r.ranReason = true, reasonOf(ev)
	}
	if ev.Result != NotSent && !r.replayable {
		r.bodyGone = true
	}
}

// retryOr retries a request that is idempotent or did not run, and ends it
// otherwise.
func (e *Engine) retryOr(now time.Time, row int32, class limit.RetryClass, end ending) {
	r := &e.requests.rows[row]
	if !e.services.rows[r.service].idempotent && (r.ran || r.key == "" && end.reason == ReasonShed) {
		// Without a key, not even a shed request is sent to an upstream again.
		e.finish(now, row, end)
		return
	}
	denied := e.retry(now, row, class, end.reason)
	if denied == ReasonNone {
		return
	}
	if end.outcome == Answered {
		e.count(CountRefusal, denied)
	} else {
		end.reason = denied
	}
	e.finish(now, row, end)
}

// peerEnded decides what follows an exchange with a peer.
func (e *Engine) peerEnded(now time.Time, row int32, ev *ExchangeEnded) {
	r := &e.requests.rows[row]
	r.state = stateNew
	e.noteRun(r, ev)
	e.notePeer(now, r, ev)
	r.ownerDecided = r.toOwner && ev.Result == Shed
	if r.canceled && !r.owned || r.replied || r.toOwner {
		e.finish(now, row, r.ownerEnding(ev))
		return
	}
	switch ev.Result {
	case Shed, NotSent:
		e.refusedByPeer(now, row, ev)
	case Broken, TimedOut:
		r.runs++
		e.retryOr(now, row, limit.Costly, endingOf(ev))
	case Failed, UnknownAtPeer:
		if ev.Runs == 0 {
			e.finish(now, row, endingOf(ev))
			return
		}
		r.runs = ev.Runs
		e.retryOr(now, row, e.classify(r, ev.Latency), endingOf(ev))
	default:
		e.finish(now, row, endingOf(ev))
	}
}

// notePeer remembers what the end tells about the peer.
func (e *Engine) notePeer(now time.Time, r *request, ev *ExchangeEnded) {
	i, ok := e.peers.byID[r.peer]
	if !ok {
		return
	}
	p := &e.peers.rows[i]
	switch {
	case ev.Result == NotSent || ev.Result == Broken:
		p.pausedUntil = now.Add(peerPause)
	case ev.Result != Shed:
	case ev.Reason == ReasonShiftCap && p.region != e.region:
		e.shift(r.service, p.region).pausedUntil = now.Add(shiftPause)
	default:
		p.full(e.groups.rows[r.group].id)
	}
}

// refusedByPeer finds another way for a request that a peer did not run.
func (e *Engine) refusedByPeer(now time.Time, row int32, ev *ExchangeEnded) {
	r := &e.requests.rows[row]
	r.refused = reasonOf(ev)
	if r.refused == ReasonPoison || r.bodyGone {
		e.refuse(now, row, r.refused)
		return
	}
	r.peers[r.refusals] = r.peer
	r.refusals++
	e.place(now, row)
}

// ownerEnding tells the caller when the key's owner could not be reached.
func (r *request) ownerEnding(ev *ExchangeEnded) ending {
	end := endingOf(ev)
	if r.toOwner && ev.Result == NotSent {
		end.reason = ReasonOwnerUnreachable
	}
	return end
}

// answerStarted passes a streamed answer on; the attempt is final.
func (e *Engine) answerStarted(now time.Time, ev *AnswerStarted) {
	row, ok := e.requests.find(ev.ID)
	if !ok {
		return
	}
	r := &e.requests.rows[row]
	if r.attempt != ev.Attempt || r.state != stateUpstream && r.state != statePeer {
		return
	}
	if r.streamed || r.recalling {
		// The exchange of a recalled request is being cut, so its answer must not
		// begin to reach the caller.
		return
	}
	e.unlend(row)
	r.streamed, r.ran = true, true
	e.reply(r, ending{outcome: Answered, answer: ev.Answer})
}
