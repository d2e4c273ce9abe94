package steer

import (
	"math"
	"time"
)

// Repeats are bounded over all instances together: a part of the requests of a
// service plus a fixed number in a window. The part is kept by each instance
// for its own requests; the fixed number is divided among the instances that
// may exist, since a count that all share would come too late.
type RetryRule struct {
	// Ratio is the allowed repeats per request.
	Ratio float64
	// Extra is the number that all instances may add in a Window.
	Extra  float64
	Window time.Duration
}

const (
	// ratioPart leaves room for requests that change their instance between
	// two windows.
	ratioPart = 0.9
	// extraPart leaves room for instances that restart with a full budget and
	// for those that this instance does not know.
	extraPart = 0.5
	// burstTime is how long repeats that were not needed stay allowed: a
	// twentieth of the window, so that a window takes at most 1.05 times what its
	// requests earn. ratioPart leaves room for that.
	burstTime = 500 * time.Millisecond
	// fewestInstances is assumed while this instance knows few others.
	fewestInstances = 8
)

// budget is the repeats that one instance may still make for one service.
type budget struct {
	tokens float64
	// earned is what the requests of about the last burstTime added.
	earned float64
	at     time.Time
}

func (e *Engine) budgetOf(service string) *budget {
	b := e.budgets[service]
	if b == nil {
		b = &budget{tokens: 1}
		e.budgets[service] = b
	}
	return b
}

// extraShare is this instance's part of the fixed number.
func (e *Engine) extraShare() float64 {
	return e.retry.Extra * extraPart / float64(max(e.peers+1, fewestInstances))
}

func (e *Engine) refillBudget(now time.Time, b *budget) {
	share := e.extraShare()
	if !b.at.IsZero() {
		since := now.Sub(b.at)
		b.tokens += share / 2 * since.Seconds() / e.retry.Window.Seconds()
		b.earned *= math.Exp(-since.Seconds() / burstTime.Seconds())
	}
	b.at = now
	most := max(share/2, 1) + 2 + b.earned
	b.tokens = min(b.tokens, most)
}

func (e *Engine) countFirst(now time.Time, service string) {
	b := e.budgetOf(service)
	e.refillBudget(now, b)
	b.tokens += e.retry.Ratio * ratioPart
	b.earned += e.retry.Ratio * ratioPart
}

// takeRepeat charges one repeat, if the budget has one left.
func (e *Engine) takeRepeat(now time.Time, service string) bool {
	b := e.budgetOf(service)
	e.refillBudget(now, b)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
