package callers

import (
	"errors"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// Canceler is an exchange that a call waits for. Cancel must not block.
type Canceler interface{ Cancel() }

// Call is a request of a connection from its arrival until its reply is written.
type Call struct {
	conn    *conn
	header  *fasthttp.RequestHeader
	request Request
	// bytes is the size of the header and of the body in memory, unbudgeted the
	// part of it that no one else counts towards the memory budget.
	bytes, unbudgeted int
	// concurrent is set if the request may run beside others, inReader if no other
	// goroutine becomes the reader while it runs.
	concurrent, inReader bool
	// waited is set if the request was not begun when it was read.
	waited bool
	// ended is set by the goroutine that writes before it ends the reply.
	ended bool
	// streams is set if the reply is passed on while it arrives. It is guarded by
	// conn.mu.
	streams bool

	// The following fields are guarded by conn.mu.

	reply Reply
	// running is set while Serve runs, served once it was begun.
	running, served bool
	exchange        Canceler
	// turn receives a signal for a goroutine in AwaitTurn; it is nil otherwise.
	turn chan struct{}
	// charged are the bytes that were counted towards the memory budget,
	// waitingBytes those of the reply while it waits.
	charged, waitingBytes int
}

// Attach sets the exchange that is canceled when the connection ends. It returns
// false if the connection has ended already.
func (call *Call) Attach(x Canceler) bool {
	call.conn.mu.Lock()
	defer call.conn.mu.Unlock()
	if call.conn.aborted {
		return false
	}
	call.exchange = x
	return true
}

// Detach removes the exchange.
func (call *Call) Detach() {
	call.conn.mu.Lock()
	defer call.conn.mu.Unlock()
	call.exchange = nil
}

// Cancel cancels and removes the exchange, if any.
func (call *Call) Cancel() {
	call.conn.mu.Lock()
	defer call.conn.mu.Unlock()
	call.cancelLocked()
}

func (call *Call) cancelLocked() {
	if call.exchange != nil {
		call.exchange.Cancel()
		call.exchange = nil
	}
}

// Aborted reports whether the connection ended before the reply was written: the
// caller has disconnected, or a reply before it broke off.
func (call *Call) Aborted() bool {
	call.conn.mu.Lock()
	defer call.conn.mu.Unlock()
	return call.conn.aborted
}

// ClaimStream reports whether the reply may be passed on while it arrives. If it
// breaks off, the connection has to end, and with it the replies to all requests
// that were begun. A reply that others depend on may therefore be streamed only if
// it is too large to be held, with force. No further request is begun until a
// streamed reply was written.
func (call *Call) ClaimStream(force bool) bool {
	c := call.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun > 1 && !force {
		return false
	}
	if !call.streams {
		call.streams = true
		c.streaming++
	}
	return true
}

// AwaitTurn waits until all replies before this one were written. It returns false
// if the timeout passes before, or the connection ends.
func (call *Call) AwaitTurn(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		turn, isFirst := call.turnSignal()
		if turn == nil {
			return isFirst
		}
		select {
		case <-turn:
		case <-timer.C:
			return false
		}
	}
}

// turnSignal returns whether the call is the first one, and otherwise a channel
// that receives a signal when that may have changed. There is none once the
// connection has ended.
func (call *Call) turnSignal() (turn chan struct{}, isFirst bool) {
	c := call.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.aborted:
		return nil, false
	case c.queue[0] == call:
		return nil, true
	case call.turn == nil:
		call.turn = make(chan struct{}, 1)
	}
	return call.turn, false
}

// signalTurn wakes AwaitTurn. It is called with conn.mu held.
func (call *Call) signalTurn() {
	select {
	case call.turn <- struct{}{}:
	default:
	}
}

func (call *Call) isExpired() bool {
	expires := call.request.Expires()
	return !expires.IsZero() && !time.Now().Before(expires)
}

// isHTTP11 reports whether the caller understands chunked bodies.
func (call *Call) isHTTP11() bool { return call.header != nil && call.header.IsHTTP11() }

// enqueue puts a call into the queue and begins what may run. With a reason, it
// is the last call of the connection. It returns false if no further request is
// read.
func (c *conn) enqueue(call *Call, lastFor Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	leaving := c.handler.Leaving()
	if leaving && len(c.queue) > 0 {
		// The caller sends it again, whatever it is.
		c.endReadingLocked(ReasonLeaving)
	}
	if c.readEnded {
		c.dropped = append(c.dropped, call)
		return false
	}
	switch {
	case lastFor != "":
		c.endReadingLocked(lastFor)
	case leaving:
		c.endReadingLocked(ReasonLeaving)
	}
	c.pending = false
	if call.reply != nil {
		call.concurrent, call.inReader = true, true
	}
	first := len(c.queue) == 0
	if !first {
		c.charge(call, call.unbudgeted)
	}
	c.queue = append(c.queue, call)
	c.readBytes += call.bytes
	if first && call.reply != nil {
		c.writer, c.own = call, call
	}
	c.beginReady(call)
	if c.begun < len(c.queue) {
		call.waited = true
	}
	return !c.readEnded
}

