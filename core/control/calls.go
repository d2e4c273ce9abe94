package control

import (
	"time"
)

// Budgets of an instance at the platform, per second; 480 instances stay within
// what the platform gives the whole fleet.
const (
	readsPerSecond  = 2.0
	writesPerSecond = 0.5
	callBurst       = 20.0
	// callTimeout ends calls whose answer never came; the client of the daemon
	// gives up earlier, after its retries.
	callTimeout = 10 * time.Second
	// maxCalls bounds the calls in flight.
	maxCalls = 64
)

// purpose tells which system a call belongs to.
type purpose uint8

const (
	forPoll purpose = iota
	forSections
	forRows
	forWrite
	forList
	forBlocks
)

// call is a platform call in flight.
type call struct {
	id      OperationID
	purpose purpose
	sent    time.Time
	// shard is set for forWrite.
	shard uint16
}

// calls is the table of platform calls in flight, with the budgets.
type calls struct {
	next     OperationID
	inFlight []call
	reads    float64
	writes   float64
	last     time.Time
	// failures counts the calls that failed since the last success; failing is
	// the time at which the first of them was sent.
	failures int
	failing  time.Time
	answered time.Time
}

func newCalls(now time.Time) calls {
	return calls{reads: callBurst, writes: callBurst, last: now}
}

// refill adds to the budgets.
func (c *calls) refill(now time.Time) {
	elapsed := now.Sub(c.last).Seconds()
	c.last = now
	c.reads = min(callBurst, c.reads+elapsed*readsPerSecond)
	c.writes = min(callBurst, c.writes+elapsed*writesPerSecond)
}

// read starts a call against the read budget.
func (c *calls) read(p purpose, now time.Time) (OperationID, bool) {
	if c.reads < 1 || len(c.inFlight) >= maxCalls {
		return 0, false
	}
	c.reads--
	return c.start(call{purpose: p, sent: now}), true
}

// write starts a call against the write budget.
func (c *calls) write(shard uint16, now time.Time) (OperationID, bool) {
	if c.writes < 1 || len(c.inFlight) >= maxCalls {
		return 0, false
	}
	c.writes--
	return c.start(call{purpose: forWrite, shard: shard, sent: now}), true
}

func (c *calls) start(started call) OperationID {
	c.next++
	started.id = c.next
	c.inFlight = append(c.inFlight, started)
	return c.next
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

// end removes a call; an answer to an unknown call is ignored.
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

// expired removes and returns the calls without an answer.
func (c *calls) expired(now time.Time) []call {
	var expired []call
	kept := c.inFlight[:0]
	for _, open := range c.inFlight {
		if now.Sub(open.sent) >= callTimeout {
			expired = append(expired, open)
			continue
		}
		kept = append(kept, open)
	}
	c.inFlight = kept
	return expired
}

// outcome records whether the platform answered.
func (c *calls) outcome(ended call, failed bool, now time.Time) {
	if !failed {
		c.failures = 0
		c.answered = now
		return
	}
	if c.failures == 0 {
		c.failing = ended.sent
	}
	c.failures++
}

// unreachable tells whether calls have failed for the given time.
func (c *calls) unreachable(now time.Time, since time.Duration) bool {
	return c.failures >= 2 && now.Sub(c.failing) >= since
}
