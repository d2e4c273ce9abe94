package control

import (
	"time"

	"pistachioford.example/core/member"
)

// releaseTime is how long a departure waits for the platform to take the
// release of a shard when no zone peer takes it.
const releaseTime = 10 * time.Second

// leaving is the progress of a departure.
type leaving struct {
	started bool
	done    bool
	// idleSince is when the last request ended after the start.
	idleSince time.Time
}

// leave starts the departure.
func (e *Engine) leave(now time.Time) {
	if e.leaving.started {
		return
	}
	e.leaving.started = true
	e.leases.drained = time.Time{}
	e.members.SetState(member.Leaving)
	e.log("leaving")
}

// inFlight notes when no request is in flight.
func (e *Engine) inFlight(now time.Time, requests int) {
	if requests > 0 {
		e.leases.drained = time.Time{}
		return
	}
	e.leases.drained = now
	if e.leaving.started && e.leaving.idleSince.IsZero() {
		e.leaving.idleSince = now
	}
}

// tickLeaving ends the departure when the shards are given up.
func (e *Engine) tickLeaving(now time.Time) {
	l := &e.leaving
	if !l.started || l.done || l.idleSince.IsZero() {
		return
	}
	if !e.keeper.Idle() && now.Sub(l.idleSince) < releaseTime {
		return
	}
	l.done = true
	e.members.SetState(member.Left)
	e.announce()
	e.do(Departed{})
}
