package gateway

import (
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"time"

	"pistachioford.example/core/steer"
)

// maxRetainedBuffer is the largest write buffer that a caller's connection keeps
// between requests.
const maxRetainedBuffer = 16 << 10

var (
	// errCallerWrite reports that a response could not be written to its caller.
	errCallerWrite = errors.New("the caller does not read the response")
	// errUndelimitedReply reports a caller for which the end of a body of unknown
	// length could not be marked.
	errUndelimitedReply = errors.New("the caller's protocol version has no chunked bodies")
)

// streamedReply returns a reply whose body is passed on while it arrives. The
// exchange ends when the body does, and cannot be retried.
func (g *Gateway) streamedReply(r *request, c *callerConn, send *steer.Send, out *outcome) *reply {
	r.ResponseStarted = true
	if out.Notice != nil {
		// The end of the response may be far off.
		g.withEngine(func(e *steer.Engine) { e.RecordNotice(time.Now(), send, *out.Notice) })
		out.Notice = nil
	}
	return &reply{response: out.response, streamed: func(err error) {
		c.detach()
		out.response.finish(err == nil)
		if err != nil {
			out.Result, out.err, out.Cause = g.streamResult(r, c, err), err, breakCause(err)
		}
		_, _ = g.finishExchange(r, send, out)
		if err == nil {
			g.logServed(r, send, out.response.header.StatusCode())
			return
		}
		g.logRefused(r, out.response.header.StatusCode(), reasonCutShort)
	}}
}

// reasonCutShort is logged for a response that ended after a part of it went to
// the caller.
const reasonCutShort = "cut_short"

func (g *Gateway) streamResult(r *request, c *callerConn, err error) steer.Result {
	if errors.Is(err, errCallerWrite) || errors.Is(err, errUndelimitedReply) || c.hasDisconnected() {
		return steer.Abandoned
	}
	return failureResult(err, true, r.Deadline)
}

func (c *callerConn) hasDisconnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disconnected
}

// writeReply writes a reply to the caller. After an error the connection must be
// closed; if a part of a body was written, it is reset, so that the body cannot
// look complete.
func (c *callerConn) writeReply(p *reply, r *request, closing bool) error {
	if p.response != nil {
		defer p.response.release()
	}
	err := c.writeWhole(p, r, closing)
	if p.streamed == nil {
		return err
	}
	if err == nil {
		err = c.writeRest(p.response, p.responseLength(r))
	}
	p.streamed(err)
	if err != nil {
		if tcpConn, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcpConn.SetLinger(0)
		}
		closeQuietly(c.Conn)
	}
	return err
}

// writeWhole writes the head of a reply and the part of the body that is held in
// memory.
func (c *callerConn) writeWhole(p *reply, r *request, closing bool) error {
	_ = c.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	head := p.appendTo(c.writeBuf[:0], r, closing)
	if cap(head) <= maxRetainedBuffer {
		c.writeBuf = head
	}
	var body []byte
	switch {
	case p.response == nil || r.isHead():
	case p.streamed != nil && p.responseLength(r) < 0:
		if !r.header.IsHTTP11() {
			return errUndelimitedReply
		}
	default:
		body = p.response.body
	}
	var err error
	if len(head)+len(body) <= maxRetainedBuffer {
		c.writeBuf = append(head, body...)
		_, err = c.Write(c.writeBuf)
	} else {
		buffers := net.Buffers{head, body}
		_, err = buffers.WriteTo(c.Conn)
	}
	if err != nil {
		return errCallerWrite
	}
	return nil
}

// writeRest passes on the rest of a response as it arrives. length is the length
// of the whole body, or -1 for a chunked one, of which no part was written yet.
func (c *callerConn) writeRest(resp *response, length int) error {
	var w io.Writer = callerWriter{c}
	if length >= 0 {
		resp.release()
		return copyPieces(w, resp.rest)
	}
	chunks := httputil.NewChunkedWriter(w)
	if _, err := chunks.Write(resp.body); err != nil {
		return err
	}
	resp.release()
	if err := copyPieces(chunks, resp.rest); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := w.Write([]byte("\r\n"))
	return err
}

// callerWriter writes to a caller, who must read within callerWriteTimeout.
type callerWriter struct{ conn *callerConn }

func (w callerWriter) Write(p []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	n, err := w.conn.Conn.Write(p)
	if err != nil {
		return n, errCallerWrite
	}
	return n, nil
}

// pieceBytes is the size of the pieces in which a response is passed on.
const pieceBytes = 16 << 10

// copyBuffers holds the buffers of copyPieces.
var copyBuffers = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// copyPieces copies r to w through one buffer, so that a slow reader slows the
// sender down. The errors of both are returned unchanged.
func copyPieces(w io.Writer, r io.Reader) error {
	buffer := copyBuffers.Get().(*[pieceBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, readErr := r.Read(buffer[:])
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case readErr == io.EOF:
			return nil
		case readErr != nil:
			return readErr
		}
	}
}
