package revision

import "time"

// Timing and limits of a round.
const (
	// offerInterval is the time between two offers to an instance that has not
	// acknowledged.
	offerInterval = 300 * time.Millisecond
	// offererTimeout is how long an instance waits for the zone peer that
	// offered a revision to activate it, before it offers the revision itself.
	offererTimeout = 1500 * time.Millisecond
	// maxAckAge is how long an acknowledgement to a starting instance is valid,
	// startingTimeout how long the acknowledging instance remembers the starting
	// one. The second is longer, so that whoever activates a newer revision
	// still waits for the starting instance.
	maxAckAge       = 2 * time.Second
	startingTimeout = 5 * time.Second
	// maxStarting bounds the starting instances in one acknowledgement.
	maxStarting = 64
)

// round offers one held revision to all live instances of the zone.
type round struct {
	head *Head
	// number distinguishes the acknowledgements of this round from those of
	// earlier ones, which may be delivered late after this instance was paused.
	number uint64
	offers []peerOffer
	// starting are instances that acknowledgements named and that have to
	// acknowledge too.
	starting []startingPeer
	// synced is set when a synced instance acknowledged without holding a higher
	// revision.
	synced bool
}

// peerOffer is the state of a round's offer to one instance.
type peerOffer struct {
	to      Peer
	sentAt  time.Time
	ackedAt time.Time
}

// startingPeer is an instance that recently offered a revision and may activate
// it. notedAt is when its offer, or an acknowledgement that names it, arrived.
type startingPeer struct {
	peer    Peer
	notedAt time.Time
}

// Ack is an acknowledgement of an offer.
type Ack struct {
	From     Peer
	Round    uint64
	Revision uint64
	Digest   string
	// Held is the highest revision that the sender holds in full.
	Held     uint64
	Synced   bool
	Starting []Peer
}

// Offered handles the offer of a zone peer.
func (s *Store) Offered(h *Head, from Peer, round uint64, now time.Time) {
	s.addStarting(from, now)
	if s.checkNewer(h) {
		s.fetchOffered(h, from, round, now)
		return
	}
	held := s.Held()
	if h.Revision < held.Revision || h.Digest() == held.Digest() {
		s.acknowledge(from, round)
	}
}

// fetchOffered fetches an offered revision and acknowledges it once it is
// held.
func (s *Store) fetchOffered(h *Head, from Peer, round uint64, now time.Time) {
	s.fetchRevision(h, &from, now)
	f := s.fetch
	if f != nil && f.head.Revision == h.Revision && f.head.Digest() == h.Digest() {
		f.addPendingAck(from, round)
		return
	}
	if held := s.Held(); held != nil && held.Digest() == h.Digest() {
		s.stagedByOffer = true
		s.acknowledge(from, round)
	}
}

// addPendingAck notes a zone peer to acknowledge to when the fetch is
// complete.
func (f *fetch) addPendingAck(from Peer, round uint64) {
	for i := range f.pendingAcks {
		if f.pendingAcks[i].peer.ID == from.ID {
			f.pendingAcks[i].round = round
			return
		}
	}
	f.pendingAcks = append(f.pendingAcks, pendingAck{peer: from, round: round})
}

// acknowledge answers an offer with the highest revision held.
func (s *Store) acknowledge(to Peer, round uint64) {
	s.emit(Output{Kind: SendAck, To: to, Head: s.Held(), Round: round})
}

// addStarting remembers an instance that offered a revision. Instances to
// which this one acknowledges a newer revision have to wait for it too.
func (s *Store) addStarting(p Peer, now time.Time) {
	for i := range s.starting {
		if s.starting[i].peer.ID == p.ID {
			s.starting[i].notedAt = now
			return
		}
	}
	if len(s.starting) < maxStarting {
		s.starting = append(s.starting, startingPeer{peer: p, notedAt: now})
	}
}

// Starting returns the instances that recently offered a revision, except one.
func (s *Store) Starting(except string) []Peer {
	var peers []Peer
	for i := range s.starting {
		if s.starting[i].peer.ID != except {
			peers = append(peers, s.starting[i].peer)
		}
	}
	return peers
}

// removeExpired removes the instances that were noted longer ago than
// startingTimeout.
func removeExpired(peers []startingPeer, now time.Time) []startingPeer {
	kept := peers[:0]
	for _, st := range peers {
		if now.Sub(st.notedAt) < startingTimeout {
			kept = append(kept, st)
		}
	}
	return kept
}

// Acked handles an acknowledgement.
func (s *Store) Acked(a Ack, view View, now time.Time) {
	if a.Held > s.HeldRevision() {
		s.requestHead(a.From, now)
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
	r.offerFor(a.From).ackedAt = now
	if a.Synced {
		r.synced = true
	}
	for _, p := range a.Starting {
		r.addStarting(p, s.self, now)
	}
	s.advanceRound(view, now)
}

// offerFor returns the state of the offer to an instance.
func (r *round) offerFor(p Peer) *peerOffer {
	for i := range r.offers {
		if r.offers[i].to.ID == p.ID {
			return &r.offers[i]
		}
	}
	r.offers = append(r.offers, peerOffer{to: p})
	return &r.offers[len(r.offers)-1]
}

// addStarting adds an instance that an acknowledgement named and that has to
// acknowledge too.
func (r *round) addStarting(p Peer, self string, now time.Time) {
	if p.ID == self || len(r.starting) >= maxStarting {
		return
	}
	for i := range r.starting {
		if r.starting[i].peer.ID == p.ID {
			return
		}
	}
	r.starting = append(r.starting, startingPeer{peer: p, notedAt: now})
}

// startRound starts a round with the highest revision held.
func (s *Store) startRound() {
	s.lastRound++
	s.round = &round{head: s.Held(), number: s.lastRound}
}

// tickRound starts a round if one is due and advances it.
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

// roundDue reports whether this instance has to offer the revision that it
// holds: after a start or a pause, and when a revision is staged, unless a
// zone peer offered it and offererTimeout has not passed.
func (s *Store) roundDue(now time.Time) bool {
	if s.active == nil || !s.joined {
		return true
	}
	if s.staged == nil {
		return false
	}
	return !s.stagedByOffer || now.Sub(s.stagedAt) >= offererTimeout
}

// advanceRound sends the offers that are due, and completes the round when
// every instance that it has to wait for has acknowledged.
func (s *Store) advanceRound(view View, now time.Time) {
	r := s.round
	if !view.Fresh {
		return
	}
	r.starting = removeExpired(r.starting, now)
	complete := true
	for _, p := range view.ZonePeers {
		complete = s.offerTo(p, now) && complete
	}
	for i := range r.starting {
		if p := r.starting[i].peer; !containsPeer(view.ZonePeers, p.ID) {
			complete = s.offerTo(p, now) && complete
		}
	}
	if complete {
		s.completeRound(view, now)
	}
}

// offerTo reports whether the instance has acknowledged. If not, it sends the
// offer every offerInterval.
func (s *Store) offerTo(p Peer, now time.Time) bool {
	offer := s.round.offerFor(p)
	ackAge := now.Sub(offer.ackedAt)
	if !offer.ackedAt.IsZero() && (s.joined || ackAge < maxAckAge) {
		return true
	}
	if now.Sub(offer.sentAt) >= offerInterval {
		offer.sentAt = now
		s.emit(Output{Kind: SendOffer, To: p, Head: s.round.head, Round: s.round.number})
	}
	return false
}
