package callers

import (
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"time"

	"pistachioford.example/pistachioford/linger"
)

// write writes a reply and ends it. After an error nothing further may be written.
func (c *conn) write(call *Call, closing bool) error {
	reply := call.reply
	rest, chunked := reply.Rest()
	err := c.writeHeld(call, closing, rest != nil && chunked)
	if err == nil && rest != nil {
		err = c.writeRest(reply, rest, chunked)
	}
	call.ended = true
	reply.End(err)
	if err != nil && rest != nil {
		c.abort(reasonOfWriteError(err))
	}
	return err
}

// writeBuffers holds the buffers of writeHeld, so that neither idle connections nor
// streams keep one.
var writeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// writeHeld writes the head of a reply and, unless it is chunked, the part of the
// body that is held in memory.
func (c *conn) writeHeld(call *Call, closing, chunked bool) error {
	buffer := writeBuffers.Get().(*[]byte)
	head := call.reply.AppendHead((*buffer)[:0], closing)
	defer func() {
		if cap(head) <= maxRetainedBuffer {
			*buffer = head
			writeBuffers.Put(buffer)
		}
	}()
	body := call.reply.Body()
	if chunked {
		if !call.isHTTP11() {
			return ErrUndelimited
		}
		body = nil
	}
	if len(head)+len(body) <= maxRetainedBuffer {
		head = append(head, body...)
		return c.send(head)
	}
	began := time.Now()
	_ = c.net.SetWriteDeadline(began.Add(writeCheckInterval))
	buffers := net.Buffers{head, body}
	if _, err := buffers.WriteTo(c.net); err != nil {
		return c.sendSlowly(buffers, began, err)
	}
	return nil
}

// send writes to the caller, for as long as the caller takes what was written.
func (c *conn) send(p []byte) error {
	began := time.Now()
	_ = c.net.SetWriteDeadline(began.Add(writeCheckInterval))
	if n, err := c.net.Write(p); err != nil {
		return c.sendSlowly(net.Buffers{p[n:]}, began, err)
	}
	return nil
}

// sendSlowly goes on with a write that began earlier and has ended with an error. A
// caller is cut off if it takes too little of what the system holds for it; what it
// takes does not always make room for a further write.
func (c *conn) sendSlowly(buffers net.Buffers, began time.Time, err error) error {
	var progress linger.Progress
	progress.StartAt(began)
	for isTimeout(err) && !c.isAborted() {
		left := linger.Unreceived(c.net)
		for _, buffer := range buffers {
			left += len(buffer)
		}
		now := time.Now()
		if progress.Stalled(now, left) {
			break
		}
		_ = c.net.SetWriteDeadline(now.Add(writeCheckInterval))
		if _, err = buffers.WriteTo(c.net); err == nil {
			return nil
		}
	}
	return ErrWrite
}

func (c *conn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// writeRest passes on the rest of a body as it arrives. Of a chunked one, no part
// was written yet.
func (c *conn) writeRest(reply Reply, rest io.Reader, chunked bool) error {
	var w io.Writer = callerWriter{c}
	if !chunked {
		reply.ReleaseBody()
		return copyPieces(w, rest)
	}
	chunks := httputil.NewChunkedWriter(w)
	if _, err := chunks.Write(reply.Body()); err != nil {
		return err
	}
	reply.ReleaseBody()
	if err := copyPieces(chunks, rest); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := w.Write([]byte("\r\n"))
	return err
}

// callerWriter writes to a caller.
type callerWriter struct{ conn *conn }

func (w callerWriter) Write(p []byte) (int, error) {
	if err := w.conn.send(p); err != nil {
		return 0, err
	}
	return len(p), nil
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
