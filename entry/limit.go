package entry

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pistachioford.example/pistachioford/telemetry"
)

// Limit returns a listener that closes connections beyond the limit at once;
// a request on them certainly does not run.
func Limit(listener net.Listener, connections int) net.Listener {
	return &limitedListener{Listener: listener, limit: int64(connections)}
}

type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
		telemetry.CountEvent("connection_limit")
	}
}

// limitedConn belongs to the goroutine of its connection, but for Close and
// SetReadDeadline, which others may call too.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once

	mu       sync.Mutex
	deadline time.Time
}

// deadlineStep is how much a later deadline may be missed by. The server sets
// one twice for each request, and moving its timer costs as much as routing.
const deadlineStep = time.Second

// SetReadDeadline implements net.Conn; a deadline that is hardly later than the
// one in force is left out.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.IsZero() && !c.deadline.IsZero() {
		if later := t.Sub(c.deadline); later >= 0 && later < deadlineStep {
			return nil
		}
	}
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// NetConn gives access to the descriptor.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }
