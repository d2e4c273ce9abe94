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
	// signTold is the upstream's own answer, or the report of a peer.
	signTold
)

// toldGrace is how much later than the upstream's own answer a health report
// must be to outweigh it, since reports lag.
const toldGrace = 5 * time.Second

// upstreamSigns remembers by address which sources say that an upstream is
// leaving. An upstream is back once none of them says so any more: a single
// source may lag behind.
type upstreamSigns struct {
	mu    sync.Mutex
	signs map[string]upstreamSign
}

type upstreamSign struct {
	sources signSource
	told    time.Time
}

// note returns whether the upstream began to leave, or came back.
func (s *upstreamSigns) note(address string, source signSource, leaving bool, at time.Time) (began, back bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.signs == nil {
		s.signs = map[string]upstreamSign{}
	}
	before := s.signs[address]
	after := before.with(source, leaving, at)
	if after.sources == 0 {
		delete(s.signs, address)
	} else {
		s.signs[address] = after
	}
	return before.sources == 0 && after.sources != 0, before.sources != 0 && after.sources == 0
}

func (s upstreamSign) with(source signSource, leaving bool, at time.Time) upstreamSign {
	if leaving {
		s.sources |= source
		if source == signTold {
			s.told = at
		}
		return s
	}
	s.sources &^= source
	if source == signHealth && at.Sub(s.told) >= toldGrace {
		s.sources &^= signTold
	}
	return s
}

func (d *Daemon) sign(doc *document.Compiled, target document.TargetID, source signSource, leaving bool, at time.Time) {
	began, back := d.signs.note(doc.Targets[target].Address, source, leaving, at)
	if began {
		d.steer.HandleFor(doc, traffic.TargetLeaving{Target: target, Seen: at})
	}
	if back {
		d.steer.HandleFor(doc, traffic.TargetBack{Target: target})
	}
}
