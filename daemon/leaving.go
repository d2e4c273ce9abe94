package daemon

import (
	"sync"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
)

// leavingSource is a set of the sources that may say that an upstream is leaving.
type leavingSource uint8

const (
	// sourceHealth is the upstream's health endpoint.
	sourceHealth leavingSource = 1 << iota
	// sourceInstanceList is the platform's instance list.
	sourceInstanceList
	// sourceNotice is the upstream's response to a request, or the report of a
	// peer.
	sourceNotice
)

// noticeGrace is how much newer than a notice a health report must be to
// override it, since health reports lag.
const noticeGrace = 5 * time.Second

// leavingTracker records by address which sources say that an upstream is
// leaving. An upstream is treated as returned only when no source says so any
// more, since a single source may lag.
type leavingTracker struct {
	mu        sync.Mutex
	byAddress map[string]leavingState
}

type leavingState struct {
	sources   leavingSource
	noticedAt time.Time
}

// update records what a source says about an upstream and reports whether the
// upstream thereby began to leave or returned to service.
func (s *leavingTracker) update(address string, source leavingSource, leaving bool, at time.Time) (began, returned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddress == nil {
		s.byAddress = map[string]leavingState{}
	}
	before := s.byAddress[address]
	after := before.with(source, leaving, at)
	if after.sources == 0 {
		delete(s.byAddress, address)
	} else {
		s.byAddress[address] = after
	}
	return before.sources == 0 && after.sources != 0, before.sources != 0 && after.sources == 0
}

// with returns the state after a source said whether the upstream is leaving.
func (s leavingState) with(source leavingSource, leaving bool, at time.Time) leavingState {
	if leaving {
		s.sources |= source
		if source == sourceNotice {
			s.noticedAt = at
		}
		return s
	}
	s.sources &^= source
	if source == sourceHealth && at.Sub(s.noticedAt) >= noticeGrace {
		s.sources &^= sourceNotice
	}
	return s
}

// updateLeaving records what a source says about a target and passes a change of
// state to the traffic engine.
func (d *Daemon) updateLeaving(doc *document.Compiled, target document.TargetID, source leavingSource, leaving bool, at time.Time) {
	began, returned := d.leaving.update(doc.Targets[target].Address, source, leaving, at)
	if began {
		d.steer.HandleForDocument(doc, traffic.TargetLeaving{Target: target, Seen: at})
	}
	if returned {
		d.steer.HandleForDocument(doc, traffic.TargetReturned{Target: target})
	}
}
