package callers

import (
	"bytes"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/pistachioford/linger"
)

// awaitRequest waits until there is room for a further request and its first byte
// has arrived. It returns false if none is read.
func (c *conn) awaitRequest() bool {
	c.waitUntil(func() bool {
		return c.readEnded || len(c.queue) < MaxOutstanding && (len(c.queue) == 0 || c.readBytes < readAheadBytes)
	})
	c.wasBuffered = c.br.Buffered() > 0
	return c.awaitFirstByte()
}

// readRequest reads a request that has begun to arrive and puts it into the queue.
// It returns false if no further one is read.
func (c *conn) readRequest() bool {
	limits := c.handler.Limits()
	// The bytes may have waited in the buffer, so the timeouts of the reading do
	// not count from their arrival.
	began := c.source.arrivedAt
	if c.wasBuffered {
		began = time.Now()
	}
	if !c.hasWholeHeader() {
		c.limitRead(began.Add(limits.HeaderTimeout))
	}
	header := &fasthttp.RequestHeader{}
	if err := c.readHeader(header, limits); err != nil {
		c.refuseHeader(err)
		return false
	}
	size := len(header.RawHeaders())
	call := &Call{conn: c, header: header, bytes: size, unbudgeted: size}
	var refused Reply
	if call.request, refused = c.handler.Admit(header, c.source.arrivedAt); refused != nil {
		return c.refuseBeforeBody(call, refused)
	}
	return c.readBody(call, began)
}

// awaitFirstByte waits for the first byte of the next request. It returns false
// if none is read.
func (c *conn) awaitFirstByte() bool {
	if !c.beginWait() {
		return false
	}
	for {
		_, err := c.br.Peek(1)
		switch {
		case err == nil:
			c.source.arrivedAt = c.source.readAt
			return c.beginRead()
		case !isTimeout(err):
			c.abort(ReasonCallerClosed)
			return false
		case !c.resumeWait():
			return false
		}
	}
}

// hasWholeHeader reports whether the header of a request is in the read buffer, so
// that its reading needs no time limit.
func (c *conn) hasWholeHeader() bool {
	buffered, _ := c.br.Peek(c.br.Buffered())
	return len(buffered) > 0 && buffered[0] > ' ' && bytes.Contains(buffered, []byte("\r\n\r\n"))
}

// beginWait begins the wait for the next request. The idle timeout applies to it
// once nothing is outstanding.
func (c *conn) beginWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readEnded {
		return false
	}
	c.waiting = true
	if len(c.queue) == 0 {
		c.beginIdle()
	}
	return true
}

// beginIdle applies the idle timeout from now on. It is called with mu held.
func (c *conn) beginIdle() {
	c.idleSince, c.delivery = time.Now(), linger.Progress{}
	if c.waiting {
		_ = c.net.SetReadDeadline(c.idleSince.Add(c.handler.Limits().IdleTimeout))
	}
}

// resumeWait returns false if the wait for the next request has ended with its
// read deadline. The deadline of an earlier read may pass while requests are
// outstanding.
func (c *conn) resumeWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.readEnded:
		return false
	case len(c.queue) > 0:
		// The deadline of an earlier read or wait has passed.
		return c.net.SetReadDeadline(time.Time{}) == nil
	}
	if c.draining {
		c.endReadingLocked(ReasonLeaving)
		return false
	}
	now, timeout := time.Now(), c.handler.Limits().IdleTimeout
	deadline := c.idleSince.Add(timeout)
	if !now.Before(deadline) {
		deadline = c.idleDeadline(now, timeout)
	}
	if !now.Before(deadline) {
		c.endReadingLocked(ReasonIdle)
		return false
	}
	return c.net.SetReadDeadline(deadline) == nil
}

// idleDeadline returns when the idle timeout ends for a caller that counts it from
// the receipt of the last response. It is called with mu held.
func (c *conn) idleDeadline(now time.Time, timeout time.Duration) time.Time {
	if unreceived := linger.Unreceived(c.net); unreceived > 0 {
		if c.delivery.Stalled(now, unreceived) {
			return now
		}
		c.idleSince = now
		return now.Add(min(max(timeout, peerPollInterval), linger.StallTimeout))
	}
	received := linger.LastSent(c.net, now)
	if latest := c.idleSince.Add(timeout); received.After(latest) {
		received = latest
	}
	if received.Before(c.idleSince) {
		received = c.idleSince
	}
	return received.Add(timeout)
}

// beginRead records that a request has begun to arrive.
func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.readEnded {
		return false
	}
	c.pending, c.used = true, true
	return true
}

// readHeader reads the header of a request. The read buffer, which must hold it,
// grows up to the limit in force; a request that does not fit is an
// ErrSmallBuffer.
func (c *conn) readHeader(header *fasthttp.RequestHeader, limits Limits) error {
	limit := limits.HeaderBytes + headerMargin
	if retained := bufferSizeFor(limits, maxRetainedReadBuffer); c.br.Size() > retained {
		c.resizeBuffer(retained)
	}
	for {
		err := header.Read(c.br)
		var small *fasthttp.ErrSmallBuffer
		if !errors.As(err, &small) || c.br.Size() >= limit {
			return err
		}
		c.resizeBuffer(min(4*c.br.Size(), limit))
	}
}

