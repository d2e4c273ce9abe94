package traffic

import "time"

// cancel ends a request whose caller went away. A keyed request that was sent,
// or that copies wait for, goes on without its caller, because its record has
// to hold the outcome.
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
		e.leaveKey(row)
		e.release(row)
	case stateUpstream, statePeer:
		if r.recalling {
			return
		}
		e.unlend(row)
		if !r.owned || r.streamed {
			e.emit(CancelExchange{ID: id, Attempt: r.attempt})
		}
	}
}

func (e *Engine) cancelWaiting(now time.Time, row int32) {
	r := &e.requests.rows[row]
	if r.owned && (r.ran || r.firstCopy != none) {
		return
	}
	if r.state == stateQueued {
		e.dequeue(row)
	}
	e.finish(now, row, ending{outcome: NotRun})
}
