package traffic

import (
	"time"

	"pistachioford.example/core/idempotency"
)

const (
	// broadcastTimeout bounds the wait for the region's acknowledgements.
	broadcastTimeout = 50 * time.Millisecond
	// broadcastGrace is the time after which the Engine goes on if the adapter
	// did not report the end of a broadcast.
	broadcastGrace = 50 * time.Millisecond
)

// suspect reports a request whose upstream's connection broke before an
// answer. The request waits, so that its copies are known before it runs again
// and before its caller can resend it.
func (e *Engine) suspect(now time.Time, row int32, ev *ExchangeEnded) {
	r := &e.requests.rows[row]
	target, _ := e.targets.ID(r.row)
	crash := PoisonSuspected{Fingerprint: r.fingerprint, Target: target, At: now}
	if seen, known := e.poison.Known(now, r.fingerprint); known {
		crash.Overlapping = r.started.Before(seen)
		crash.Repeated = !crash.Overlapping
	}
	e.poison.Crashed(now, idempotency.Crash(crash))
	e.broadcast++
	r.broadcast, r.pending, r.state = e.broadcast, *ev, stateBroadcast
	e.startTimer(row, now.Add(broadcastTimeout+broadcastGrace))
	e.emit(BroadcastPoison{ID: r.broadcast, Suspect: crash, Timeout: broadcastTimeout})
}

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

// afterBroadcast goes on with a request after its crash was reported.
func (e *Engine) afterBroadcast(now time.Time, row int32) {
	r := &e.requests.rows[row]
	end := endingOf(&r.pending)
	class := e.classify(r, r.pending.Latency)
	r.state, r.pending = stateNew, ExchangeEnded{}
	if e.poison.Blocked(now, r.fingerprint) {
		end.reason = ReasonPoison
		e.finish(now, row, end)
		return
	}
	if r.canceled {
		e.finish(now, row, end)
		return
	}
	e.retryOr(now, row, class, end)
}

// poisonReported takes a peer's report.
func (e *Engine) poisonReported(now time.Time, ev PoisonSuspected) {
	e.poison.Crashed(now, idempotency.Crash(ev))
}
