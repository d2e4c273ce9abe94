package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

const (
	// recallShare bounds the slot time that recalls may waste, as a share of the
	// time of completed exchanges; slots have to stay 95% busy in a flood.
	recallShare = 0.03
	// recallMax is the slot time that can be saved up for recalls.
	recallMax = 2 * time.Second
	// recallGap is the usual time between two ends of exchanges, as a share of
	// the service time, below which urgent work just waits for the next one.
	recallGap = 0.05
	// recallAge is the share of the usual time after which an exchange is left
	// to end by itself.
	recallAge = 0.5
)

// recall takes back a slot that was lent to background work, for an urgent
// request that found none free: with 3 to 6 slots in an instance's part, the
// wait for the next end alone would raise the urgent p99 by up to half. It
// cancels the youngest exchange of an idempotent request, which waits again at
// the head of its queue. A request is recalled once at most.
func (e *Engine) recall(now time.Time, row int32) {
	g := &e.groups.rows[row]
	if g.lent.tail == none || g.queues[document.Urgent].length <= g.recalls {
		return
	}
	slots := e.slotsOf(g)
	if !g.flooded(slots) || !g.shares.Lent(now, document.Background, slots) || float64(slots)*recallGap >= 1 {
		return
	}
	victim := &e.requests.rows[g.lent.tail]
	age := now.Sub(victim.started)
	if age > g.recallTime || float64(age) > recallAge*g.service.meanOr(usualService) {
		return
	}
	g.recallTime -= age
	g.recalls++
	victim.recalled, victim.recalling = true, true
	e.emit(CancelExchange{ID: victim.id, Attempt: victim.attempt})
	e.unlink(&g.lent, g.lent.tail)
	victim.lent = false
}

// flooded tells whether more background work waits than there are slots.
// Without a flood, the wait is part of the usual latency and not worth a recall.
func (g *group) flooded(slots int) bool { return g.queues[document.Background].length >= slots }

// lend notes that an exchange may be recalled.
func (e *Engine) lend(row int32) {
	r := &e.requests.rows[row]
	s := &e.services.rows[r.service]
	if r.priority != document.Background || !s.idempotent || !r.replayable || r.owned || r.recalled || r.runs >= maxRuns {
		return
	}
	r.lent = true
	e.link(&e.groups.rows[r.slots].lent, row)
}

// unlend forgets an exchange that must not be recalled any more.
func (e *Engine) unlend(row int32) {
	r := &e.requests.rows[row]
	if !r.lent {
		return
	}
	r.lent = false
	e.unlink(&e.groups.rows[r.slots].lent, row)
}

// recalled takes the end of an exchange that was recalled; false if the
// exchange had ended by itself before.
func (e *Engine) recalled(now time.Time, row int32, ev *ExchangeEnded) bool {
	r := &e.requests.rows[row]
	if !r.recalling {
		return false
	}
	r.recalling = false
	e.groups.rows[r.slots].recalls--
	if r.canceled || ev.Result != CanceledByCaller && ev.Result != Broken {
		return false
	}
	r.ran, r.ranReason = true, ReasonRecalled
	r.avoid.Clear()
	e.count(CountRetry, ReasonRecalled)
	e.enqueueFirst(row)
	return true
}
