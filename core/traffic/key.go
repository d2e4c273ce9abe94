package traffic

import (
	"time"

	"pistachioford.example/core/idempotency"
)

// arriveKeyed brings a keyed request to the owner of its key.
func (e *Engine) arriveKeyed(now time.Time, row int32, ev *RequestArrived) {
	key, err := idempotency.Parse(ev.Key)
	if err != nil {
		e.finish(now, row, ending{outcome: BadKey, reason: ReasonBadKey})
		return
	}
	owner, err := key.Owner(e.doc)
	if err != nil {
		e.finish(now, row, ending{outcome: BadKey, reason: ReasonBadKey})
		return
	}
	if takenAt, ok := e.holds(owner); ok {
		e.ownKey(now, row, key, takenAt)
		return
	}
	to, known := e.peers.byShard[owner]
	if ev.Forwarded != nil || !known {
		e.refuse(now, row, ReasonOwnerUnreachable)
		return
	}
	r := &e.requests.rows[row]
	r.toOwner = true
	if !e.forward(now, row, to) {
		e.refuse(now, row, ReasonLinkBudget)
	}
}

// ownKey decides on a keyed request whose key this instance owns. The record
// comes before all refusals, so that a copy of a request that ran is never told
// "not run".
func (e *Engine) ownKey(now time.Time, row int32, key idempotency.Key, takenAt time.Time) {
	r := &e.requests.rows[row]
	r.ownerDecided = true
	decision := e.keys.Begin(now, idempotency.Request{
		Key: key, Fingerprint: r.fingerprint, ID: uint64(r.id),
		TakenAt: takenAt, Retention: e.doc.KeyRetention,
	})
	switch decision.Verdict {
	case idempotency.Run:
		r.owned = true
		e.admit(now, row)
	case idempotency.Wait:
		e.waitForKey(now, row, RequestID(decision.Running))
	case idempotency.Replay:
		e.replay(now, row, decision.Answer)
	default:
		e.finish(now, row, endingOfVerdict(decision.Verdict))
	}
}

func endingOfVerdict(v idempotency.Verdict) ending {
	switch v {
	case idempotency.Expired:
		return ending{outcome: Unknown, reason: ReasonKeyExpired}
	case idempotency.BeforeTakeover:
		return ending{outcome: Unknown, reason: ReasonKeyBeforeTakeover}
	case idempotency.Reused:
		return ending{outcome: KeyReused, reason: ReasonKeyReused}
	case idempotency.FromFuture:
		return ending{outcome: BadKey, reason: ReasonBadKey}
	case idempotency.Full:
		return ending{outcome: NotRun, reason: ReasonKeyMemoryFull}
	default:
		return ending{outcome: Unknown, reason: ReasonKeyUnknown}
	}
}

// replay returns a stored answer, which crosses the link back like a new one.
func (e *Engine) replay(now time.Time, row int32, answer Answer) {
	r := &e.requests.rows[row]
	if !e.chargeAnswer(now, r, int64(answer.Size())) {
		e.finish(now, row, ending{outcome: Unknown, reason: ReasonLinkBudget})
		return
	}
	e.finish(now, row, ending{outcome: Answered, answer: answer, replayed: true})
}

// waitForKey lets a copy wait for the request that runs with its key.
func (e *Engine) waitForKey(now time.Time, row int32, running RequestID) {
	first, ok := e.requests.find(running)
	if !ok {
		// No request ends without settling its key; if one did, it may have run.
		e.finish(now, row, endingOfVerdict(idempotency.OutcomeUnknown))
		return
	}
	r := &e.requests.rows[row]
	f := &e.requests.rows[first]
	r.state, r.waitingFor = stateWaitingKey, first
	r.prev, r.next = none, f.firstCopy
	if f.firstCopy != none {
		e.requests.rows[f.firstCopy].prev = row
	}
	f.firstCopy = row
	e.startTimer(row, r.deadline)
}

// leaveKey takes a copy out of the list of those that wait.
func (e *Engine) leaveKey(row int32) {
	r := &e.requests.rows[row]
	if r.prev == none {
		e.requests.rows[r.waitingFor].firstCopy = r.next
	} else {
		e.requests.rows[r.prev].next = r.next
	}
	if r.next != none {
		e.requests.rows[r.next].prev = r.prev
	}
	r.state, r.prev, r.next, r.waitingFor = stateNew, none, none, none
}

// settleKey records how a keyed request ended and ends its copies.
func (e *Engine) settleKey(now time.Time, row int32, end ending) {
	r := &e.requests.rows[row]
	if !r.owned {
		return
	}
	kept := end.outcome == Answered && end.answer != nil && !r.streamed
	switch {
	case kept:
		e.keys.Answered(now, r.key, end.answer, e.doc.KeyRetention)
	case end.outcome == NotRun:
		e.keys.NotRun(r.key)
	default:
		e.keys.Unknown(now, r.key, e.doc.KeyRetention)
		end.outcome = Unknown
		if end.reason == ReasonNone {
			end.reason = ReasonKeyUnknown
		}
	}
	e.endCopies(now, row, end)
}

func (e *Engine) endCopies(now time.Time, row int32, end ending) {
	copyRow := e.requests.rows[row].firstCopy
	for copyRow != none {
		next := e.requests.rows[copyRow].next
		e.leaveKey(copyRow)
		if end.outcome == Answered {
			e.replay(now, copyRow, end.answer)
		} else {
			e.finish(now, copyRow, end)
		}
		copyRow = next
	}
}