// refuseHeader responds to a request whose header could not be read, as the last
// one. There is no response if nothing of the header has arrived. A caller that
// has disconnected gets one only if nothing else is outstanding.
func (c *conn) refuseHeader(err error) {
	if c.hasEnded() {
		return
	}
	// The errors of the parser quote the header, which may hold a key.
	status, text := fasthttp.StatusBadRequest, errMalformedHeader
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status, text = fasthttp.StatusRequestHeaderFieldsTooLarge, errHeaderTooLarge
	case isTimeout(err):
		status, text = fasthttp.StatusRequestTimeout, errHeaderTimeout
	case c.source.ended && (c.hasOutstanding() || c.br.Buffered() == 0):
		c.abort(ReasonCallerClosed)
		return
	case c.br.Buffered() == 0:
		c.endReading(ReasonHeaderRefused)
		return
	}
	c.enqueue(&Call{conn: c, reply: c.handler.RefuseHeader(status, text)}, ReasonHeaderRefused)
}

func (c *conn) hasOutstanding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

// refuseBeforeBody responds to a request that was refused by its header. The
// connection stays open if the body is small and arrives without a further
// response.
func (c *conn) refuseBeforeBody(call *Call, refused Reply) bool {
	length := call.header.ContentLength()
	call.reply = refused
	switch {
	case call.header.ConnectionClose():
		return c.enqueue(call, ReasonCloseRequested)
	case len(call.header.Peek("Expect")) > 0 || length == -1 || length > maxDiscardedBody:
		return c.enqueue(call, ReasonBodyUnread)
	}
	if length > 0 {
		c.limitRead(time.Now().Add(c.handler.Limits().HeaderTimeout))
		if _, err := c.br.Discard(length); err != nil {
			refused.End(ErrDropped)
			c.failBody()
			return false
		}
	}
	return c.enqueue(call, "")
}

// failBody ends the reading after a body that cannot be completed.
func (c *conn) failBody() {
	if c.source.ended {
		c.abort(ReasonCallerClosed)
		return
	}
	c.endReading(ReasonBodyUnread)
}

// readBody reads the body of a request and puts the request into the queue.
func (c *conn) readBody(call *Call, began time.Time) bool {
	expectsContinue := len(call.header.Peek("Expect")) > 0
	if c.readsInTurn(call.header.ContentLength(), expectsContinue) {
		if !c.awaitTurn(call) {
			return false
		}
		if call.isExpired() {
			return c.refuseBeforeBody(call, call.request.RefuseExpired())
		}
		began = time.Now()
	}
	if expectsContinue {
		if err := c.send([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			call.request.Drop()
			c.abort(ReasonWriteFailed)
			return false
		}
	}
	if length := call.header.ContentLength(); length > 0 || length == -1 {
		// The header timeout does not apply to the body: a large one may take as
		// long as the caller is willing to wait.
		c.limitRead(began.Add(call.request.BodyTimeout()))
	}
	if err := call.request.ReadBody(c.br); err != nil {
		return c.refuseBody(call, err)
	}
	held, unbudgeted := call.request.HeldBytes()
	call.bytes += held
	call.unbudgeted += unbudgeted
	call.concurrent = call.request.Concurrent()
	switch {
	case call.request.Streams():
		return c.serveUpload(call)
	case call.header.ConnectionClose():
		return c.enqueue(call, ReasonCloseRequested)
	}
	return c.enqueue(call, "")
}

// readsInTurn reports whether a body must not be read before all requests before
// it are answered: one that the caller sends after a further response, and one
// that is not known to fit into what is read ahead.
func (c *conn) readsInTurn(length int, expectsContinue bool) bool {
	if length <= 0 && length != -1 && !expectsContinue {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	fits := length >= 0 && c.readBytes+length <= readAheadBytes
	return len(c.queue) > 0 && (expectsContinue || !fits)
}

// awaitTurn waits until all requests before a call are answered. It returns false
// if the call is not to be served.
func (c *conn) awaitTurn(call *Call) bool {
	c.waitUntil(func() bool { return c.readEnded || len(c.queue) == 0 && c.writer == nil })
	if c.hasEnded() {
		call.request.Drop()
		return false
	}
	return true
}

// serveUpload serves a request that reads the rest of its body from the
// connection. It runs alone, in the goroutine of the reader, and is the last one.
func (c *conn) serveUpload(call *Call) bool {
	if !c.awaitTurn(call) {
		return false
	}
	call.inReader = true
	return c.enqueue(call, ReasonStreamedUpload)
}

// refuseBody responds to a request whose body could not be read, as the last one.
func (c *conn) refuseBody(call *Call, err error) bool {
	call.request.Drop()
	if c.hasEnded() {
		return false
	}
	reply := c.handler.RefuseBody(call.request, err)
	if reply == nil {
		c.failBody()
		return false
	}
	call.reply = reply
	return c.enqueue(call, ReasonBodyRefused)
}
