package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pistachioford.example/pistachioford/linger"
	"pistachioford.example/pistachioford/telemetry"
)

// Limit returns a listener that closes connections beyond the limit as soon as
// it has accepted them. No request is read from them, so none can run.
//
// A caller that reads nothing of its response is cut off after linger.StallTimeout.
// A connection that is closed stays open until its caller has received what was
// written. Until then it counts towards the limit.
func Limit(listener net.Listener, connections int) net.Listener {
	ending := linger.NewGroup(linger.Limits{Connections: max(connections/endingDivisor, 1)})
	return &limitedListener{Listener: listener, limit: int64(connections), ending: ending}
}

// endingDivisor is the part of the connections that may be closed and still wait
// for their callers to receive the last responses.
const endingDivisor = 8

type limitedListener struct {
	net.Listener
	limit     int64
	openConns atomic.Int64
	ending    *linger.Group
}

// awaitEnding waits until the callers of all closed connections have received what
// was written, or ctx is done.
func (l *limitedListener) awaitEnding(ctx context.Context) error {
	return l.ending.Wait(ctx)
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
		if l.openConns.Add(1) <= l.limit || l.ending.Reclaim() {
			linger.LimitStall(conn)
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
	closed    atomic.Bool

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

// Read implements net.Conn. What arrives after Close is dropped.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn. It does not wait for the caller.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() {
		c.closed.Store(true)
		c.listener.ending.CloseInBackground(c.Conn, func() { c.listener.openConns.Add(-1) })
	})
	return nil
}

// NetConn returns the wrapped connection, for access to its file descriptor.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }
