// Package reuse decides whether a request may be sent on a connection to a
// target that has rested for a while. It has no sockets or clocks.
//
// It answers targets, or devices on the way, that forget idle connections
// without a word: the next request on such a connection is reset. A request
// that must not run twice is then lost, since nobody knows whether it ran.
package reuse

import (
	"math"
	"time"
)

const (
	// firstLimit is the longest rest after the first such reset. Devices that
	// forget connections keep them for some multiple of it.
	firstLimit = 100 * time.Millisecond
	// limitStep divides the limit at further resets.
	limitStep = 4
	// leastLimit ends the search: a connection just used is as good as new.
	leastLimit = 5 * time.Millisecond
	// cautionTime is how long after the last reset the limit holds.
	cautionTime = 8 * time.Second
	// enoughResets is the number of resets from which requests that may be
	// repeated keep to the limit too. Their repeat costs as much as a new
	// connection, but repeats are bounded.
	enoughResets = 2
)

// Unlimited is the limit while no connection was found forgotten.
const Unlimited = time.Duration(math.MaxInt64)

// Rule is what an instance knows of forgotten connections, for all targets
// together: what forgets them is seldom one target alone. The zero value is
// ready for use; it is not safe for concurrent use.
type Rule struct {
	limit  time.Duration
	resets int
	until  time.Time
}

// MostRest is the longest rest of a connection on which a request may be sent.
func (r *Rule) MostRest(now time.Time, repeatable bool) time.Duration {
	switch {
	case !now.Before(r.until):
		return Unlimited
	case repeatable && r.resets < enoughResets:
		return Unlimited
	default:
		return r.limit
	}
}

// Reset takes in that a request was reset at once on a connection that had
// rested for a time.
func (r *Rule) Reset(now time.Time, rested time.Duration) {
	if !now.Before(r.until) {
		r.resets, r.limit = 0, firstLimit*limitStep
	}
	r.resets++
	r.until = now.Add(cautionTime)
	// Resets on connections that rested for longer say nothing of the limit:
	// their requests were sent before it was set.
	if r.resets == 1 || rested <= r.limit {
		r.limit = max(min(r.limit, rested)/limitStep, leastLimit)
	}
}
