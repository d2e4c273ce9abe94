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
	written int64
}

func newCountedConn(conn net.Conn) *countedConn {
	return &countedConn{Conn: conn, raw: rawOf(conn)}
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
func (c *countedConn) pristine() bool {
	return pollConn(c.raw, unix.POLLIN|unix.POLLRDHUP) == 0
}

// CallerGone tells whether the other side has closed conn, without reading
// from it. Any goroutine may call it.
func CallerGone(conn net.Conn) bool {
	return pollConn(rawOf(conn), unix.POLLRDHUP) != 0
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

// pollConn returns the pending events of a connection without waiting; errors
// and hang-ups are always included.
func pollConn(raw syscall.RawConn, events int16) int16 {
	if raw == nil {
		return 0
	}
	var pending int16
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if _, err := unix.Poll(fds, 0); err == nil {
			pending = fds[0].Revents
		}
	})
	if err != nil {
		return unix.POLLHUP
	}
	return pending
}
