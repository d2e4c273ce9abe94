package upstream

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits of the connections to one address.
const (
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 16 << 10
	// dialTimeout bounds the wait for a connection; a longer wait would occupy
	// the slot of a target whose host is unreachable.
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
		// The engine decides on resends. The pool acquires connections itself and
		// never calls Do, so these settings only state the rule.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		ReadBufferSize:            maxHeaderBytes,
		MaxIdleConnDuration:       idleTimeout,
		ConnPoolStrategy:          fasthttp.LIFO,
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			conn, err := dial(address, timeout)
			if err != nil {
				return nil, err
			}
			return newCountingConn(conn), nil
		},
	}}
}

// SetConnections changes the maximum number of connections.
func (p *Pool) SetConnections(connections int) { p.host.SetMaxConns(connections) }

// Close closes the idle connections. Those in use become idle when their exchange
// ends, and close after idleTimeout.
func (p *Pool) Close() { p.host.CloseIdleConnections() }

// acquire returns an open connection on which nothing is pending.
func (p *Pool) acquire(deadline time.Time) (*countingConn, error) {
	for {
		wait := min(time.Until(deadline), dialTimeout)
		if wait <= 0 {
			return nil, fasthttp.ErrDialTimeout
		}
		pooled, err := p.host.AcquireConn(wait, false)
		if err != nil {
			return nil, err
		}
		conn, ok := pooled.Conn().(*countingConn)
		if !ok {
			p.host.CloseConn(pooled)
			return nil, io.ErrNoProgress
		}
		if conn.written > 0 && !conn.usable() {
			p.host.CloseConn(pooled)
			continue
		}
		conn.written = 0
		if conn.release == nil {
			// pooled is the same for the lifetime of the connection.
			conn.release = func(reuse bool) {
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
