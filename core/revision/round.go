package revision

import "time"

// Times of a round.
const (
	offerInterval = 300 * time.Millisecond
	// offererPatience is how long an instance waits for the zone peer that offered a
	// revision before it offers the revision itself.
	offererPatience = 1500 * time.Millisecond
	// ackLife is how long an acknowledgement to a starting instance counts, and
	// starterLife how long the acknowledging instance remembers the starting
	// one. The second is longer: whoever activates a newer revision still waits
	// for the starting instance.
	ackLife     = 2 * time.Second
	starterLife = 5 * time.Second
	// maxStarters bounds what one acknowledgement lists.
	maxStarters = 64
)

// round is the offer of one held revision to all live instances of the zone.
type round struct {
	head *Head
	// number tells the acknowledgements of this round from older ones that
	// were waiting while this instance was paused.
	number uint64
	rows   []offer
	extra  []starter
	// synced is set when an instance that is synced holds no higher revision.
	synced bool
}

// offer is the state of a round at one zone peer.
type offer struct {
	to    Peer
	sent  time.Time
	acked time.Time
}

// starter is an instance that offered a revision lately and may become active
// with it.
type starter struct {
	peer Peer
	at   time.Time
}

// Ack is an acknowledgement.
type Ack struct {
	From     Peer
	Round    uint64
	Revision uint64
	Digest   string
	// Held is the highest revision that the sender holds.
	Held     uint64
	Synced   bool
	Starting []Peer
}

// Offered takes the offer of a zone peer.
func (s *Store) Offered(h *Head, from Peer, round uint64, now time.Time) {
	s.remember(from, now)
	if s.newer(h) {
		s.wantOffered(h, from, round, now)
		return
	}
	held := s.Held()
	if h.Revision < held.Revision || h.Digest() == held.Digest() {
		s.acknowledge(from, round)
	}
}

func (s *Store) wantOffered(h *Head, from Peer, round uint64, now time.Time) {
	s.want(h, &from, now)
	f := s.fetch
	if f != nil && f.head.Revision == h.Revision && f.head.Digest() == h.Digest() {
		f.await(from, round)
		return
	}
	if held := s.Held(); held != nil && held.Digest() == h.Digest() {
		s.offered = true
		s.acknowledge(from, round)
	}
}

// await notes a zone peer to acknowledge to when the fetch is complete.
func (f *fetch) await(from Peer, round uint64) {
	for i := range f.offers {
		if f.offers[i].peer.ID == from.ID {
			f.offers[i].round = round
			return
		}
	}
	f.offers = append(f.offers, asker{peer: from, round: round})
}

// acknowledge answers an offer with the highest revision held.
func (s *Store) acknowledge(to Peer, round uint64) {
	s.do(Output{Kind: SendAck, To: to, Head: s.Held(), Round: round})
}

// remember keeps an instance that offers: whoever this instance acknowledges a
// newer revision to has to wait for it too.
func (s *Store) remember(p Peer, now time.Time) {
	for i := range s.starting {
		if s.starting[i].peer.ID == p.ID {
			s.starting[i].at = now
			return
		}
	}
	if len(s.starting) < maxStarters {
		s.starting = append(s.starting, starter{peer: p, at: now})
	}
}

// Starting returns the instances that offered lately, except one.
func (s *Store) Starting(except string) []Peer {
	var peers []Peer
	for i := range s.starting {
		if s.starting[i].peer.ID != except {
			peers = append(peers, s.starting[i].peer)
		}
	}
	return peers
}

func forgetStarters(starters []starter, now time.Time) []starter {
	kept := starters[:0]
	for _, st := range starters {
		if now.Sub(st.at) < starterLife {
			kept = append(kept, st)
		}
	}
	return kept
}

// Acked takes an acknowledgement.
func (s *Store) Acked(a Ack, view View, now time.Time) {
	if a.Held > s.HeldRevision() {
		s.askHead(a.From, now)
	}
	r := s.round
	if r == nil || a.Round != r.number || a.Revision < r.head.Revision {
		return
	}
	if a.Revision == r.head.Revision && a.Digest != r.head.Digest() {
		s.refuse(&s.counters.Content, "other content for the same revision", r.head)
		return
	}
	if a.Held > r.head.Revision {
		return // The higher revision gets a round of its own.
	}
	r.row(a.From).acked = now
	if a.Synced {
		r.synced = true
	}
	for _, p := range a.Starting {
		r.waitFor(p, s.self, now)
	}
	s.advanceRound(view, now)
}

// row returns the state of a zone peer in the round.
func (r *round) row(p Peer) *offer {
	for i := range r.rows {
		if r.rows[i].to.ID == p.ID {
			return &r.rows[i]
		}
	}
	r.rows = append(r.rows, offer{to: p})
	return &r.rows[len(r.rows)-1]
}

// waitFor adds an instance that an acknowledgement named.
func (r *round) waitFor(p Peer, self string, now time.Time) {
	if p.ID == self || len(r.extra) >= maxStarters {
		return
	}
	for i := range r.extra {
		if r.extra[i].peer.ID == p.ID {
			return
		}
	}
	r.extra = append(r.extra, starter{peer: p, at: now})
}

// startRound begins to offer the held revision.
func (s *Store) startRound() {
	s.rounds++
	s.round = &round{head: s.Held(), number: s.rounds}
}

// tickRound starts a round where one is due and advances it.
func (s *Store) tickRound(view View, now time.Time) {
	held := s.Held()
	if held == nil || !view.Fresh {
		return
	}
	if s.round == nil && s.roundDue(now) {
		s.startRound()
	}
	if s.round != nil {
		s.advanceRound(view, now)
	}
}

func (s *Store) roundDue(now time.Time) bool {
	if s.active == nil || !s.standing {
		return true
	}
	if s.staged == nil {
		return false
	}
	return !s.offered || now.Sub(s.stagedAt) >= offererPatience
}

// advanceRound sends the offers that are due and completes the round when every
// instance it has to wait for has acknowledged.
func (s *Store) advanceRound(view View, now time.Time) {
	r := s.round
	if !view.Fresh {
		return
	}
	r.extra = forgetStarters(r.extra, now)
	complete := true
	for _, p := range view.ZonePeers {
		complete = s.offerTo(p, now) && complete
	}
	for i := range r.extra {
		if p := r.extra[i].peer; !hasPeer(view.ZonePeers, p.ID) {
			complete = s.offerTo(p, now) && complete
		}
	}
	if complete {
		s.complete(view, now)
	}
}

// offerTo tells whether the zone peer has acknowledged, and offers again if not.
func (s *Store) offerTo(p Peer, now time.Time) bool {
	row := s.round.row(p)
	life := now.Sub(row.acked)
	if !row.acked.IsZero() && (s.standing || life < ackLife) {
		return true
	}
	if now.Sub(row.sent) >= offerInterval {
		row.sent = now
		s.do(Output{Kind: SendOffer, To: p, Head: s.round.head, Round: s.round.number})
	}
	return false
}
