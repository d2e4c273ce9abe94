package entry

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pistachioford.example/pistachioford/telemetry"
)

// Limit returns a listener that closes connections beyond the limit as soon as
// it has accepted them. No request is read from them, so none can run.
func Limit(listener net.Listener, connections int) net.Listener {
	return &limitedListener{Listener: listener, limit: int64(connections)}
}

type limitedListener struct {
	net.Listener
	limit     int64
	openConns atomic.Int64
}

// SyscallConn implements syscall.Conn.
func (l *limitedListener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return socket.SyscallConn()
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.Add(1) <= l.limit {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.openConns.Add(-1)
		_ = conn.Close()
		telemetry.CountEvent("connection_limit")
	}
}

// limitedConn is used by the goroutine that serves it, except for Close and
// SetReadDeadline, which other goroutines may call as well.
type limitedConn struct {
	net.Conn
	listener  *limitedListener
	closeOnce sync.Once

	mu       sync.Mutex
	deadline time.Time
}

// deadlineTolerance is how much earlier than requested a read deadline may be.
// The server sets a deadline twice per request, and resetting the timer of the
// connection costs as much as routing the request.
const deadlineTolerance = time.Second

// SetReadDeadline implements net.Conn. It ignores a deadline that is less than
// deadlineTolerance later than the one in force.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.IsZero() && !c.deadline.IsZero() {
		if extension := t.Sub(c.deadline); extension >= 0 && extension < deadlineTolerance {
			return nil
		}
	}
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() { c.listener.openConns.Add(-1) })
	return c.Conn.Close()
}

// NetConn returns the wrapped connection, for access to its file descriptor.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }
