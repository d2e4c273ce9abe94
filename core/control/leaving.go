package control

import (
	"time"

	"pistachioford.example/core/member"
)

// releaseTimeout is how long a departure waits for its shards to be given up once
// no request is in flight. A shard that no zone peer takes is released at the
// platform, which may not respond.
const releaseTimeout = 10 * time.Second

// leavingState is the progress of a departure.
type leavingState struct {
	started bool
	done    bool
	// idleSince is when the daemon first reported no request in flight after
	// the start of the departure.
	idleSince time.Time
}

// leave starts the departure.
func (e *Engine) leave(now time.Time) {
	if e.leaving.started {
		return
	}
	e.leaving.started = true
	e.leases.drainedAt = time.Time{}
	e.members.SetState(member.Leaving)
	e.log("leaving")
}

// recordInFlight records when no request is in flight.
func (e *Engine) recordInFlight(now time.Time, requests int) {
	if requests > 0 {
		e.leases.drainedAt = time.Time{}
		return
	}
	e.leases.drainedAt = now
	if e.leaving.started && e.leaving.idleSince.IsZero() {
		e.leaving.idleSince = now
	}
}

// tickLeaving ends the departure when the shards are given up, or after
// releaseTimeout.
func (e *Engine) tickLeaving(now time.Time) {
	l := &e.leaving
	if !l.started || l.done || l.idleSince.IsZero() {
		return
	}
	if !e.leaseManager.Idle() && now.Sub(l.idleSince) < releaseTimeout {
		return
	}
	l.done = true
	e.members.SetState(member.Left)
	e.announce()
	e.emit(Departed{})
}
