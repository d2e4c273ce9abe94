package callers

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pistachioford.example/pistachioford/linger"
)

// Set is the set of callers' open connections.
type Set struct {
	handler Handler
	// ending are the connections whose callers still receive what was written.
	ending *linger.Group
	// waiting is the number of bytes of replies that wait on all connections.
	waiting atomic.Int64

	mu   sync.Mutex
	open map[*conn]struct{}
}

// NewSet returns an empty set whose connections are served by a handler. ending
// bounds the connections that wait for their callers to receive the last responses.
func NewSet(h Handler, ending linger.Limits) *Set {
	return &Set{handler: h, ending: linger.NewGroup(ending), open: map[*conn]struct{}{}}
}

// Serve serves a connection in the background until it ends.
func (s *Set) Serve(netConn net.Conn) {
	c := newConn(s, netConn)
	s.mu.Lock()
	s.open[c] = struct{}{}
	s.mu.Unlock()
	go c.watch()
}

func (s *Set) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// Count returns the number of open connections, and of those on which a request
// is outstanding or arriving.
func (s *Set) Count() (open, busy int) {
	s.forEach(func(c *conn) {
		open++
		if c.isBusy() {
			busy++
		}
	})
	return open, busy
}

// Ending returns the number of connections on which nothing further is written, and
// the bytes that their callers have not received.
func (s *Set) Ending() (connections, unreceived int) { return s.ending.Count() }

// Reclaim gives up the connection whose caller loses least by that, among those on
// which nothing further is written. It returns false if there is none.
func (s *Set) Reclaim() bool { return s.ending.Reclaim() }

// WaitingBytes returns the bytes of replies that wait for those before them.
func (s *Set) WaitingBytes() int64 { return s.waiting.Load() }

// CloseIdle makes idle connections close. New ones keep FirstRequestWait for
// their first request. With onlyReceived, a connection whose caller still receives a
// response stays open: what the caller sends meanwhile is answered.
func (s *Set) CloseIdle(now time.Time, onlyReceived bool) {
	s.forEach(func(c *conn) { c.closeIfIdle(now, onlyReceived) })
}

// FollowIdleTimeout applies a changed idle timeout to waits that have begun.
func (s *Set) FollowIdleTimeout(timeout time.Duration) {
	s.forEach(func(c *conn) { c.followIdleTimeout(timeout) })
}

// CloseAll closes all connections at once, whatever is outstanding.
func (s *Set) CloseAll() {
	s.forEach(func(c *conn) { _ = c.net.Close() })
}

func (s *Set) forEach(f func(c *conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		f(c)
	}
}
