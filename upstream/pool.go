package upstream

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits of the connections to one address.
const (
	// headerBytes bounds the header of an answer.
	headerBytes = 16 << 10
	// dialTimeout bounds the wait for one connection; a longer wait would hold
	// the slot of a target whose host is gone.
	dialTimeout = time.Second
	// idleTimeout closes unused connections before most servers do.
	idleTimeout = 30 * time.Second
)

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	host *fasthttp.HostClient
}

// NewPool returns a pool of at most the given number of connections.
func NewPool(address string, connections int, dial Dialer) *Pool {
	return &Pool{host: &fasthttp.HostClient{
		Addr:     address,
		MaxConns: connections,
		// Resends are decided by the engine; the pool acquires connections by
		// itself and never calls Do, so these settings only state the rule.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		ReadBufferSize:            headerBytes,
		MaxIdleConnDuration:       idleTimeout,
		ConnPoolStrategy:          fasthttp.LIFO,
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			conn, err := dial(address, timeout)
			if err != nil {
				return nil, err
			}
			return newCountedConn(conn), nil
		},
	}}
}

// SetConnections changes the limit of connections.
func (p *Pool) SetConnections(connections int) { p.host.SetMaxConns(connections) }

// Close closes the idle connections; those in use close when their exchange
// ends and the pool is no longer referenced.
func (p *Pool) Close() { p.host.CloseIdleConnections() }

// acquire returns an open connection on which nothing is pending.
func (p *Pool) acquire(deadline time.Time) (*countedConn, error) {
	for {
		wait := min(time.Until(deadline), dialTimeout)
		if wait <= 0 {
			return nil, fasthttp.ErrDialTimeout
		}
		pooled, err := p.host.AcquireConn(wait, false)
		if err != nil {
			return nil, err
		}
		conn, ok := pooled.Conn().(*countedConn)
		if !ok {
			p.host.CloseConn(pooled)
			return nil, io.ErrNoProgress
		}
		if conn.written > 0 && !conn.pristine() {
			p.host.CloseConn(pooled)
			continue
		}
		conn.written = 0
		if conn.end == nil {
			// The pool keeps one wrapper for the life of a connection.
			conn.end = func(reuse bool) {
				if reuse {
					p.host.ReleaseConn(pooled)
					return
				}
				p.host.CloseConn(pooled)
			}
		}
		return conn, nil
	}
}
