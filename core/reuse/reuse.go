// Package reuse decides whether a request may be sent on an idle connection to
// a target. It uses no sockets or clocks.
//
// Targets, or devices on the path to them, may silently drop idle connections:
// the next request on such a connection is reset. A request that must not run
// twice is then lost, since it is unknown whether it ran.
package reuse

import (
	"math"
	"time"
)

const (
	// initialLimit is the limit after the first such reset, unless a quarter of
	// the idle time of that connection is less. Devices that drop idle
	// connections keep them for some multiple of it.
	initialLimit = 100 * time.Millisecond
	// limitDivisor divides the limit at each further reset within it.
	limitDivisor = 4
	// minLimit ends the search for a limit: a connection that was just used is
	// as good as a new one.
	minLimit = 5 * time.Millisecond
	// limitTTL is how long the limit holds after the last reset.
	limitTTL = 8 * time.Second
	// minRetryableResets is the number of resets from which on the limit also
	// holds for requests that may be retried. A retry costs as much as a new
	// connection, but retries are bounded.
	minRetryableResets = 2
)

// Unlimited is the limit while no resets are known that restrict the idle time.
const Unlimited = time.Duration(math.MaxInt64)

// IdleLimit limits the idle time of connections for all targets together:
// connections are seldom dropped by one target alone. The zero value is ready
// for use. IdleLimit is not safe for concurrent use.
type IdleLimit struct {
	limit     time.Duration
	resets    int
	expiresAt time.Time
}

// MaxIdle returns the longest idle time of a connection on which a request may
// be sent.
func (l *IdleLimit) MaxIdle(now time.Time, retryable bool) time.Duration {
	switch {
	case !now.Before(l.expiresAt):
		return Unlimited
	case retryable && l.resets < minRetryableResets:
		return Unlimited
	default:
		return l.limit
	}
}

// RecordReset records that a request was reset immediately on a connection that
// had been idle for a time.
func (l *IdleLimit) RecordReset(now time.Time, idle time.Duration) {
	if !now.Before(l.expiresAt) {
		l.resets, l.limit = 0, initialLimit*limitDivisor
	}
	l.resets++
	l.expiresAt = now.Add(limitTTL)
	// Resets after a longer idle time than the limit say nothing about it:
	// their requests were sent before the limit was set.
	if l.resets == 1 || idle <= l.limit {
		l.limit = max(min(l.limit, idle)/limitDivisor, minLimit)
	}
}
