package idempotency

import (
	"time"

	"pistachioford.example/core/document"
)

const (
	// BlockTime is how long a fingerprint is refused after its second crash.
	BlockTime = 10 * time.Minute
	// suspectTime is how long a first crash is remembered.
	suspectTime = 10 * time.Minute
	// spreadTime is how long instances may not know of each other's reports.
	spreadTime = 50 * time.Millisecond
	// maxSuspects bounds the table to about 0.5 MB.
	maxSuspects = 4096
)

// Crash is an upstream's connection that broke while it ran a request.
type Crash struct {
	Fingerprint uint64
	Target      document.TargetID
	At          time.Time
	// Repeated and Overlapping tell whether the exchange began after or before
	// its instance knew of an earlier crash; neither is set if it knew of none.
	// Clocks of instances differ, so only that instance can tell.
	Repeated, Overlapping bool
}

type suspect struct {
	first   Crash
	seen    time.Time // when this instance learned of the first crash
	blocked time.Time // end of the block; zero before the second crash
	until   time.Time // when the entry can be dropped
}

// Poison recognizes requests that crash each upstream that runs them.
type Poison struct {
	suspects map[uint64]suspect
	// order lists fingerprints by their first crash, for the bound.
	order []uint64
}

// NewPoison returns a detector without suspects.
func NewPoison() *Poison { return &Poison{suspects: map[uint64]suspect{}} }

// Crashed takes a crash seen here or reported by a peer and tells whether its
// fingerprint is blocked. A report of a known crash changes nothing.
func (p *Poison) Crashed(now time.Time, c Crash) bool {
	s, ok := p.suspects[c.Fingerprint]
	if !ok || now.After(s.until) {
		p.add(now, c)
		return false
	}
	if s.blocked.IsZero() && s.counts(now, c) {
		s.blocked = now.Add(BlockTime)
		s.until = s.blocked
		p.suspects[c.Fingerprint] = s
	}
	return !s.blocked.IsZero()
}

// counts tells whether a crash is a second one. Exchanges that ran at the same
// time can break together for another reason, such as the failure of a rack, and
// count as one crash.
func (s *suspect) counts(now time.Time, c Crash) bool {
	if s.first.At.Equal(c.At) && s.first.Target == c.Target {
		return false
	}
	return c.Repeated || !c.Overlapping && now.Sub(s.seen) > spreadTime
}

// Known returns when this instance learned of the first crash of a fingerprint.
func (p *Poison) Known(now time.Time, fingerprint uint64) (seen time.Time, ok bool) {
	s, ok := p.suspects[fingerprint]
	return s.seen, ok && !now.After(s.until)
}

// Succeeded clears the suspicion of a fingerprint that an upstream has served.
// A popular read that was in flight on a dying upstream is not poison.
func (p *Poison) Succeeded(fingerprint uint64) {
	if len(p.suspects) == 0 {
		return
	}
	s, ok := p.suspects[fingerprint]
	if ok && s.blocked.IsZero() {
		s.until = time.Time{}
		p.suspects[fingerprint] = s
	}
}

// Blocked tells whether requests with the fingerprint are refused.
func (p *Poison) Blocked(now time.Time, fingerprint uint64) bool {
	s, ok := p.suspects[fingerprint]
	return ok && now.Before(s.blocked)
}

func (p *Poison) add(now time.Time, c Crash) {
	if _, ok := p.suspects[c.Fingerprint]; !ok {
		p.makeRoom(now)
		p.order = append(p.order, c.Fingerprint)
	}
	p.suspects[c.Fingerprint] = suspect{first: c, seen: now, until: now.Add(suspectTime)}
}

// makeRoom drops expired entries, then the oldest suspect that is not blocked,
// then the oldest of all.
func (p *Poison) makeRoom(now time.Time) {
	if len(p.order) < maxSuspects {
		return
	}
	kept := p.order[:0]
	for _, f := range p.order {
		if now.After(p.suspects[f].until) {
			delete(p.suspects, f)
			continue
		}
		kept = append(kept, f)
	}
	p.order = kept
	if len(p.order) == maxSuspects {
		p.drop(p.oldestSuspect())
	}
}

// oldestSuspect returns the place in order of the entry that matters least.
func (p *Poison) oldestSuspect() int {
	for i, f := range p.order {
		if p.suspects[f].blocked.IsZero() {
			return i
		}
	}
	return 0
}

func (p *Poison) drop(i int) {
	delete(p.suspects, p.order[i])
	p.order = append(p.order[:i], p.order[i+1:]...)
}
