package revision

import "time"

// headReading is the last head that was read from the platform; deaths is the
// value of View.Deaths when it arrived.
type headReading struct {
	known    bool
	revision uint64
	sentAt   time.Time
	deaths   uint64
}

// Tick advances the fetch and the round under way. The view may be empty
// unless NeedsView reports true.
func (s *Store) Tick(view View, now time.Time) {
	s.starting = removeExpired(s.starting, now)
	s.tickFetch(now)
	s.tickRound(view, now)
}

// Paused handles a pause of this instance, or a declaration of its death by
// others. It may have missed an offer, so it is not treated as synced until it
// has completed another round and its revision is confirmed.
func (s *Store) Paused() {
	s.joined = false
	s.synced = false
	s.round = nil
	s.platformHead = headReading{}
}

// recordPlatformHead keeps the latest head read from the platform. If the read
// was sent after this instance joined, and returned the revision that it
// holds, the instance is synced.
func (s *Store) recordPlatformHead(h *Head, sent time.Time, view View) {
	if !s.platformHead.known || sent.After(s.platformHead.sentAt) {
		s.platformHead = headReading{known: true, revision: h.Revision, sentAt: sent, deaths: view.Deaths}
	}
	if s.joined && sent.After(s.joinedAt) && h.Revision == s.HeldRevision() {
		s.synced = true
	}
}

// completeRound ends a round in which all live instances of the zone
// acknowledged: they hold the revision and know of this instance. It activates
// the revision if it is newer than the active one.
func (s *Store) completeRound(view View, now time.Time) {
	r := s.round
	confirmed := s.confirmed(r, view)
	if s.active == nil && !confirmed {
		return // The revision may be outdated, so the round goes on.
	}
	if r.head.Revision < s.HeldRevision() {
		s.round = nil
		return
	}
	s.round = nil
	if !s.joined {
		s.joined = true
		s.joinedAt = now
		s.synced = s.synced || confirmed
	}
	if s.active == nil || r.head.Revision > s.active.Revision {
		s.activate(r.head, true)
	}
}

// confirmed reports whether a source that a starting instance may trust has no
// newer revision than the round. Such a source is a synced zone peer, or the
// platform by a read that was sent after the view became fresh and answered
// after the last death in the zone was known. An older read may miss a
// revision that only the dead instance had active.
func (s *Store) confirmed(r *round, view View) bool {
	if r.synced {
		return true
	}
	reading := &s.platformHead
	return reading.known && reading.revision <= r.head.Revision &&
		!reading.sentAt.Before(view.FreshSince) && reading.deaths == view.Deaths
}
