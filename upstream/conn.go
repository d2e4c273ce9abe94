package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens a connection within the timeout.
type Dialer func(address string, timeout time.Duration) (net.Conn, error)

// DialPlain opens a TCP connection without TLS.
func DialPlain(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// countedConn counts the bytes that left this instance, which tells a request
// that was certainly not delivered from one that may have run.
type countedConn struct {
	net.Conn
	raw     syscall.RawConn
	poll    poll
	written int64
	// end returns the connection to its pool, or closes it.
	end func(reuse bool)
}

func newCountedConn(conn net.Conn) *countedConn {
	c := &countedConn{Conn: conn, raw: rawOf(conn)}
	c.poll.prepare(unix.POLLIN | unix.POLLRDHUP)
	return c
}

// Write is called by the goroutine of the exchange only.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// abort makes pending reads and writes fail; the goroutine of the exchange
// closes the connection. Any goroutine may call it, and it never blocks.
func (c *countedConn) abort() {
	_ = c.SetDeadline(time.Unix(1, 0))
}

// pristine tells whether an idle connection is still open and silent. Bytes
// that arrive without a request belong to no exchange, so such a connection
// must not be used.
func (c *countedConn) pristine() bool { return !c.poll.pending(c.raw) }

// CallerGone tells whether the other side has closed conn, without reading
// from it. Any goroutine may call it.
func CallerGone(conn net.Conn) bool {
	var p poll
	p.prepare(unix.POLLRDHUP)
	return p.pending(rawOf(conn))
}

// rawOf returns the descriptor below layers such as TLS, or nil.
func rawOf(conn net.Conn) syscall.RawConn {
	for {
		layered, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = layered.NetConn()
	}
	holder, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// poll asks for the pending events of a descriptor without waiting. It is kept
// beside the connection, since a poll for each exchange would allocate.
type poll struct {
	fds    [1]unix.PollFd
	events int16
	failed bool
	ask    func(fd uintptr)
}

// prepare sets the events; errors and hang-ups are always included.
func (p *poll) prepare(events int16) {
	p.events = events
	p.ask = func(fd uintptr) {
		p.fds[0] = unix.PollFd{Fd: int32(fd), Events: p.events}
		_, err := unix.Poll(p.fds[:], 0)
		p.failed = err != nil
	}
}

// pending tells whether an event is pending, or the descriptor is closed. A
// connection without a descriptor has none.
func (p *poll) pending(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	if raw.Control(p.ask) != nil {
		return true
	}
	return !p.failed && p.fds[0].Revents != 0
}
