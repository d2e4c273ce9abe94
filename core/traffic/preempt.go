package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

const (
	// preemptBudgetFraction bounds the slot time that preemptions may waste, as
	// a fraction of the time of completed exchanges; slots must stay 95% busy
	// under a background overload.
	preemptBudgetFraction = 0.03
	// maxPreemptBudget is the slot time that can accumulate for preemptions.
	maxPreemptBudget = 2 * time.Second
	// minReleaseGapFraction is a fraction of the service time. If the mean time
	// between two slot releases is not longer, urgent work waits for the next one
	// without a preemption.
	minReleaseGapFraction = 0.05
	// maxPreemptAgeFraction is the age of an exchange, as a fraction of the
	// service time, beyond which it is not preempted.
	maxPreemptAgeFraction = 0.5
)

// preempt cancels a background exchange beyond the guaranteed share of its
// priority to free the slot for an urgent request that waits: with 3 to 6 slots
// in an instance's part, the wait for the next release alone would raise the
// urgent p99 by up to half. It cancels the youngest exchange of an idempotent
// request, which then returns to the head of its queue. A request is preempted
// at most once.
func (e *Engine) preempt(now time.Time, row int32) {
	g := &e.groups.rows[row]
	if g.preemptible.tail == none || g.queues[document.Urgent].length <= g.pendingPreemptions {
		return
	}
	slots := e.ownSlots(g)
	if !g.hasBackgroundBacklog(slots) || !g.scheduler.ExceedsShare(now, document.Background, slots) || float64(slots)*minReleaseGapFraction >= 1 {
		return
	}
	candidate := &e.requests.rows[g.preemptible.tail]
	age := now.Sub(candidate.startedAt)
	if age > g.preemptBudget || float64(age) > maxPreemptAgeFraction*g.serviceTime.meanOr(defaultServiceTime) {
		return
	}
	g.preemptBudget -= age
	g.pendingPreemptions++
	candidate.preempted, candidate.preempting = true, true
	e.emit(CancelExchange{ID: candidate.id, Attempt: candidate.attempt})
	e.listRemove(&g.preemptible, g.preemptible.tail)
	candidate.preemptible = false
}

// hasBackgroundBacklog reports whether at least as many background requests
// wait as there are slots. With fewer, the urgent wait is part of the usual
// latency and does not justify a preemption.
func (g *group) hasBackgroundBacklog(slots int) bool {
	return g.queues[document.Background].length >= slots
}

// trackPreemptible lists an exchange as preemptible if its request allows it.
func (e *Engine) trackPreemptible(row int32) {
	r := &e.requests.rows[row]
	s := &e.services.rows[r.service]
	if r.priority != document.Background || !s.idempotent || !r.replayable || r.ownsKeyRecord || r.preempted || r.attempts >= maxAttempts {
		return
	}
	r.preemptible = true
	e.listAppend(&e.groups.rows[r.slotGroup].preemptible, row)
}

// untrackPreemptible removes an exchange that must not be preempted any more.
func (e *Engine) untrackPreemptible(row int32) {
	r := &e.requests.rows[row]
	if !r.preemptible {
		return
	}
	r.preemptible = false
	e.listRemove(&e.groups.rows[r.slotGroup].preemptible, row)
}

// requeuePreempted queues a request again when its preempted exchange has
// ended. It reports false if the exchange was not preempted or ended on its own,
// or if the caller has disconnected.
func (e *Engine) requeuePreempted(now time.Time, row int32, ev *ExchangeEnded) bool {
	r := &e.requests.rows[row]
	if !r.preempting {
		return false
	}
	r.preempting = false
	e.groups.rows[r.slotGroup].pendingPreemptions--
	if r.canceled || ev.Result != Canceled && ev.Result != Broken {
		return false
	}
	r.mayHaveRun, r.unknownReason = true, ReasonPreempted
	r.triedTargets.Clear()
	e.count(CountRetry, ReasonPreempted)
	e.enqueueFirst(row)
	return true
}
