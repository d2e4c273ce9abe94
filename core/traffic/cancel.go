package traffic

import "time"

// cancel ends a request whose caller has disconnected. A keyed request that was
// sent or that duplicates wait for continues without its caller, because the
// key's record must hold the outcome.
func (e *Engine) cancel(now time.Time, id RequestID) {
	row, ok := e.requests.find(id)
	if !ok || e.requests.rows[row].canceled {
		return
	}
	r := &e.requests.rows[row]
	r.canceled = true
	switch r.state {
	case stateQueued, stateBackoff:
		e.cancelWaiting(now, row)
	case stateWaitingKey:
		e.stopWaitingForKey(row)
		e.release(row)
	case stateUpstream, statePeer:
		if r.preempting {
			return
		}
		e.untrackPreemptible(row)
		if !r.ownsKeyRecord || r.streamed {
			e.emit(CancelExchange{ID: id, Attempt: r.attempt})
		}
	}
}

// cancelWaiting ends a canceled request that is queued or in backoff.
func (e *Engine) cancelWaiting(now time.Time, row int32) {
	r := &e.requests.rows[row]
	if r.ownsKeyRecord && (r.mayHaveRun || r.firstDuplicate != none) {
		return
	}
	if r.state == stateQueued {
		e.dequeue(row)
	}
	e.finish(now, row, ending{outcome: NotRun})
}
