package gateway

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/steer"
)

const (
	// firstHeaderBytes bounds the header of a request before a document sets
	// it. headerMargin is room for the empty line and for a body's first bytes.
	firstHeaderBytes = 16 << 10
	headerMargin     = 1 << 10
	// firstIdle and firstHeader are the times for a connection before a
	// document sets them.
	firstIdle   = 15 * time.Second
	firstHeader = 3 * time.Second
	// writeTime bounds the writing of an answer to a caller that does not read.
	writeTime = 5 * time.Second
)

// callerConn is a connection of a caller. One goroutine serves it.
type callerConn struct {
	net.Conn
	br      *bufio.Reader
	gateway *Gateway
	out     []byte
	// next carries the result of the wait for the next request, which also
	// finds a caller that leaves while its request is in flight.
	next chan error

	mu sync.Mutex
	// current is the exchange that ends when the caller leaves.
	current *exchange
	gone    bool
	// serving is set while a request is read and answered, pending once the
	// first byte of the next one has arrived.
	serving, pending bool
}

// callers holds the open connections, so that a drain can end idle ones.
type callers struct {
	mu    sync.Mutex
	open  map[*callerConn]struct{}
	ended bool
}

func (c *callers) add(conn *callerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.open[conn] = struct{}{}
	return true
}

func (c *callers) remove(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// count returns the open connections and those with a request in flight.
func (c *callers) count() (open, busy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if conn.isBusy() {
			busy++
		}
	}
	return len(c.open), busy
}

// endIdle makes idle connections close, and refuses new ones.
func (c *callers) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for conn := range c.open {
		conn.endIfIdle()
	}
}

// endIfIdle makes the wait for the next request fail. The lock keeps it from
// failing the read of a request that has just begun.
func (c *callerConn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.serving && !c.pending {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *callerConn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving || c.pending
}

func (c *callerConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.pending = true, false
}

func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
}

// attach makes an exchange end when the caller leaves.
func (c *callerConn) attach(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return false
	}
	c.current = x
	return true
}

func (c *callerConn) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
}

// watch waits for the next request in the background. Until it has reported,
// no other goroutine may read from the connection.
func (c *callerConn) watch() {
	go func() {
		_, err := c.br.Peek(1)
		switch {
		case err == nil:
			c.setPending()
		case !isTimeout(err):
			c.leave()
		}
		c.next <- err
	}()
}

// setPending notes that the next request has begun to arrive.
func (c *callerConn) setPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = true
}

func (c *callerConn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = true
	if c.current != nil {
		c.current.cancel()
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// serveCaller answers the requests of one connection.
func (g *Gateway) serveCaller(conn net.Conn) {
	defer closeQuietly(conn)
	buffer := g.limits().HeaderBytes + headerMargin
	c := &callerConn{Conn: conn, br: bufio.NewReaderSize(conn, buffer), gateway: g, next: make(chan error, 1)}
	if !g.callers.add(c) {
		return
	}
	defer g.callers.remove(c)
	watching := false
	for {
		limits := g.limits()
		if !watching {
			c.watch()
		}
		if err := c.SetReadDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
			return
		}
		if g.callersEnded() {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
		if err := <-c.next; err != nil {
			return
		}
		var keep bool
		c.begin()
		keep, watching = c.serveRequest(limits)
		c.end()
		if !keep {
			c.linger(watching)
			return
		}
	}
}

// lingerTime is how long the rest of a request is read after the last answer:
// closing with unread bytes would reset the connection before the caller has
// read the answer.
const lingerTime = 300 * time.Millisecond

func (c *callerConn) linger(watching bool) {
	if half, ok := c.Conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	if watching {
		if err := <-c.next; err != nil {
			return
		}
	}
	for {
		if _, err := c.br.Discard(max(c.br.Buffered(), 1)); err != nil {
			return
		}
	}
}

// serveRequest reads and answers one request. watching tells that the wait
// for the next one has begun.
func (c *callerConn) serveRequest(limits steer.Limits) (keep, watching bool) {
	arrived := time.Now()
	if err := c.SetReadDeadline(arrived.Add(limits.HeaderTimeout)); err != nil {
		return false, false
	}
	header := &fasthttp.RequestHeader{}
	if err := header.Read(c.br); err != nil {
		return c.badRequest(err)
	}
	if len(header.Peek("Expect")) > 0 {
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false, false
		}
	}
	// The body may take as long as the caller waits.
	if err := c.SetReadDeadline(arrived.Add(bodyTime)); err != nil {
		return false, false
	}
	b, err := readBody(c.br, header, limits.BodyBytes)
	if err != nil {
		return c.badBody(header, err)
	}
	closing := header.ConnectionClose() || c.gateway.leaving.Load()
	if b.rest == nil {
		_ = c.SetReadDeadline(time.Time{})
		c.watch()
		watching = true
	}
	r := c.gateway.newRequest(header, b, arrived)
	reply := c.gateway.run(r, c)
	if reply.gone {
		return false, watching
	}
	closing = closing || c.gateway.leaving.Load() || b.rest != nil
	c.out = reply.appendTo(c.out[:0], r, closing)
	_ = c.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := c.Write(c.out); err != nil {
		return false, watching
	}
	return !closing, watching
}

// bodyTime bounds the arrival of a body that is held.
const bodyTime = 30 * time.Second

func (c *callerConn) badRequest(err error) (keep, watching bool) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		status = fasthttp.StatusRequestTimeout
	case c.br.Buffered() == 0:
		return false, false
	}
	return c.refuseUnread(nil, status, err)
}

func (c *callerConn) badBody(header *fasthttp.RequestHeader, err error) (keep, watching bool) {
	switch {
	case errors.Is(err, errTooLarge):
		return c.refuseUnread(header, fasthttp.StatusRequestEntityTooLarge, err)
	case errors.Is(err, errTwoFrames):
		return c.refuseUnread(header, fasthttp.StatusBadRequest, err)
	}
	return false, false
}

// refuseUnread answers a request that was not read in full and closes.
func (c *callerConn) refuseUnread(header *fasthttp.RequestHeader, status int, err error) (keep, watching bool) {
	r := &request{}
	if header != nil {
		r.id = append([]byte(nil), header.Peek(headerRequestID)...)
	}
	reply := ownReply(status, err.Error(), 0)
	c.gateway.logRefused(r, status, err.Error())
	c.out = reply.appendTo(c.out[:0], r, true)
	_ = c.SetWriteDeadline(time.Now().Add(writeTime))
	_, _ = c.Write(c.out)
	return false, false
}
