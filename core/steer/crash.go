package steer

import "time"

const (
	// crashLimit is the number of targets that a request may break before its
	// copies are refused; one or two may break for other reasons.
	crashLimit = 2
	// crashMemory is how long a broken exchange counts.
	crashMemory = 30 * time.Second
	// crashTable bounds the table of suspected requests.
	crashTable = 4096
)

// suspect counts the targets that broke off while they ran a request. A target
// counts once: when it dies, it may break several copies of a popular read.
type suspect struct {
	targets [crashLimit]TargetID
	breaks  int
	last    time.Time
}

func (s *suspect) add(now time.Time, target TargetID) bool {
	s.last = now
	for _, known := range s.targets[:s.breaks] {
		if known == target {
			return false
		}
	}
	if s.breaks == crashLimit {
		return false
	}
	s.targets[s.breaks] = target
	s.breaks++
	return true
}

// suspects finds requests that crash each target that runs them, by a hash of
// what they ask for. A success clears a request.
type suspects struct {
	table map[uint64]suspect
}

// broke returns true if the target was not yet counted.
func (s *suspects) broke(now time.Time, fingerprint uint64, target TargetID) bool {
	if len(s.table) >= crashTable {
		s.forget(now)
	}
	if len(s.table) >= crashTable {
		return false
	}
	entry := s.table[fingerprint]
	added := entry.add(now, target)
	s.table[fingerprint] = entry
	return added
}

func (s *suspects) succeeded(fingerprint uint64) {
	if len(s.table) > 0 {
		delete(s.table, fingerprint)
	}
}

func (s *suspects) blocked(now time.Time, fingerprint uint64) bool {
	entry, found := s.table[fingerprint]
	return found && entry.breaks >= crashLimit && now.Sub(entry.last) < crashMemory
}

func (s *suspects) forget(now time.Time) {
	for fingerprint, entry := range s.table {
		if now.Sub(entry.last) >= crashMemory {
			delete(s.table, fingerprint)
		}
	}
}
