package callers

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"pistachioford.example/pistachioford/linger"
)

// conn is a connection of a caller. One goroutine, the reader, reads from it for
// as long as it is open. Each request that runs has a goroutine of its own; the
// one whose reply is first in line writes it and those behind it that are ready.
// A reader that has read a request which may run at once runs it itself, and
// another goroutine becomes the reader. A caller that waits for each response is so
// served by the same worker each time, whose stack is in the processor's caches.
type conn struct {
	net net.Conn
	// br reads from source. Both are used by the reader only, except during an
	// upload that is streamed.
	br      *bufio.Reader
	source  *source
	set     *Set
	handler Handler
	// own is a call that the reader has to run, or whose reply it has to write.
	// awaited is set if awaitRequest has returned true in another goroutine,
	// wasBuffered if the first byte of the request was in the buffer before.
	own                  *Call
	awaited, wasBuffered bool
	openedAt             time.Time
	// wake receives a signal for a reader that waits in waitUntil.
	wake chan struct{}

	mu sync.Mutex
	// queue holds the unanswered calls in order of arrival. The first begun of
	// them were begun; if the queue is not empty, the first one always is.
	queue []*Call
	begun int
	// running is the number of calls whose Serve has not returned.
	running int
	// streaming is the number of begun calls whose reply is passed on while it
	// arrives.
	streaming int
	// writer is the call whose goroutine writes replies, or nil.
	writer *Call
	// dropped holds calls that were read and are not served.
	dropped []*Call
	// readBytes and waitingBytes are the bytes of the requests in the queue and
	// of the replies that wait for those before them. overBudget is set if the
	// process had no room for one of these, until the next reply is written.
	readBytes, waitingBytes int
	overBudget              bool
	// readEnded is set once no further request is read. aborted is set once
	// nothing further is written either. reason is the first reason for one of
	// them.
	readEnded, aborted bool
	reason             Reason
	// abortReason is why the connection was aborted.
	abortReason Reason
	// waiting is set while the reader waits for the first byte of a request,
	// pending from then on until the request is in the queue, sleeping while the
	// reader is in waitUntil.
	waiting, pending, sleeping bool
	// used is set with the first request.
	used bool
	// idleSince is when the last reply was written, or when the wait for the
	// first request began. Once the idle timeout has passed, it is when the caller
	// had received that reply, and delivery whether it still does. draining is set
	// once a drain has ended a wait.
	idleSince time.Time
	delivery  linger.Progress
	draining  bool
}

// source reads from a connection, after the bytes that were unread in a buffer of
// another size.
type source struct {
	net    net.Conn
	unread []byte
	// readAt is when the last bytes were read from the connection. The first byte
	// in the buffer after a request was read with them: no further bytes are read
	// before those in the buffer were used.
	readAt time.Time
	// arrivedAt is when the first byte of the request that is read was read.
	arrivedAt time.Time
	// ended is set once the caller has closed or reset the connection.
	ended bool
}

