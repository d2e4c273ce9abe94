package callers

import (
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"time"
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
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
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
	var err error
	if len(head)+len(body) <= maxRetainedBuffer {
		head = append(head, body...)
		_, err = c.net.Write(head)
	} else {
		buffers := net.Buffers{head, body}
		_, err = buffers.WriteTo(c.net)
	}
	if err != nil {
		return ErrWrite
	}
	return nil
}

// writeRest passes on the rest of a body as it arrives. Of a chunked one, no part
// was written yet.
func (c *conn) writeRest(reply Reply, rest io.Reader, chunked bool) error {
	var w io.Writer = callerWriter{c.net}
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

// callerWriter writes to a caller, who must read within writeTimeout.
type callerWriter struct{ net net.Conn }

func (w callerWriter) Write(p []byte) (int, error) {
	_ = w.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := w.net.Write(p)
	if err != nil {
		return n, ErrWrite
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
