package idempotency

import (
	"time"

	"pistachioford.example/core/document"
)

const (
	// BlockDuration is how long a fingerprint is blocked after its second
	// crash.
	BlockDuration = 10 * time.Minute
	// suspectLifetime is how long a first crash is remembered.
	suspectLifetime = 10 * time.Minute
	// maxReportDelay is the time for which instances may not yet know of each
	// other's crash reports.
	maxReportDelay = 50 * time.Millisecond
	// maxSuspects bounds the table to about 0.5 MB.
	maxSuspects = 4096
)

// Crash describes an upstream connection that broke while the upstream ran a
// request.
type Crash struct {
	Fingerprint uint64
	Target      document.TargetID
	At          time.Time
	// Repeated is set if the exchange began after its instance knew of an
	// earlier crash, Overlapping if it began before. Neither is set if the
	// instance knew of none. Clocks of instances differ, so only the instance
	// of the exchange can tell.
	Repeated, Overlapping bool
}

// suspect is the entry of a fingerprint that has crashed an upstream at least
// once.
type suspect struct {
	first        Crash
	learnedAt    time.Time // when this instance learned of the first crash
	blockedUntil time.Time // end of the block; zero before the second crash
	expiresAt    time.Time // when the entry can be dropped
}

// Poison detects requests that crash every upstream that runs them.
type Poison struct {
	suspects map[uint64]suspect
	// fingerprints lists the keys of suspects in the order in which they were
	// added, for evictions.
	fingerprints []uint64
}

// NewPoison returns a Poison without suspects.
func NewPoison() *Poison { return &Poison{suspects: map[uint64]suspect{}} }

// Crashed records a crash seen here or reported by a peer, and reports whether
// its fingerprint is blocked. A repeated report of the first crash changes
// nothing.
func (p *Poison) Crashed(now time.Time, c Crash) bool {
	s, ok := p.suspects[c.Fingerprint]
	if !ok || now.After(s.expiresAt) {
		p.add(now, c)
		return false
	}
	if s.blockedUntil.IsZero() && s.isSecondCrash(now, c) {
		s.blockedUntil = now.Add(BlockDuration)
		s.expiresAt = s.blockedUntil
		p.suspects[c.Fingerprint] = s
	}
	return !s.blockedUntil.IsZero()
}

// isSecondCrash reports whether c is a second crash, independent of the first.
// Exchanges that run at the same time can break together for another reason,
// such as the failure of a rack, and count as one crash.
func (s *suspect) isSecondCrash(now time.Time, c Crash) bool {
	if s.first.At.Equal(c.At) && s.first.Target == c.Target {
		return false
	}
	return c.Repeated || !c.Overlapping && now.Sub(s.learnedAt) > maxReportDelay
}

// Known returns when this instance learned of the first crash of a
// fingerprint, and whether it remembers one.
func (p *Poison) Known(now time.Time, fingerprint uint64) (learnedAt time.Time, ok bool) {
	s, ok := p.suspects[fingerprint]
	return s.learnedAt, ok && !now.After(s.expiresAt)
}

// Succeeded clears the suspicion of a fingerprint that an upstream has served,
// unless a block was set. A popular read that was in flight on a crashing
// upstream is not the cause of the crash.
func (p *Poison) Succeeded(fingerprint uint64) {
	if len(p.suspects) == 0 {
		return
	}
	s, ok := p.suspects[fingerprint]
	if ok && s.blockedUntil.IsZero() {
		s.expiresAt = time.Time{}
		p.suspects[fingerprint] = s
	}
}

// Blocked reports whether requests with the fingerprint are blocked.
func (p *Poison) Blocked(now time.Time, fingerprint uint64) bool {
	s, ok := p.suspects[fingerprint]
	return ok && now.Before(s.blockedUntil)
}

// add starts an entry with c as the first crash.
func (p *Poison) add(now time.Time, c Crash) {
	if _, ok := p.suspects[c.Fingerprint]; !ok {
		p.evict(now)
		p.fingerprints = append(p.fingerprints, c.Fingerprint)
	}
	p.suspects[c.Fingerprint] = suspect{first: c, learnedAt: now, expiresAt: now.Add(suspectLifetime)}
}

// evict makes room for one entry in a full table. It removes expired entries
// or, if there are none, the oldest one that was never blocked, or else the
// oldest of all.
func (p *Poison) evict(now time.Time) {
	if len(p.fingerprints) < maxSuspects {
		return
	}
	kept := p.fingerprints[:0]
	for _, f := range p.fingerprints {
		if now.After(p.suspects[f].expiresAt) {
			delete(p.suspects, f)
			continue
		}
		kept = append(kept, f)
	}
	p.fingerprints = kept
	if len(p.fingerprints) == maxSuspects {
		p.removeAt(p.evictionIndex())
	}
}

// evictionIndex returns the index in fingerprints of the oldest entry that was
// never blocked, or 0 if all were.
func (p *Poison) evictionIndex() int {
	for i, f := range p.fingerprints {
		if p.suspects[f].blockedUntil.IsZero() {
			return i
		}
	}
	return 0
}

func (p *Poison) removeAt(i int) {
	delete(p.suspects, p.fingerprints[i])
	p.fingerprints = append(p.fingerprints[:i], p.fingerprints[i+1:]...)
}
