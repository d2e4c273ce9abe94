package gateway

import (
	"bufio"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pistachioford.example/core/reuse"
	"pistachioford.example/core/steer"
)

const (
	// maxTargetIdle is the longest time that an unused connection to a target
	// is kept, and the time if the target states none.
	maxTargetIdle = 8 * time.Second
	// keepAliveMargin is subtracted from the time that a target states, since
	// the target starts to count before its response arrives here.
	keepAliveMargin = time.Second
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// connection breaks. The system also breaks a connection whose target does not
	// open its window for so long, so that uploads are watched in another way.
	tcpUserTimeout = 1500 * time.Millisecond
	// dialTimeout limits the opening of a connection to a few round trips to
	// the farthest region. A longer wait would use up the caller's time.
	dialTimeout = 300 * time.Millisecond
	// targetBufferSize is the size of the read buffer, which must hold the
	// header of a response.
	targetBufferSize = 16 << 10
)

// targetReaders holds the read buffers of connections that are idle. Nothing is read
// from those, and an instance may keep hundreds of them.
var targetReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, targetBufferSize) }}

// targetConn is a connection to a target, used by one exchange at a time.
type targetConn struct {
	net.Conn
	// br is nil while the connection is idle.
	br *bufio.Reader
	// used is set after the first exchange.
	used bool
	// idleSince is when the connection was last used or opened.
	idleSince time.Time
	// expiresAt is when the connection is closed if it stays idle.
	expiresAt time.Time
	raw       syscall.RawConn
	// longUserTimeout is set while TCP_USER_TIMEOUT is that of an upload.
	longUserTimeout bool
}

// pool holds the idle connections to one target.
type pool struct {
	idle []*targetConn
}

// pools holds the idle connections to all targets. It is safe for concurrent
// use.
type pools struct {
	mu   sync.Mutex
	byID map[steer.TargetID]*pool
	// idleLimit limits how long a connection may have been idle when it is used
	// again.
	idleLimit reuse.IdleLimit
	// budget bounds the responses that are held in memory.
	budget *memoryBudget
}

func newPools(budget *memoryBudget) *pools {
	return &pools{byID: map[steer.TargetID]*pool{}, budget: budget}
}

// take returns an idle connection that is open and has nothing to read, or nil.
// It closes the ones that it finds unusable.
func (p *pools) take(now time.Time, id steer.TargetID, retryable bool) *targetConn {
	for {
		conn := p.pop(now, id, retryable)
		if conn == nil {
			return nil
		}
		if now.Before(conn.expiresAt) && conn.isReusable() {
			conn.attachReader()
			return conn
		}
		closeQuietly(conn)
	}
}

// pop removes and returns the most recently used connection. It returns nil if
// even that one was idle for longer than idleLimit allows.
func (p *pools) pop(now time.Time, id steer.TargetID, retryable bool) *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	targetPool := p.byID[id]
	if targetPool == nil || len(targetPool.idle) == 0 {
		return nil
	}
	conn := targetPool.idle[len(targetPool.idle)-1]
	if now.Sub(conn.idleSince) > p.idleLimit.MaxIdle(now, retryable) {
		return nil
	}
	targetPool.idle = targetPool.idle[:len(targetPool.idle)-1]
	return conn
}

// put keeps a connection for reuse after an exchange, for at most idleTimeout.
func (p *pools) put(now time.Time, id steer.TargetID, conn *targetConn, idleTimeout time.Duration) {
	conn.detachReader()
	conn.used = true
	conn.idleSince, conn.expiresAt = now, now.Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	targetPool := p.poolOf(id)
	targetPool.idle = append(targetPool.idle, conn)
}

// hasIdle reports whether an idle connection to a target is held.
func (p *pools) hasIdle(id steer.TargetID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	targetPool := p.byID[id]
	return targetPool != nil && len(targetPool.idle) > 0
}

// putUnused adds a connection that has not carried a request yet. It is taken
// after all others.
func (p *pools) putUnused(now time.Time, id steer.TargetID, conn *targetConn) {
	conn.detachReader()
	conn.idleSince, conn.expiresAt = now, now.Add(maxTargetIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	targetPool := p.poolOf(id)
	targetPool.idle = slices.Insert(targetPool.idle, 0, conn)
}

// poolOf returns the pool of a target, which it creates if needed. It is called
// with mu held.
func (p *pools) poolOf(id steer.TargetID) *pool {
	targetPool := p.byID[id]
	if targetPool == nil {
		targetPool = &pool{}
		p.byID[id] = targetPool
	}
	return targetPool
}

// recordReset records that a request was reset immediately on a connection that
// had been idle for a time.
func (p *pools) recordReset(now time.Time, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimit.RecordReset(now, idle)
}

// dial opens a connection. It also returns the time that this took.
func (p *pools) dial(address string, timeout time.Duration) (*targetConn, time.Duration, error) {
	began := time.Now()
	dialer := net.Dialer{Timeout: min(timeout, dialTimeout), KeepAlive: -1, Control: setTCPUserTimeout}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, 0, err
	}
	target := &targetConn{Conn: conn}
	if sysConn, ok := conn.(syscall.Conn); ok {
		if target.raw, err = sysConn.SyscallConn(); err != nil {
			closeQuietly(conn)
			return nil, 0, err
		}
	}
	target.attachReader()
	return target, time.Since(began), nil
}

// attachReader gives the connection a read buffer for an exchange.
func (c *targetConn) attachReader() {
	c.br = targetReaders.Get().(*bufio.Reader)
	c.br.Reset(c.Conn)
}

// detachReader gives up the read buffer, which must be empty.
func (c *targetConn) detachReader() {
	c.br.Reset(nil)
	targetReaders.Put(c.br)
	c.br = nil
}

func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setUserTimeout(raw, tcpUserTimeout)
}

// setUserTimeout sets how long data may stay unacknowledged, or the window of the
// target closed, before a connection breaks.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// sweep closes idle connections that have expired.
func (p *pools) sweep(now time.Time) {
	for _, conn := range p.removeExpired(now) {
		closeQuietly(conn)
	}
}

func (p *pools) removeExpired(now time.Time) []*targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*targetConn
	for id, targetPool := range p.byID {
		kept := targetPool.idle[:0]
		for _, conn := range targetPool.idle {
			if now.Before(conn.expiresAt) {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		targetPool.idle = kept
		if len(kept) == 0 {
			delete(p.byID, id)
		}
	}
	return expired
}

// isReusable reports whether an idle connection is open and has nothing to
// read. Bytes that arrive on it belong to no exchange.
func (c *targetConn) isReusable() bool {
	if c.raw == nil {
		return false
	}
	reusable := false
	err := c.raw.Control(func(fd uintptr) {
		var probe [1]byte
		_, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN
	})
	return err == nil && reusable
}

// keepAliveTimeout returns how long a connection may stay idle after a
// response.
func keepAliveTimeout(resp *response) time.Duration {
	for _, part := range strings.Split(string(resp.header.Peek("Keep-Alive")), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return min(time.Duration(seconds)*time.Second-keepAliveMargin, maxTargetIdle)
		}
	}
	return maxTargetIdle
}

// closeQuietly closes a connection that is no longer needed and ignores the
// error.
func closeQuietly(conn net.Conn) { _ = conn.Close() }
