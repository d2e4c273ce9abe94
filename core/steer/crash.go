package steer

import (
	"slices"
	"time"
)

const (
	// maxCrashedTargets is the number of targets at which exchanges of a request
	// must break before copies of it are refused. A lower limit would refuse
	// popular reads that were in flight while a zone lost power.
	maxCrashedTargets = 3
	// suspectTTL is how long a request stays a suspect after its last broken
	// exchange.
	suspectTTL = 30 * time.Second
	// maxSuspects bounds the table of suspects.
	maxSuspects = 4096
	// maxBreakAge and maxRecentBreaks bound the breaks that are sent to other
	// instances.
	maxBreakAge     = 5 * time.Second
	maxRecentBreaks = 6
)

// BrokenExchange states that an exchange of a request with a target ended
// without a complete response, as when the request crashes the target. It is
// called a break for short.
type BrokenExchange struct {
	// Fingerprint is that of the request, Target the hash of the target's id.
	Fingerprint, Target uint64
}

// suspect lists the targets with broken exchanges of a request. A target counts
// once: when it dies, the exchanges of several copies of a popular read break.
type suspect struct {
	targets   []uint64
	lastBreak time.Time
}

// suspects finds requests that crash each target that runs them, by their
// fingerprint. A request whose exchanges broke at maxCrashedTargets targets is
// blocked until suspectTTL after the last break, unless a copy succeeds first.
// Copies of a request may reach any instance, so instances send each other the
// breaks that they observed.
type suspects struct {
	byFingerprint map[uint64]suspect
	// recent holds the latest breaks that this instance observed, oldest first.
	recent   []BrokenExchange
	recentAt []time.Time
}

// recordBreak adds the target to the suspect of the request. It returns false if
// the target is counted already, the request is at the limit or the table is
// full.
func (s *suspects) recordBreak(now time.Time, b BrokenExchange) bool {
	if len(s.byFingerprint) >= maxSuspects {
		s.expire(now)
	}
	entry := s.byFingerprint[b.Fingerprint]
	if len(s.byFingerprint) >= maxSuspects || slices.Contains(entry.targets, b.Target) || len(entry.targets) >= maxCrashedTargets {
		return false
	}
	s.byFingerprint[b.Fingerprint] = suspect{targets: append(entry.targets, b.Target), lastBreak: now}
	return true
}

func (s *suspects) clear(fingerprint uint64) {
	if len(s.byFingerprint) > 0 {
		delete(s.byFingerprint, fingerprint)
	}
}

func (s *suspects) blocked(now time.Time, fingerprint uint64) bool {
	entry, found := s.byFingerprint[fingerprint]
	return found && len(entry.targets) >= maxCrashedTargets && now.Sub(entry.lastBreak) < suspectTTL
}

func (s *suspects) expire(now time.Time) {
	for fingerprint, entry := range s.byFingerprint {
		if now.Sub(entry.lastBreak) >= suspectTTL {
			delete(s.byFingerprint, fingerprint)
		}
	}
}

// addRecent keeps a break to be sent to the other instances.
func (s *suspects) addRecent(now time.Time, b BrokenExchange) {
	s.recent, s.recentAt = append(s.recent, b), append(s.recentAt, now)
	if len(s.recent) > maxRecentBreaks {
		s.recent, s.recentAt = s.recent[1:], s.recentAt[1:]
	}
}

// RecentBreaks returns the latest breaks that this instance observed, to be
// sent to the other instances.
func (e *Engine) RecentBreaks(now time.Time) []BrokenExchange {
	s := &e.suspects
	for len(s.recent) > 0 && now.Sub(s.recentAt[0]) > maxBreakAge {
		s.recent, s.recentAt = s.recent[1:], s.recentAt[1:]
	}
	return slices.Clone(s.recent)
}

// RecordBreaks records breaks that another instance observed.
func (e *Engine) RecordBreaks(now time.Time, breaks []BrokenExchange) {
	for _, b := range breaks {
		e.suspects.recordBreak(now, b)
	}
}
