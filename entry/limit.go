package entry

import (
	"net"
	"sync"
	"sync/atomic"

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

type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// NetConn gives access to the descriptor.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }
