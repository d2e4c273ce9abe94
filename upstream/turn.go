package upstream

import (
	"bufio"
	"errors"
	"net"
	"syscall"

	"github.com/valyala/fasthttp"
)

// errStale marks a reused connection that was closed or held bytes before
// anything was sent on it; the exchange uses another connection.
var errStale = errors.New("the idle connection was closed or not silent")

// turn sends a request on a reused connection and waits for its answer. The
// read that finds the connection silent also arms the wait, which saves the
// poll before the request and the empty read after it.
type turn struct {
	raw      syscall.RawConn
	step     func(fd uintptr) bool
	writer   *bufio.Writer
	header   *fasthttp.RequestHeader
	body     Body
	sent     bool
	probe    [1]byte
	writeErr error
	stale    bool
}

// newTurn returns nil for a connection with a layer such as TLS, which may hold
// bytes that its descriptor does not show.
func newTurn(conn net.Conn, raw syscall.RawConn) *turn {
	if _, plain := conn.(*net.TCPConn); !plain || raw == nil {
		return nil
	}
	t := &turn{raw: raw}
	// Kept beside the connection, since a closure for each exchange would
	// allocate.
	t.step = t.advance
	return t
}

// take returns the error of the request and that of the wait. Only the
// goroutine of the exchange calls it.
func (t *turn) take(w *bufio.Writer, header *fasthttp.RequestHeader, body Body) (writeErr, waitErr error) {
	t.writer, t.header, t.body = w, header, body
	t.sent, t.stale, t.writeErr = false, false, nil
	waitErr = t.raw.Read(t.step)
	t.writer, t.header, t.body = nil, nil, Body{}
	if t.stale {
		waitErr = errStale
	}
	return t.writeErr, waitErr
}

// advance is called by the runtime until it returns true, with a wait for
// readability in between. Events since before the first call end that wait, so
// an answer that arrives while the request is being written is not missed.
func (t *turn) advance(fd uintptr) bool {
	if t.sent {
		return true
	}
	if t.stale = !silent(fd, t.probe[:]); t.stale {
		return true
	}
	t.sent = true
	t.writeErr = writeRequest(t.writer, t.header, t.body)
	return t.writeErr != nil
}

// silent tells whether a connection is open without a byte to read.
func silent(fd uintptr, probe []byte) bool {
	for {
		_, err := syscall.Read(int(fd), probe)
		if err != syscall.EINTR {
			return err == syscall.EAGAIN
		}
	}
}
