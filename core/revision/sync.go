package revision

import "time"

// evidence is what the platform said about the newest revision.
type evidence struct {
	known    bool
	revision uint64
	sent     time.Time
	deaths   uint64
}

// Tick runs the systems of the Store; the view may be empty when Busy says so.
func (s *Store) Tick(view View, now time.Time) {
	s.starting = forgetStarters(s.starting, now)
	s.tickFetch(now)
	s.tickRound(view, now)
}

// Paused tells the Store that this instance was paused or declared dead: it may
// have missed an offer, so it is no source for a starting instance.
func (s *Store) Paused() {
	s.standing = false
	s.synced = false
	s.round = nil
	s.evidence = evidence{}
}

// confirm takes the head row as evidence.
func (s *Store) confirm(h *Head, sent time.Time, view View) {
	if !s.evidence.known || sent.After(s.evidence.sent) {
		s.evidence = evidence{known: true, revision: h.Revision, sent: sent, deaths: view.Deaths}
	}
	if s.standing && sent.After(s.stood) && h.Revision == s.HeldRevision() {
		s.synced = true
	}
}

// complete ends a round: all live instances of the zone hold the revision and
// know of this instance.
func (s *Store) complete(view View, now time.Time) {
	r := s.round
	confirmed := s.confirmed(r, view)
	if s.active == nil && !confirmed {
		return // It does not guess; the round goes on.
	}
	if r.head.Revision < s.HeldRevision() {
		s.round = nil
		return
	}
	s.round = nil
	if !s.standing {
		s.standing = true
		s.stood = now
		s.synced = s.synced || confirmed
	}
	if s.active == nil || r.head.Revision > s.active.Revision {
		s.activate(r.head, true)
	}
}

// confirmed tells whether a source that a starting instance may trust has no
// newer revision than the round: a synced zone peer, or the platform by a read that
// was sent since the view is fresh and since the last instance of the zone
// died. An older read may miss a revision that only the dead instance had
// active.
func (s *Store) confirmed(r *round, view View) bool {
	if r.synced {
		return true
	}
	e := &s.evidence
	return e.known && e.revision <= r.head.Revision &&
		!e.sent.Before(view.FreshSince) && e.deaths == view.Deaths
}
