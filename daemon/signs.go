package daemon

import (
	"sync"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
)

// signSource is where a sign of leaving came from.
type signSource uint8

const (
	signHealth signSource = 1 << iota
	signListed
)

// upstreamSigns remembers by address which sources say that an upstream is
// leaving. An upstream is back once none of them says so any more: a single
// source may lag behind.
type upstreamSigns struct {
	mu    sync.Mutex
	signs map[string]signSource
}

// note returns whether the upstream began to leave, or came back.
func (s *upstreamSigns) note(address string, source signSource, leaving bool) (began, back bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.signs == nil {
		s.signs = map[string]signSource{}
	}
	before := s.signs[address]
	after := before &^ source
	if leaving {
		after = before | source
	}
	if after == 0 {
		delete(s.signs, address)
	} else {
		s.signs[address] = after
	}
	return before == 0 && after != 0, before != 0 && after == 0
}

func (d *Daemon) sign(doc *document.Compiled, target document.TargetID, source signSource, leaving bool, at time.Time) {
	began, back := d.signs.note(doc.Targets[target].Address, source, leaving)
	if began {
		d.steer.HandleFor(doc, traffic.TargetLeaving{Target: target, Seen: at})
	}
	if back {
		d.steer.HandleFor(doc, traffic.TargetBack{Target: target})
	}
}
