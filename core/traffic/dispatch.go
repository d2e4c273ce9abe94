package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

const (
	// maxDispatchScan is how many requests of a queue are tried for a free slot.
	// A request cannot use it if it already had an attempt on that target.
	maxDispatchScan = 8
	// minAttemptFactor is the smallest multiple of the conservative service time
	// that an attempt gets before it is abandoned in favor of another target.
	minAttemptFactor = 4
	// streamThreshold is the size in bytes above which responses are streamed.
	// Abandoning such an attempt would truncate a response that the caller is
	// already reading.
	streamThreshold = 1 << 20
)

// dispatch assigns the free slots of a group to its queued requests.
func (e *Engine) dispatch(now time.Time, row int32) {
	g := &e.groups.rows[row]
	waiting := g.waitingByPriority()
	if waiting == [document.NumPriorities]bool{} || !g.present {
		return
	}
	slots := e.ownSlots(g)
	for e.targets.HasFreeSlots(g.id) {
		p, ok := g.scheduler.Next(now, slots, waiting)
		if !ok {
			return
		}
		if !e.startNextQueued(now, row, p) {
			waiting[p] = false
			continue
		}
		waiting[p] = g.queues[p].length > 0
	}
}

// startNextQueued starts the first request of a queue that can use a free slot.
// It refuses the stale requests before it.
func (e *Engine) startNextQueued(now time.Time, g int32, p document.Priority) bool {
	row := e.groups.rows[g].queues[p].head
	for tried := 0; row != none && tried < maxDispatchScan; {
		next := e.requests.rows[row].next
		if reason := e.staleReason(now, row); reason != ReasonNone {
			e.dequeue(row)
			e.refuse(now, row, reason)
		} else if e.startQueuedRequest(now, row) {
			return true
		} else {
			tried++
		}
		row = next
	}
	return false
}

// staleReason returns why a queued request should no longer get a slot, or
// ReasonNone.
func (e *Engine) staleReason(now time.Time, row int32) Reason {
	if e.poison.Blocked(now, e.requests.rows[row].fingerprint) {
		return ReasonPoison
	}
	if !e.canMeetDeadline(now, row, 0) {
		return ReasonDeadline
	}
	return ReasonNone
}

// startQueuedRequest sends one queued request to a free own slot, if one suits
// it.
func (e *Engine) startQueuedRequest(now time.Time, row int32) bool {
	r := &e.requests.rows[row]
	target, ok := e.targets.Pick(now, e.groups.rows[r.group].id, &r.triedTargets)
	if !ok {
		return false
	}
	e.dequeue(row)
	e.send(now, row, target)
	return true
}

// start sends a request that is not queued to a free own slot, if one suits it.
func (e *Engine) start(now time.Time, row int32) bool {
	r := &e.requests.rows[row]
	target, ok := e.targets.Pick(now, e.groups.rows[r.group].id, &r.triedTargets)
	if !ok {
		return false
	}
	e.send(now, row, target)
	return true
}

// send starts an exchange with an upstream that has a free own slot.
func (e *Engine) send(now time.Time, row int32, target targetRow) {
	r := &e.requests.rows[row]
	g := &e.groups.rows[r.group]
	e.charge(now, r)
	id, _ := e.targets.TargetID(target)
	if r.attempts == 0 {
		g.retryBudget.RecordFirstAttempt()
	}
	r.state = stateUpstream
	r.attempt++
	r.attempts++
	r.triedTargets.Add(target)
	r.target, r.slotGroup, r.startedAt = target, r.group, now
	e.trackPreemptible(row)
	e.targets.Start(now, target)
	g.scheduler.Start(now, r.priority)
	e.emit(Send{
		ID: r.id, Attempt: r.attempt, Target: id,
		Address: e.doc.Targets[id].Address, Deadline: e.attemptDeadline(now, row),
	})
}

// attemptDeadline returns the deadline of an attempt. Where a retry would be
// allowed, the attempt gets half of the remaining time if that is at least
// minAttemptFactor times the conservative service time.
func (e *Engine) attemptDeadline(now time.Time, row int32) time.Time {
	r := &e.requests.rows[row]
	g := &e.groups.rows[r.group]
	s := &e.services.rows[r.service]
	if !s.idempotent || !r.replayable || s.slotTime.mean == 0 || s.responseBytes > streamThreshold {
		return r.deadline
	}
	half := r.deadline.Sub(now) / 2
	if half < minAttemptFactor*s.slotTime.conservative() || !e.mayRetryTimeout(now, r, g) {
		return r.deadline
	}
	return now.Add(half)
}
