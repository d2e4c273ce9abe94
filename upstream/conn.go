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

// countingConn counts the bytes written, which distinguishes a request that was
// certainly not delivered from one that may have run.
type countingConn struct {
	net.Conn
	rawConn syscall.RawConn
	poll    eventPoll
	written int64
	// release returns the connection to its pool, or closes it.
	release func(reuse bool)
}

func newCountingConn(conn net.Conn) *countingConn {
	c := &countingConn{Conn: conn, rawConn: rawConnOf(conn)}
	c.poll.prepare(unix.POLLIN | unix.POLLRDHUP)
	return c
}

// Write must only be called by the goroutine of the exchange.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// abort makes pending reads and writes fail; the goroutine of the exchange then
// closes the connection. Any goroutine may call abort, and it never blocks.
func (c *countingConn) abort() {
	_ = c.SetDeadline(time.Unix(1, 0))
}

// usable reports whether an idle connection is still open and nothing is pending
// on it. Bytes that arrive without a request belong to no exchange, so such a
// connection must not be used.
func (c *countingConn) usable() bool { return !c.poll.pending(c.rawConn) }

// ClosedByRemote reports whether the remote side has closed conn, if only for
// sending. It does not read from conn, and any goroutine may call it.
func ClosedByRemote(conn net.Conn) bool {
	var p eventPoll
	p.prepare(unix.POLLRDHUP)
	return p.pending(rawConnOf(conn))
}

// rawConnOf returns the raw connection below layers such as TLS, or nil if there
// is none.
func rawConnOf(conn net.Conn) syscall.RawConn {
	for {
		layered, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = layered.NetConn()
	}
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// eventPoll polls a descriptor for pending events without waiting. It is kept
// with the connection, since a new one for each exchange would be an allocation.
type eventPoll struct {
	fds    [1]unix.PollFd
	events int16
	failed bool
	query  func(fd uintptr)
}

// prepare sets the events to poll for; errors and hang-ups are always included.
func (p *eventPoll) prepare(events int16) {
	p.events = events
	p.query = func(fd uintptr) {
		p.fds[0] = unix.PollFd{Fd: int32(fd), Events: p.events}
		_, err := unix.Poll(p.fds[:], 0)
		p.failed = err != nil
	}
}

// pending reports whether an event is pending or the descriptor is closed. It
// returns false if raw is nil.
func (p *eventPoll) pending(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	if raw.Control(p.query) != nil {
		return true
	}
	return !p.failed && p.fds[0].Revents != 0
}
