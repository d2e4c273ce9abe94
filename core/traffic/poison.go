package traffic

import (
	"time"

	"pistachioford.example/core/idempotency"
)

const (
	// broadcastTimeout bounds the wait for acknowledgements from the region.
	broadcastTimeout = 50 * time.Millisecond
	// broadcastGrace is the time after broadcastTimeout at which the Engine
	// continues if the adapter has not reported the end of the broadcast.
	broadcastGrace = 50 * time.Millisecond
)

// reportCrash broadcasts to the region that the upstream connection of a
// request broke. The request waits for the acknowledgements,
// so that all instances know of the crash before it runs again and before its
// caller can resend it.
func (e *Engine) reportCrash(now time.Time, row int32, ev *ExchangeEnded) {
	r := &e.requests.rows[row]
	target, _ := e.targets.TargetID(r.target)
	crash := PoisonSuspected{Fingerprint: r.fingerprint, Target: target, At: now}
	if suspectedSince, known := e.poison.SuspectedSince(now, r.fingerprint); known {
		crash.Overlapping = r.startedAt.Before(suspectedSince)
		crash.Repeated = !crash.Overlapping
	}
	e.poison.Crashed(now, idempotency.Crash(crash))
	e.lastBroadcast++
	r.broadcast, r.pendingEnd, r.state = e.lastBroadcast, *ev, stateBroadcast
	e.startTimer(row, now.Add(broadcastTimeout+broadcastGrace))
	e.emit(BroadcastPoison{ID: r.broadcast, Suspect: crash, Timeout: broadcastTimeout})
}

// broadcastDone resumes the request that waits for a broadcast.
func (e *Engine) broadcastDone(now time.Time, id BroadcastID) {
	for _, row := range e.timers {
		r := &e.requests.rows[row]
		if r.state == stateBroadcast && r.broadcast == id {
			e.stopTimer(row)
			e.afterBroadcast(now, row)
			return
		}
	}
}

// afterBroadcast resumes a request after its crash was broadcast.
func (e *Engine) afterBroadcast(now time.Time, row int32) {
	r := &e.requests.rows[row]
	end := endingOf(&r.pendingEnd)
	class := e.retryClass(r, r.pendingEnd.Latency)
	r.state, r.pendingEnd = stateNew, ExchangeEnded{}
	if e.poison.Blocked(now, r.fingerprint) {
		end.reason = ReasonPoison
		e.finish(now, row, end)
		return
	}
	if r.canceled {
		e.finish(now, row, end)
		return
	}
	e.retryOrFinish(now, row, class, end)
}

// poisonReported handles a peer's report.
func (e *Engine) poisonReported(now time.Time, ev PoisonSuspected) {
	e.poison.Crashed(now, idempotency.Crash(ev))
}
