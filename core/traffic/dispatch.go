package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

const (
	// dispatchScan is how many queued requests are tried for a free slot. The
	// first can be unable to use it, after an attempt on the same target.
	dispatchScan = 8
	// hangFactor is how many times the cautious estimate an attempt may take
	// before it is given up for another target.
	hangFactor = 4
	// streamedBytes is the size above which answers are streamed; an attempt that
	// is given up then would cut an answer that the caller already reads.
	streamedBytes = 1 << 20
)

// dispatch gives the free slots of a group to its queues.
func (e *Engine) dispatch(now time.Time, row int32) {
	g := &e.groups.rows[row]
	waiting := g.waitingByPriority()
	if waiting == [document.Priorities]bool{} || !g.present {
		return
	}
	slots := e.slotsOf(g)
	for e.targets.HasFree(g.id) {
		p, ok := g.shares.Next(now, slots, waiting)
		if !ok {
			return
		}
		if !e.startQueued(now, row, p) {
			waiting[p] = false
			continue
		}
		waiting[p] = g.queues[p].length > 0
	}
}

// startQueued starts the first request of a queue that can use a free slot.
func (e *Engine) startQueued(now time.Time, g int32, p document.Priority) bool {
	row := e.groups.rows[g].queues[p].head
	for tried := 0; row != none && tried < dispatchScan; {
		next := e.requests.rows[row].next
		if reason := e.stale(now, row); reason != ReasonNone {
			e.dequeue(row)
			e.refuse(now, row, reason)
		} else if e.startFromQueue(now, row) {
			return true
		} else {
			tried++
		}
		row = next
	}
	return false
}

// stale returns why a queued request is not worth a slot any more.
func (e *Engine) stale(now time.Time, row int32) Reason {
	if e.poison.Blocked(now, e.requests.rows[row].fingerprint) {
		return ReasonPoison
	}
	if !e.inTime(now, row, 0) {
		return ReasonDeadline
	}
	return ReasonNone
}

func (e *Engine) startFromQueue(now time.Time, row int32) bool {
	r := &e.requests.rows[row]
	target, ok := e.targets.Pick(now, e.groups.rows[r.group].id, &r.avoid)
	if !ok {
		return false
	}
	e.dequeue(row)
	e.send(now, row, target)
	return true
}

// start sends a request that is not queued to a free own slot, if there is one.
func (e *Engine) start(now time.Time, row int32) bool {
	r := &e.requests.rows[row]
	target, ok := e.targets.Pick(now, e.groups.rows[r.group].id, &r.avoid)
	if !ok {
		return false
	}
	e.send(now, row, target)
	return true
}

// send starts an exchange with an upstream on a slot that is free.
func (e *Engine) send(now time.Time, row int32, target targetRow) {
	r := &e.requests.rows[row]
	g := &e.groups.rows[r.group]
	e.charge(now, r)
	id, _ := e.targets.ID(target)
	if r.runs == 0 {
		g.retries.First()
	}
	r.state = stateUpstream
	r.attempt++
	r.runs++
	r.avoid.Add(target)
	r.row, r.slots, r.started = target, r.group, now
	e.lend(row)
	e.targets.Start(now, target)
	g.shares.Start(now, r.priority)
	e.emit(Send{
		ID: r.id, Attempt: r.attempt, Target: id,
		Address: e.doc.Targets[id].Address, Deadline: e.attemptDeadline(now, row),
	})
}

// attemptDeadline leaves half of the time to another attempt where one would be
// allowed and this one would be far beyond the usual time.
func (e *Engine) attemptDeadline(now time.Time, row int32) time.Time {
	r := &e.requests.rows[row]
	g := &e.groups.rows[r.group]
	s := &e.services.rows[r.service]
	if !s.idempotent || !r.replayable || s.time.mean == 0 || s.answerBytes > streamedBytes {
		return r.deadline
	}
	half := r.deadline.Sub(now) / 2
	if half < hangFactor*s.time.cautious() || !e.mayRetryCostly(now, r, g) {
		return r.deadline
	}
	return now.Add(half)
}
