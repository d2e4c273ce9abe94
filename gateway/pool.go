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
	// idleTime closes unused connections to targets that state no time.
	idleTime = 8 * time.Second
	// idleMargin is kept from the time that a target states, since its clock
	// starts before this one.
	idleMargin = time.Second
	// userTimeout breaks connections whose bytes are not acknowledged.
	userTimeout = 1500 * time.Millisecond
	// dialTimeout bounds the opening of a connection: a few round trips to the
	// farthest region. A longer wait would use up the caller's time.
	dialTimeout = 300 * time.Millisecond
	// targetBuffer holds the header of an answer.
	targetBuffer = 16 << 10
)

// targetConn is a connection to a target, used by one exchange at a time.
type targetConn struct {
	net.Conn
	br *bufio.Reader
	// used is set after the first exchange.
	used bool
	// idleSince is when the connection was last used or opened.
	idleSince time.Time
	// until is when an idle connection is closed.
	until time.Time
	raw   syscall.RawConn
}

// pool holds the idle connections to one target.
type pool struct {
	idle []*targetConn
}

// pools holds the connections to all targets. It is safe for concurrent use.
type pools struct {
	mu   sync.Mutex
	byID map[steer.TargetID]*pool
	// rule limits the rest of the connections that are used.
	rule reuse.Rule
}

func newPools() *pools { return &pools{byID: map[steer.TargetID]*pool{}} }

// take returns an idle connection on which nothing is pending, or nil.
func (p *pools) take(now time.Time, id steer.TargetID, repeatable bool) *targetConn {
	for {
		conn := p.pop(now, id, repeatable)
		if conn == nil {
			return nil
		}
		if now.Before(conn.until) && conn.silent() {
			return conn
		}
		closeQuietly(conn)
	}
}

// pop returns the connection that was used last, unless it rested for too long.
func (p *pools) pop(now time.Time, id steer.TargetID, repeatable bool) *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.byID[id]
	if held == nil || len(held.idle) == 0 {
		return nil
	}
	conn := held.idle[len(held.idle)-1]
	if now.Sub(conn.idleSince) > p.rule.MostRest(now, repeatable) {
		return nil
	}
	held.idle = held.idle[:len(held.idle)-1]
	return conn
}

func (p *pools) put(now time.Time, id steer.TargetID, conn *targetConn, keep time.Duration) {
	conn.used = true
	conn.idleSince, conn.until = now, now.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.of(id)
	held.idle = append(held.idle, conn)
}

// holds tells whether an idle connection to a target is open.
func (p *pools) holds(id steer.TargetID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.byID[id]
	return held != nil && len(held.idle) > 0
}

// reserve adds a connection that was not used yet. It is used last.
func (p *pools) reserve(now time.Time, id steer.TargetID, conn *targetConn) {
	conn.idleSince, conn.until = now, now.Add(idleTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.of(id)
	held.idle = slices.Insert(held.idle, 0, conn)
}

// of returns the pool of a target. It is called with mu held.
func (p *pools) of(id steer.TargetID) *pool {
	held := p.byID[id]
	if held == nil {
		held = &pool{}
		p.byID[id] = held
	}
	return held
}

// forgotten takes in that a request was reset at once after a rest.
func (p *pools) forgotten(now time.Time, rested time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule.Reset(now, rested)
}

// dial opens a connection. It returns the time that this took.
func (p *pools) dial(address string, timeout time.Duration) (*targetConn, time.Duration, error) {
	began := time.Now()
	dialer := net.Dialer{Timeout: min(timeout, dialTimeout), KeepAlive: -1, Control: setUserTimeout}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, 0, err
	}
	target := &targetConn{Conn: conn, br: bufio.NewReaderSize(conn, targetBuffer)}
	if holder, ok := conn.(syscall.Conn); ok {
		if target.raw, err = holder.SyscallConn(); err != nil {
			closeQuietly(conn)
			return nil, 0, err
		}
	}
	return target, time.Since(began), nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// sweep closes connections that were idle for too long.
func (p *pools) sweep(now time.Time) {
	for _, conn := range p.expired(now) {
		closeQuietly(conn)
	}
}

func (p *pools) expired(now time.Time) []*targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*targetConn
	for id, held := range p.byID {
		kept := held.idle[:0]
		for _, conn := range held.idle {
			if now.Before(conn.until) {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		held.idle = kept
		if len(kept) == 0 {
			delete(p.byID, id)
		}
	}
	return expired
}

// silent tells whether an idle connection is open and nothing is pending on
// it. Bytes without a request belong to no exchange.
func (c *targetConn) silent() bool {
	if c.br.Buffered() > 0 || c.raw == nil {
		return false
	}
	silent := false
	err := c.raw.Control(func(fd uintptr) {
		var probe [1]byte
		_, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN
	})
	return err == nil && silent
}

// keepFor returns how long a connection may stay idle after an answer.
func keepFor(a *answer) time.Duration {
	for _, part := range strings.Split(string(a.header.Peek("Keep-Alive")), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return min(time.Duration(seconds)*time.Second-idleMargin, idleTime)
		}
	}
	return idleTime
}

// closeQuietly closes a connection that is no longer needed; a failure to
// close it changes nothing.
func closeQuietly(conn net.Conn) { _ = conn.Close() }