func (s *source) Read(p []byte) (int, error) {
	if len(s.unread) == 0 {
		s.unread = nil
		n, err := s.net.Read(p)
		if n > 0 {
			s.readAt = time.Now()
		}
		s.ended = s.ended || err != nil && !isTimeout(err)
		return n, err
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

func newConn(s *Set, netConn net.Conn) *conn {
	src := &source{net: netConn}
	return &conn{
		net: netConn, source: src, br: bufio.NewReaderSize(src, bufferSizeFor(s.handler.Limits(), initialReadBuffer)),
		set: s, handler: s.handler, openedAt: time.Now(), wake: make(chan struct{}, 1),
	}
}

func bufferSizeFor(limits Limits, size int) int {
	return min(limits.HeaderBytes+headerMargin, size)
}

// resizeBuffer replaces the read buffer by one of another size with the same
// unread bytes. The ones that it cannot hold are read again.
func (c *conn) resizeBuffer(size int) {
	buffered, _ := c.br.Peek(c.br.Buffered())
	c.source.unread = slices.Concat(buffered, c.source.unread)
	c.br = bufio.NewReaderSize(c.source, size)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// serve reads requests until the connection ends or another goroutine becomes the
// reader. At the end it returns once all requests have ended.
func (c *conn) serve(w *worker) {
	for w.isReader {
		w.call = c.readUntilOwn()
		if w.call == nil {
			c.end()
			return
		}
		if !w.call.inReader {
			w.isReader = false
			c.handOver()
		}
		c.run(w.call)
	}
}

// handOver makes another goroutine the reader.
func (c *conn) handOver() {
	if c.br.Buffered() > 0 {
		workers.run(task{conn: c})
		return
	}
	go c.watch()
}

// watch waits for the next request in a goroutine of its own and leaves its reading
// to a worker. It must not need more than the smallest stack: with Guard in between,
// growing the stack took 3% of the time of a small request. Of the handler, it calls
// Limits only.
func (c *conn) watch() {
	c.awaited = c.awaitRequest()
	workers.run(task{conn: c})
}

// readUntilOwn reads requests until the reader has one to run itself. It returns
// nil after the last reply was written, or the connection was aborted.
func (c *conn) readUntilOwn() *Call {
	for c.own == nil && (c.awaited || c.awaitRequest()) {
		c.awaited = false
		if !c.readRequest() {
			break
		}
	}
	if call := c.own; call != nil {
		c.own = nil
		return call
	}
	c.awaitReplies()
	return nil
}

// end closes and releases a connection on which nothing further is written.
func (c *conn) end() {
	c.waitUntil(func() bool { return c.running == 0 && c.writer == nil })
	c.releaseCalls()
	c.close()
	c.handler.Ended(c.reason)
	c.set.remove(c)
}

// close closes the connection once the caller has received what was written, has
// left, or does not read any more. After a reply that was cut short the connection
// is reset instead, so that the reply does not look complete.
func (c *conn) close() {
	c.mu.Lock()
	aborted, abortReason := c.aborted, c.abortReason
	c.mu.Unlock()
	discard := func() error {
		_, err := c.br.Discard(max(c.br.Buffered(), 1))
		return err
	}
	switch {
	case !aborted:
		c.handler.Closed(c.set.ending.Close(c.net, discard))
	case abortReason == ReasonCutShort || abortReason == ReasonPanic:
		c.handler.Closed(c.set.ending.Reset(c.net, discard))
	case abortReason == ReasonWriteFailed && !hasPeerClosed(c.net):
		unreceived := linger.Unreceived(c.net)
		linger.Abandon(c.net)
		c.handler.Closed(linger.Stalled, unreceived)
	default:
		_ = c.net.Close()
	}
}

// awaitReplies waits until all replies were written, and notices meanwhile when
// the caller disconnects. It leaves further requests unread.
func (c *conn) awaitReplies() {
	for c.clearDeadline() {
		if c.br.Buffered() > 0 {
			c.waitUntil(c.isFinished)
			return
		}
		if _, err := c.br.Peek(1); err != nil && !isTimeout(err) {
			c.abort(ReasonCallerClosed)
		}
	}
}

// clearDeadline removes the read deadline and returns true while replies are to
// be written.
func (c *conn) clearDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isFinished() {
		return false
	}
	_ = c.net.SetReadDeadline(time.Time{})
	return true
}

// isFinished reports whether nothing further is written. It is called with mu
// held.
func (c *conn) isFinished() bool {
	return c.aborted || c.readEnded && len(c.queue) == 0 && c.writer == nil
}

// limitRead sets the read deadline, unless nothing further is to be read.
func (c *conn) limitRead(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isFinished() {
		deadline = time.Unix(1, 0)
	}
	_ = c.net.SetReadDeadline(deadline)
}

// hasEnded reports whether no further request is read.
func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readEnded
}

// waitUntil blocks the reader until a condition holds, which is called with mu
// held, or the connection is aborted. It notices meanwhile when the caller
// disconnects, even behind bytes that are not read.
func (c *conn) waitUntil(condition func() bool) {
	if c.holds(condition) {
		return
	}
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	for !c.holds(condition) {
		select {
		case <-c.wake:
		case <-ticker.C:
			if hasPeerClosed(c.net) {
				c.abort(ReasonCallerClosed)
			}
		}
	}
}

// holds evaluates a condition, and requests a signal on the next change if it
// does not hold.
func (c *conn) holds(condition func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sleeping = !condition()
	return !c.sleeping
}

// signal wakes a reader that waits in waitUntil. It is called with mu held.
func (c *conn) signal() {
	if !c.sleeping {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// hasPeerClosed reports whether the peer of a TCP connection has closed or reset
// it, even if bytes before that are unread, or whether it was closed on this side.
func hasPeerClosed(netConn net.Conn) bool {
	tcpConn, ok := netConn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return true
	}
	// States of a TCP connection that the peer has reset, and that it has closed.
	const tcpClose, tcpCloseWait = 7, 8
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return closed || err != nil
}

// endReading records that no further request is read, and why.
func (c *conn) endReading(reason Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endReadingLocked(reason)
}

func (c *conn) endReadingLocked(reason Reason) {
	c.readEnded, c.pending, c.waiting = true, false, false
	if c.reason == "" {
		c.reason = reason
	}
}

// abort ends the connection without further replies and cancels all calls.
func (c *conn) abort(reason Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortLocked(reason)
}

func (c *conn) abortLocked(reason Reason) {
	if c.aborted {
		return
	}
	c.aborted, c.abortReason = true, reason
	c.endReadingLocked(reason)
	for _, call := range c.queue {
		call.cancelLocked()
		call.signalTurn()
	}
	c.interruptReader()
}

// interruptReader ends the reader's waits. It is called with mu held.
func (c *conn) interruptReader() {
	_ = c.net.SetReadDeadline(time.Unix(1, 0))
	c.signal()
}

// releaseCalls releases what was read but not served, and the replies that were
// not written. A panic in one of them leaves the others to be released.
func (c *conn) releaseCalls() {
	c.mu.Lock()
	calls := append(c.dropped, c.queue...)
	c.queue, c.dropped = nil, nil
	for _, call := range calls {
		call.discharge()
	}
	c.mu.Unlock()
	for _, call := range calls {
		c.handler.Guard(func() {
			switch {
			case call.ended:
			case call.reply != nil:
				call.reply.End(ErrDropped)
			case !call.served:
				call.request.Drop()
			}
		})
	}
}

// isIdle reports whether no request is outstanding or arriving. It is called with
// mu held.
func (c *conn) isIdle() bool { return len(c.queue) == 0 && !c.pending && c.running == 0 }

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isIdle()
}

// closeIfIdle makes the wait for the next request time out. It holds the lock so
// that it does not also fail the read of a request that has just begun.
func (c *conn) closeIfIdle(now time.Time, onlyReceived bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := !c.used && now.Sub(c.openedAt) < FirstRequestWait
	if !c.isIdle() || !c.waiting || isNew {
		return
	}
	if !onlyReceived || linger.Unreceived(c.net) == 0 {
		c.draining = true
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// followIdleTimeout applies a changed idle timeout to a wait that has begun.
func (c *conn) followIdleTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle() && c.waiting && !c.draining {
		_ = c.net.SetReadDeadline(c.idleSince.Add(timeout))
	}
}
