package entry

import (
	"net"
	"time"

	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/upstream"
)

// WatchPeriod is how often Watch is to be called. A shorter period would make
// a system call for nearly every request.
const WatchPeriod = 50 * time.Millisecond

type watched struct {
	id   traffic.RequestID
	conn net.Conn
}

// Watch cancels the requests whose callers closed their connection. The HTTP
// server does not notice this while a handler runs. One goroutine calls it.
func (s *Steer) Watch() {
	for _, w := range s.watchedRequests() {
		if upstream.CallerGone(w.conn) {
			s.cancelRequest(w.id)
		}
	}
}

// watchedRequests returns the requests that have been in flight since the
// last call.
func (s *Steer) watchedRequests() []watched {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []watched
	for id, r := range s.requests {
		if r.seen {
			found = append(found, watched{id: id, conn: r.conn})
		}
		r.seen = true
	}
	return found
}

func (s *Steer) cancelRequest(id traffic.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.requests[id]
	if r == nil || r.gone {
		return
	}
	r.gone = true
	s.handle(traffic.RequestCanceled{ID: id})
}
