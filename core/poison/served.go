package poison

import "time"

const (
	// servedTTL is how long a served request is remembered at least.
	servedTTL = 30 * time.Second
	// maxServed bounds the requests that are remembered, twice.
	maxServed = 8192
)

// servedRequests remembers the requests that were served recently. A request
// that crashes each target is never served, so that the exchange of a served one
// broke for another reason, unless it has become harmful since.
type servedRequests struct {
	// current and previous map fingerprints to the end of the first exchange
	// that broke since the request was served, or to the zero time.
	current, previous map[uint64]time.Time
	rotatedAt         time.Time
}

func (s *servedRequests) record(now time.Time, fingerprint uint64) {
	s.rotate(now)
	s.current[fingerprint] = time.Time{}
}

// rotate drops the older half of the requests.
func (s *servedRequests) rotate(now time.Time) {
	if s.current != nil && len(s.current) < maxServed && now.Sub(s.rotatedAt) < servedTTL {
		return
	}
	s.current, s.previous, s.rotatedAt = map[uint64]time.Time{}, s.current, now
}

// excuses reports whether a broken exchange does not count since the request was
// served recently. Only exchanges that were in flight when the first one broke
// are excused; later ones count until the request is served again.
func (s *servedRequests) excuses(now time.Time, x exchange) bool {
	firstBroken, found := s.lookup(now, x.fingerprint)
	if !found || !firstBroken.IsZero() && !x.sent.Before(firstBroken) {
		return false
	}
	if firstBroken.IsZero() {
		s.current[x.fingerprint] = x.broken
	}
	return true
}

// isHarmless reports whether the request was served recently and no exchange of
// it has broken since.
func (s *servedRequests) isHarmless(now time.Time, fingerprint uint64) bool {
	firstBroken, found := s.lookup(now, fingerprint)
	return found && firstBroken.IsZero()
}

func (s *servedRequests) lookup(now time.Time, fingerprint uint64) (firstBroken time.Time, found bool) {
	s.rotate(now)
	if firstBroken, found = s.current[fingerprint]; !found {
		firstBroken, found = s.previous[fingerprint]
	}
	return firstBroken, found
}
