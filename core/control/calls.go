package control

import (
	"time"
)

// Budgets of the platform calls of one instance. With them 480 instances stay
// within what the platform grants the whole fleet.
const (
	readsPerSecond  = 2.0
	writesPerSecond = 0.5
	callBurst       = 20.0
	// callTimeout ends calls without a response. The platform client of the daemon
	// gives up earlier, after its retries.
	callTimeout = 10 * time.Second
	// maxCalls bounds the calls in flight.
	maxCalls = 64
)

// purpose selects the system that a call belongs to.
type purpose uint8

const (
	purposeHeadPoll purpose = iota
	purposeSections
	purposeLeaseRows
	purposeLeaseWrite
	purposeInstanceList
	purposeBlocks
)

// call is a platform call in flight.
type call struct {
	id      OperationID
	purpose purpose
	sent    time.Time
	// shard is set for purposeLeaseWrite.
	shard uint16
}

// calls tracks the platform calls in flight and their budgets.
type calls struct {
	lastID      OperationID
	inFlight    []call
	readTokens  float64
	writeTokens float64
	lastRefill  time.Time
	// failures counts the calls that failed since the last success;
	// failingSince is the time at which the first of them was sent.
	failures     int
	failingSince time.Time
	lastSuccess  time.Time
}

func newCalls(now time.Time) calls {
	return calls{readTokens: callBurst, writeTokens: callBurst, lastRefill: now}
}

// refill adds to the budgets for the time since the last refill, up to callBurst.
func (c *calls) refill(now time.Time) {
	elapsed := now.Sub(c.lastRefill).Seconds()
	c.lastRefill = now
	c.readTokens = min(callBurst, c.readTokens+elapsed*readsPerSecond)
	c.writeTokens = min(callBurst, c.writeTokens+elapsed*writesPerSecond)
}

// startRead starts a call against the read budget. It returns false if the budget
// or the number of calls in flight does not allow it.
func (c *calls) startRead(p purpose, now time.Time) (OperationID, bool) {
	if c.readTokens < 1 || len(c.inFlight) >= maxCalls {
		return 0, false
	}
	c.readTokens--
	return c.add(call{purpose: p, sent: now}), true
}

// startWrite starts a lease write against the write budget. It returns false like
// startRead.
func (c *calls) startWrite(shard uint16, now time.Time) (OperationID, bool) {
	if c.writeTokens < 1 || len(c.inFlight) >= maxCalls {
		return 0, false
	}
	c.writeTokens--
	return c.add(call{purpose: purposeLeaseWrite, shard: shard, sent: now}), true
}

func (c *calls) add(started call) OperationID {
	c.lastID++
	started.id = c.lastID
	c.inFlight = append(c.inFlight, started)
	return c.lastID
}

// count returns the number of calls with the purpose that are in flight.
func (c *calls) count(p purpose) int {
	count := 0
	for i := range c.inFlight {
		if c.inFlight[i].purpose == p {
			count++
		}
	}
	return count
}

// end removes a call whose response arrived. It returns false if the call is
// unknown.
func (c *calls) end(id OperationID) (call, bool) {
	for i := range c.inFlight {
		if c.inFlight[i].id == id {
			ended := c.inFlight[i]
			c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
			return ended, true
		}
	}
	return call{}, false
}

// removeExpired removes and returns the calls without a response for callTimeout.
func (c *calls) removeExpired(now time.Time) []call {
	var expired []call
	kept := c.inFlight[:0]
	for _, pending := range c.inFlight {
		if now.Sub(pending.sent) >= callTimeout {
			expired = append(expired, pending)
			continue
		}
		kept = append(kept, pending)
	}
	c.inFlight = kept
	return expired
}

// recordOutcome records whether a call failed.
func (c *calls) recordOutcome(ended call, failed bool, now time.Time) {
	if !failed {
		c.failures = 0
		c.lastSuccess = now
		return
	}
	if c.failures == 0 {
		c.failingSince = ended.sent
	}
	c.failures++
}

// unreachable reports whether at least two calls failed since the last success
// and the first of them was sent at least the given time ago.
func (c *calls) unreachable(now time.Time, atLeast time.Duration) bool {
	return c.failures >= 2 && now.Sub(c.failingSince) >= atLeast
}
