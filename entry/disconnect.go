package entry

import (
	"net"
	"time"

	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/upstream"
)

// WatchPeriod is how often Watch is to be called. With a shorter period, nearly
// every request would cost a system call.
const WatchPeriod = 50 * time.Millisecond

type watchedConn struct {
	id   traffic.RequestID
	conn net.Conn
}

// Watch cancels the requests whose callers have closed their connection, which
// the HTTP server does not notice while a handler runs. Only one goroutine may
// call it.
func (s *Steer) Watch() {
	for _, w := range s.watchedConns() {
		if upstream.ClosedByRemote(w.conn) {
			s.cancelRequest(w.id)
		}
	}
}

// watchedConns returns the connections of the requests that were already in
// flight at the previous call.
func (s *Steer) watchedConns() []watchedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []watchedConn
	for id, r := range s.requests {
		if r.seenByWatch {
			found = append(found, watchedConn{id: id, conn: r.conn})
		}
		r.seenByWatch = true
	}
	return found
}

func (s *Steer) cancelRequest(id traffic.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.requests[id]
	if r == nil || r.callerDisconnected {
		return
	}
	r.callerDisconnected = true
	s.handleLocked(traffic.RequestCanceled{ID: id})
}
