package steer

import (
	"math"
	"time"
)

// RetryRule bounds the retries of all instances together by a ratio of the
// requests of a service plus a fixed number in a window. Each instance applies
// the ratio to its own requests. The fixed number is divided among the
// instances that may exist, since a count shared by all would arrive too late.
type RetryRule struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of retries that all instances may add in a Window.
	Extra  float64
	Window time.Duration
}

const (
	// ratioFraction is the fraction of Ratio that is used. The rest leaves room for
	// requests that move to another instance between two windows.
	ratioFraction = 0.9
	// extraFraction is the fraction of Extra that is used. The rest leaves room for
	// instances that restart with a full budget and for those that this
	// instance does not know.
	extraFraction = 0.5
	// reserveFraction is the fraction of Extra that all instances together may
	// have saved up. With what is added in a Window it leaves room as
	// extraFraction does.
	reserveFraction = 0.6
	// burstWindow is about how long a retry that a request earned stays
	// available. It is a twentieth of the usual Window of 10 s, so that the
	// retries in a window are at most 1.05 times those that its requests earn.
	// ratioFraction leaves room for that.
	burstWindow = 500 * time.Millisecond
	// minAssumedInstances is the number of instances that is assumed while this
	// instance knows fewer.
	minAssumedInstances = 8
)

// retryBudget is the number of retries that this instance may still make for
// one service.
type retryBudget struct {
	tokens float64
	// recentCredit is what the requests of about the last burstWindow added.
	recentCredit float64
	refilledAt   time.Time
}

func (e *Engine) retryBudgetOf(service string) *retryBudget {
	b := e.retryBudgets[service]
	if b == nil {
		b = &retryBudget{tokens: 1}
		e.retryBudgets[service] = b
	}
	return b
}

// extraPerInstance returns this instance's part of RetryRule.Extra.
func (e *Engine) extraPerInstance() float64 {
	return e.retry.Extra / float64(max(e.livePeers+1, minAssumedInstances))
}

// refillRetryBudget updates the budget to the current time. Half of extraFraction
// of the instance's part is added evenly over each Window. The tokens are limited
// to the other half, at least 1, plus 2 and the recent credit. In a large fleet
// the part is so small that reserveFraction limits what is saved up, but to no
// less than the one token that a retry takes.
func (e *Engine) refillRetryBudget(now time.Time, b *retryBudget) {
	part := e.extraPerInstance()
	half := part * extraFraction / 2
	if !b.refilledAt.IsZero() {
		elapsed := now.Sub(b.refilledAt)
		b.tokens += half * elapsed.Seconds() / e.retry.Window.Seconds()
		b.recentCredit *= math.Exp(-elapsed.Seconds() / burstWindow.Seconds())
	}
	b.refilledAt = now
	reserve := max(1, min(max(half, 1)+2, part*reserveFraction))
	b.tokens = min(b.tokens, reserve+b.recentCredit)
}

// creditRequest adds what a new request earns to the retry budget.
func (e *Engine) creditRequest(now time.Time, service string) {
	b := e.retryBudgetOf(service)
	e.refillRetryBudget(now, b)
	b.tokens += e.retry.Ratio * ratioFraction
	b.recentCredit += e.retry.Ratio * ratioFraction
}

// takeRetryToken takes a retry from the budget and returns false if none is
// left.
func (e *Engine) takeRetryToken(now time.Time, service string) bool {
	b := e.retryBudgetOf(service)
	e.refillRetryBudget(now, b)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
