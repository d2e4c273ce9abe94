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
	// Repeated is set if the exchange began after its instance knew of an earlier
	// crash, Overlapping if the exchange began before that. Neither is set if the
	// instance knew of no earlier crash. Clocks of instances differ, so only the
	// instance of the exchange can decide this.
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

// PoisonDetector detects requests that crash every upstream that runs them. The
// first crash makes the fingerprint of a request a suspect. A second crash that
// is independent of the first blocks the fingerprint for BlockDuration. A
// success before that clears the suspicion.
type PoisonDetector struct {
	suspects map[uint64]suspect
	// fingerprints lists the keys of suspects in the order in which they were
	// added, for evictions.
	fingerprints []uint64
}

// NewPoisonDetector returns a PoisonDetector without suspects.
func NewPoisonDetector() *PoisonDetector { return &PoisonDetector{suspects: map[uint64]suspect{}} }

// Crashed records a crash seen here or reported by a peer, and reports whether
// its fingerprint is blocked. A duplicate report of the first crash changes
// nothing.
func (d *PoisonDetector) Crashed(now time.Time, c Crash) bool {
	s, ok := d.suspects[c.Fingerprint]
	if !ok || now.After(s.expiresAt) {
		d.add(now, c)
		return false
	}
	if s.blockedUntil.IsZero() && s.isSecondCrash(now, c) {
		s.blockedUntil = now.Add(BlockDuration)
		s.expiresAt = s.blockedUntil
		d.suspects[c.Fingerprint] = s
	}
	return !s.blockedUntil.IsZero()
}

// isSecondCrash reports whether c is a second crash, independent of the first.
// Exchanges that run at the same time can break together for another reason,
// such as the failure of a rack, and are treated as one crash.
func (s *suspect) isSecondCrash(now time.Time, c Crash) bool {
	if s.first.At.Equal(c.At) && s.first.Target == c.Target {
		return false
	}
	return c.Repeated || !c.Overlapping && now.Sub(s.learnedAt) > maxReportDelay
}

// SuspectedSince returns when this instance learned of the first crash of a
// fingerprint, and whether it remembers one.
func (d *PoisonDetector) SuspectedSince(now time.Time, fingerprint uint64) (learnedAt time.Time, ok bool) {
	s, ok := d.suspects[fingerprint]
	return s.learnedAt, ok && !now.After(s.expiresAt)
}

// Succeeded clears the suspicion of a fingerprint that an upstream has served,
// unless a block was set. A popular read that was in flight on a crashing
// upstream is not the cause of the crash.
func (d *PoisonDetector) Succeeded(fingerprint uint64) {
	if len(d.suspects) == 0 {
		return
	}
	s, ok := d.suspects[fingerprint]
	if ok && s.blockedUntil.IsZero() {
		s.expiresAt = time.Time{}
		d.suspects[fingerprint] = s
	}
}

// Blocked reports whether requests with the fingerprint are blocked.
func (d *PoisonDetector) Blocked(now time.Time, fingerprint uint64) bool {
	s, ok := d.suspects[fingerprint]
	return ok && now.Before(s.blockedUntil)
}

// add starts an entry with c as the first crash.
func (d *PoisonDetector) add(now time.Time, c Crash) {
	if _, ok := d.suspects[c.Fingerprint]; !ok {
		d.evict(now)
		d.fingerprints = append(d.fingerprints, c.Fingerprint)
	}
	d.suspects[c.Fingerprint] = suspect{first: c, learnedAt: now, expiresAt: now.Add(suspectLifetime)}
}

// evict makes room for one entry in a full table. It removes expired entries
// or, if there are none, the oldest one that was never blocked, or else the
// oldest of all.
func (d *PoisonDetector) evict(now time.Time) {
	if len(d.fingerprints) < maxSuspects {
		return
	}
	kept := d.fingerprints[:0]
	for _, f := range d.fingerprints {
		if now.After(d.suspects[f].expiresAt) {
			delete(d.suspects, f)
			continue
		}
		kept = append(kept, f)
	}
	d.fingerprints = kept
	if len(d.fingerprints) == maxSuspects {
		d.removeAt(d.evictionIndex())
	}
}

// evictionIndex returns the index in fingerprints of the oldest entry that was
// never blocked, or 0 if all were.
func (d *PoisonDetector) evictionIndex() int {
	for i, f := range d.fingerprints {
		if d.suspects[f].blockedUntil.IsZero() {
			return i
		}
	}
	return 0
}

func (d *PoisonDetector) removeAt(i int) {
	delete(d.suspects, d.fingerprints[i])
	d.fingerprints = append(d.fingerprints[:i], d.fingerprints[i+1:]...)
}
