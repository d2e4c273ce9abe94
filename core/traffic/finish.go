package traffic

import "time"

// ending describes how a request ends.
type ending struct {
	outcome  Outcome
	reason   Reason
	response Response
	replayed bool
}

// endingOf returns how a request ends if the exchange was its last.
func endingOf(ev *ExchangeEnded) ending {
	end := ending{reason: reasonOf(ev), response: ev.Response, replayed: ev.Replayed}
	switch ev.Result {
	case Completed, Failed:
		end.outcome = Responded
	case Shed, NotSent:
		end.outcome = NotRun
	case KeyReusedAtPeer:
		end.outcome = KeyReused
	case BadKeyAtPeer:
		end.outcome = BadKey
	default:
		end.outcome = Unknown
	}
	return end
}

// reasonOf returns why an exchange failed; a peer's own reason takes
// precedence.
func reasonOf(ev *ExchangeEnded) Reason {
	if ev.Reason != ReasonNone {
		return ev.Reason
	}
	switch ev.Result {
	case Failed:
		return ReasonUpstreamError
	case Shed:
		return ReasonShed
	case NotSent:
		return ReasonNotSent
	case Broken, Canceled:
		return ReasonBroken
	case Malformed:
		return ReasonMalformed
	case TimedOut:
		return ReasonTimeout
	case UnknownAtPeer:
		return ReasonPeerUnknown
	case KeyReusedAtPeer:
		return ReasonKeyReused
	case BadKeyAtPeer:
		return ReasonBadKey
	default:
		return ReasonNone
	}
}

// refuse ends a request with the outcome NotRun, which finish turns into Unknown
// if the request may have run.
func (e *Engine) refuse(now time.Time, row int32, reason Reason) {
	e.finish(now, row, ending{outcome: NotRun, reason: reason})
}

// finish ends a request: it replies, records the outcome of its key, ends the
// duplicates that wait for it and releases its row. NotRun becomes Unknown if
// an attempt may have run, or if the owner of the key was not consulted.
func (e *Engine) finish(now time.Time, row int32, end ending) {
	r := &e.requests.rows[row]
	switch {
	case end.outcome != NotRun:
	case r.mayHaveRun:
		end.outcome, end.reason = Unknown, r.unknownReason
	case r.key != "" && !r.forwarded && !r.ownerDecided:
		// An earlier attempt with the key may have run; only the owner of the
		// key knows.
		end.outcome = Unknown
	}
	e.reply(r, end)
	e.recordKeyOutcome(now, row, end)
	e.release(row)
}

// release removes a request that nothing refers to any more.
func (e *Engine) release(row int32) {
	e.stopTimer(row)
	id := e.requests.rows[row].id
	e.requests.remove(row)
	e.emit(Release{ID: id})
}

// reply emits the reply of a request, once, unless its caller has disconnected.
func (e *Engine) reply(r *request, end ending) {
	if r.canceled || r.replied {
		return
	}
	r.replied = true
	reply := Reply{ID: r.id, Outcome: end.outcome, Replayed: end.replayed, Attempts: r.attempts}
	if end.outcome == Responded {
		reply.Response = end.response
		e.emit(reply)
		return
	}
	reply.Reason = end.reason
	if !r.mayHaveRun {
		reply.RetryAfter = retryAfter
	}
	e.emit(reply)
	e.count(CountRefusal, end.reason)
}
