package traffic

import (
	"time"

	"pistachioford.example/core/idempotency"
)

// routeKeyed admits a keyed request as the owner of its key, or forwards it to
// the owner.
func (e *Engine) routeKeyed(now time.Time, row int32, ev *RequestArrived) {
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
	if ownedSince, ok := e.holdsShard(owner); ok {
		e.admitAsOwner(now, row, key, ownedSince)
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

// admitAsOwner decides on a keyed request whose key this instance owns. It
// consults the key's record before any refusal, so that a duplicate of a
// request that ran never gets the outcome NotRun.
func (e *Engine) admitAsOwner(now time.Time, row int32, key idempotency.Key, ownedSince time.Time) {
	r := &e.requests.rows[row]
	r.ownerDecided = true
	decision := e.keys.Begin(now, idempotency.Request{
		Key: key, Fingerprint: r.fingerprint, ID: uint64(r.id),
		OwnedSince: ownedSince, Retention: e.doc.KeyRetention,
	})
	switch decision.Action {
	case idempotency.Run:
		r.ownsKeyRecord = true
		e.admit(now, row)
	case idempotency.Wait:
		e.waitForKey(now, row, RequestID(decision.Running))
	case idempotency.Replay:
		e.replay(now, row, decision.Response)
	default:
		e.finish(now, row, endingOfAction(decision.Action))
	}
}

// endingOfAction returns how a request ends if the action for its key is not to
// run it.
func endingOfAction(a idempotency.Action) ending {
	switch a {
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

// replay finishes a request with a stored response, which is charged to the link
// budget like a new one.
func (e *Engine) replay(now time.Time, row int32, response Response) {
	r := &e.requests.rows[row]
	if !e.chargeResponse(now, r, int64(response.Size())) {
		e.finish(now, row, ending{outcome: Unknown, reason: ReasonLinkBudget})
		return
	}
	e.finish(now, row, ending{outcome: Responded, response: response, replayed: true})
}

// waitForKey adds a duplicate to those that wait for the running request with
// the same key.
func (e *Engine) waitForKey(now time.Time, row int32, running RequestID) {
	original, ok := e.requests.find(running)
	if !ok {
		// Every request records the outcome of its key before it ends. If one
		// has not, it may have run.
		e.finish(now, row, endingOfAction(idempotency.OutcomeUnknown))
		return
	}
	r := &e.requests.rows[row]
	first := &e.requests.rows[original]
	r.state, r.waitingFor = stateWaitingKey, original
	r.prev, r.next = none, first.firstDuplicate
	if first.firstDuplicate != none {
		e.requests.rows[first.firstDuplicate].prev = row
	}
	first.firstDuplicate = row
	e.startTimer(row, r.deadline)
}

// stopWaitingForKey removes a duplicate from the list of those that wait.
func (e *Engine) stopWaitingForKey(row int32) {
	r := &e.requests.rows[row]
	if r.prev == none {
		e.requests.rows[r.waitingFor].firstDuplicate = r.next
	} else {
		e.requests.rows[r.prev].next = r.next
	}
	if r.next != none {
		e.requests.rows[r.next].prev = r.prev
	}
	r.state, r.prev, r.next, r.waitingFor = stateNew, none, none, none
}

// recordKeyOutcome records how a keyed request ended and finishes the
// duplicates that wait for it.
func (e *Engine) recordKeyOutcome(now time.Time, row int32, end ending) {
	r := &e.requests.rows[row]
	if !r.ownsKeyRecord {
		return
	}
	kept := end.outcome == Responded && end.response != nil && !r.streamed
	switch {
	case kept:
		e.keys.RecordResponse(now, r.key, end.response, e.doc.KeyRetention)
	case end.outcome == NotRun:
		e.keys.Forget(r.key)
	default:
		e.keys.RecordUnknown(now, r.key, e.doc.KeyRetention)
		end.outcome = Unknown
		if end.reason == ReasonNone {
			end.reason = ReasonKeyUnknown
		}
	}
	e.finishDuplicates(now, row, end)
}

// finishDuplicates ends the duplicates of a request with its response or
// ending.
func (e *Engine) finishDuplicates(now time.Time, row int32, end ending) {
	duplicate := e.requests.rows[row].firstDuplicate
	for duplicate != none {
		next := e.requests.rows[duplicate].next
		e.stopWaitingForKey(duplicate)
		if end.outcome == Responded {
			e.replay(now, duplicate, end.response)
		} else {
			e.finish(now, duplicate, end)
		}
		duplicate = next
	}
}