// charge counts bytes of a call that waits towards the memory budget. It is
// called with mu held.
func (c *conn) charge(call *Call, n int) {
	if n == 0 {
		return
	}
	call.charged += n
	if !c.handler.Charge(n) {
		c.overBudget = true
	}
}

// discharge returns what was charged for a call. It is called with mu held.
func (call *Call) discharge() {
	if call.charged > 0 {
		call.conn.handler.Discharge(call.charged)
	}
	if call.waitingBytes > 0 {
		call.conn.waitingBytes -= call.waitingBytes
		call.conn.set.waiting.Add(int64(-call.waitingBytes))
	}
	call.charged, call.waitingBytes = 0, 0
}

// beginReady begins the calls that may run, in order of arrival. justRead is the
// call that the reader has just put into the queue, which runs it itself, or nil.
// It is called with mu held.
func (c *conn) beginReady(justRead *Call) {
	for c.begun < len(c.queue) && c.mayBegin(c.queue[c.begun]) {
		call := c.queue[c.begun]
		c.begun++
		if call.reply != nil {
			continue
		}
		call.running, call.served = true, true
		c.running++
		c.handler.Begun(len(c.queue))
		if call == justRead {
			c.own = call
			continue
		}
		workers.run(task{c, call})
	}
}

// mayBegin reports whether the first call that was not begun may run. The first
// one in the queue always may. It is called with mu held.
func (c *conn) mayBegin(call *Call) bool {
	if c.aborted {
		return false
	}
	if c.begun == 0 {
		return true
	}
	if c.streaming > 0 {
		return false
	}
	// One that may not run beside others was begun only if it is the first.
	return call.concurrent && c.queue[c.begun-1].concurrent && c.running < max(c.handler.Concurrency(), 1) &&
		c.waitingBytes < maxWaitingReplies && !c.overBudget && !c.handler.Leaving()
}

// abortAfterPanic aborts the connection after the goroutine that runs a call, or
// the reader if call is nil, has panicked.
func (c *conn) abortAfterPanic(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call != nil && call.running {
		call.running = false
		c.running--
	}
	if call != nil && c.writer == call {
		c.writer = nil
	}
	c.abortLocked(ReasonPanic)
	c.signal()
}

// run serves a call unless it has a reply already, and writes the replies whose
// turn has come.
func (c *conn) run(call *Call) {
	if call.running {
		var reply Reply
		if call.waited && call.isExpired() {
			reply = call.request.RefuseExpired()
		} else {
			reply = call.request.Serve(call)
		}
		if !c.complete(call, reply) {
			return
		}
	}
	for {
		next, closing := c.beginWrite()
		if next == nil || !c.recordWritten(next, c.write(next, closing)) {
			return
		}
	}
}

// complete records the reply of a call, or that there is none. It returns true if
// it is the call's turn to write.
func (c *conn) complete(call *Call, reply Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	call.running, call.reply = false, reply
	c.running--
	if reply == nil {
		c.abortLocked(ReasonCallerClosed)
	}
	if c.aborted {
		c.signal()
		return false
	}
	if c.queue[0] == call {
		c.writer = call
	} else {
		held, unbudgeted := reply.WaitingBytes()
		call.waitingBytes = held
		c.waitingBytes += held
		c.set.waiting.Add(int64(held))
		c.charge(call, unbudgeted)
	}
	c.beginReady(nil)
	return c.writer == call
}

// beginWrite returns the first call, whose reply is ready, and whether it is the
// last one. It returns nil if the connection was aborted.
func (c *conn) beginWrite() (call *Call, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		c.endWriting()
		return nil, false
	}
	if c.handler.Leaving() {
		c.dropUnbegun()
	}
	return c.queue[0], c.readEnded && len(c.queue) == 1
}

// dropUnbegun ends the reading and drops the calls that were read but not begun.
// It is called with mu held.
func (c *conn) dropUnbegun() {
	c.endReadingLocked(ReasonLeaving)
	c.dropped = append(c.dropped, c.queue[c.begun:]...)
	clear(c.queue[c.begun:])
	c.queue = c.queue[:c.begun]
}

// recordWritten removes the first call from the queue after its reply was
// written, and begins what may run now. It returns true if the reply of the next
// one is ready.
func (c *conn) recordWritten(call *Call, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	call.reply = nil
	c.queue = slices.Delete(c.queue, 0, 1)
	c.begun--
	c.readBytes -= call.bytes
	if call.streams {
		c.streaming--
	}
	call.discharge()
	c.overBudget = false
	if err != nil {
		c.endWriting()
		c.abortLocked(reasonOfWriteError(err))
		return false
	}
	c.beginReady(nil)
	c.signal()
	if len(c.queue) > 0 {
		if c.queue[0].reply != nil {
			return true
		}
		c.queue[0].signalTurn()
	}
	c.endWriting()
	return false
}

func reasonOfWriteError(err error) Reason {
	if errors.Is(err, ErrWrite) {
		return ReasonWriteFailed
	}
	return ReasonCutShort
}

// endWriting records that no goroutine writes replies. If nothing is outstanding,
// the reader begins to idle or is interrupted. It is called with mu held.
func (c *conn) endWriting() {
	c.writer = nil
	switch {
	case c.isFinished():
		c.interruptReader()
	case len(c.queue) == 0:
		c.beginIdle()
	}
}
