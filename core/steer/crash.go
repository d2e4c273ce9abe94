package steer

import (
	"slices"
	"time"
)

const (
	// crashLimit is the number of targets that a request may break before its
	// copies are refused. Fewer would refuse popular reads that were in flight
	// while a zone lost power.
	crashLimit = 3
	// crashMemory is how long a broken exchange counts.
	crashMemory = 30 * time.Second
	// crashTable bounds the table of suspected requests.
	crashTable = 4096
	// newsAge and newsMost bound the breaks that are told to other instances.
	newsAge  = 5 * time.Second
	newsMost = 6
)

// Break says that a target broke off while it ran a request.
type Break struct {
	// Fingerprint is that of the request, Target the hash of the target.
	Fingerprint, Target uint64
}

// suspect counts the targets that broke off while they ran a request. A target
// counts once: when it dies, it may break several copies of a popular read.
type suspect struct {
	targets []uint64
	last    time.Time
}

// suspects finds requests that crash each target that runs them, by a hash of
// what they ask for. A success clears a request. Copies of a request may come
// to any instance, so breaks are told to the others.
type suspects struct {
	table map[uint64]suspect
	// news are the breaks that this instance saw lately, oldest first.
	news   []Break
	newsAt []time.Time
}

// broke returns true if the target was not yet counted.
func (s *suspects) broke(now time.Time, b Break) bool {
	if len(s.table) >= crashTable {
		s.forget(now)
	}
	entry := s.table[b.Fingerprint]
	if len(s.table) >= crashTable || slices.Contains(entry.targets, b.Target) || len(entry.targets) >= crashLimit {
		return false
	}
	s.table[b.Fingerprint] = suspect{targets: append(entry.targets, b.Target), last: now}
	return true
}

func (s *suspects) succeeded(fingerprint uint64) {
	if len(s.table) > 0 {
		delete(s.table, fingerprint)
	}
}

func (s *suspects) blocked(now time.Time, fingerprint uint64) bool {
	entry, found := s.table[fingerprint]
	return found && len(entry.targets) >= crashLimit && now.Sub(entry.last) < crashMemory
}

func (s *suspects) forget(now time.Time) {
	for fingerprint, entry := range s.table {
		if now.Sub(entry.last) >= crashMemory {
			delete(s.table, fingerprint)
		}
	}
}

// tell keeps a break for the other instances.
func (s *suspects) tell(now time.Time, b Break) {
	s.news, s.newsAt = append(s.news, b), append(s.newsAt, now)
	if len(s.news) > newsMost {
		s.news, s.newsAt = s.news[1:], s.newsAt[1:]
	}
}

// Breaks returns what other instances are to hear.
func (e *Engine) Breaks(now time.Time) []Break {
	s := &e.suspects
	for len(s.news) > 0 && now.Sub(s.newsAt[0]) > newsAge {
		s.news, s.newsAt = s.news[1:], s.newsAt[1:]
	}
	return slices.Clone(s.news)
}

// HearBreaks takes in what another instance saw.
func (e *Engine) HearBreaks(now time.Time, breaks []Break) {
	for _, b := range breaks {
		e.suspects.broke(now, b)
	}
}
