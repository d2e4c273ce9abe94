package revision

import (
	"time"
)

// Peer is an instance that messages can be sent to.
type Peer struct {
	ID      string
	Address string
}

// View is what the failure detector knows of the own zone.
type View struct {
	// ZonePeers are the live instances of the own zone without this one.
	ZonePeers []Peer
	// Fresh is set once the view of the zone is complete, after the start and
	// after each pause of this instance.
	Fresh bool
	// FreshSince is when Fresh was set.
	FreshSince time.Time
	// Deaths counts the instances of the zone that died or left.
	Deaths uint64
}

// Counters counts refusals by their reason.
type Counters struct {
	// Older counts heads with a revision below the highest held one.
	Older uint64
	// Content counts heads with other content for a known revision.
	Content uint64
	// Hash counts sections whose text does not have the expected hash.
	Hash uint64
	// Invalid counts revisions that failed validation.
	Invalid uint64
}

// Kind is the kind of an Output.
type Kind uint8

// Kinds of outputs.
const (
	// FetchHead asks a peer for its highest revision.
	FetchHead Kind = iota
	// FetchSection asks a peer for a part of a section.
	FetchSection
	// ReadSections reads the rows Keys from the platform.
	ReadSections
	// SendOffer offers Head to a peer.
	SendOffer
	// SendAck acknowledges Head to a peer.
	SendAck
	// Activate reports that Head is now the active revision.
	Activate
	// Refused reports a refusal, for the log.
	Refused
)

// Output is an action that the Store asks its caller to carry out.
type Output struct {
	Kind   Kind
	To     Peer
	Head   *Head
	Hash   string
	Offset uint64
	Round  uint64
	Keys   []string
	// Announce is set if this instance completed the round; the other instances of
	// the zone are notified of the activation at once.
	Announce bool
	Reason   string
}

// Store holds the revisions of one instance: the active one, and the staged one
// that is held in full but not active yet. It is not safe for concurrent use.
type Store struct {
	self string
	// validate checks a complete revision before it is staged.
	validate func(*Head) error
	active   *Head
	staged   *Head
	texts    map[string]string

	fetch *fetch
	// invalidDigest is the digest of the last revision that failed validation.
	invalidDigest string
	round         *round
	lastRound     uint64
	stagedAt      time.Time
	// stagedByOffer is set when the staged revision was offered by a zone peer,
	// which is expected to activate it.
	stagedByOffer bool
	starting      []startingPeer

	platformHead headReading
	// joined is set once a round has completed since the start or the last
	// pause, joinedAt is when. synced is set when the held revision was also
	// confirmed to be the newest.
	joined   bool
	joinedAt time.Time
	synced   bool

	headAskedAt time.Time
	counters    Counters
	outputs     []Output
}

// New returns a Store that holds nothing. The function validate checks each
// complete revision before it is staged.
func New(self string, validate func(*Head) error) *Store {
	return &Store{self: self, validate: validate, texts: map[string]string{}}
}

// Active returns the head of the active revision, or nil.
func (s *Store) Active() *Head { return s.active }

// Revision returns the active revision, or 0 if there is none.
func (s *Store) Revision() uint64 {
	if s.active == nil {
		return 0
	}
	return s.active.Revision
}

// Held returns the head of the highest revision that is held in full, or nil.
func (s *Store) Held() *Head {
	if s.staged != nil {
		return s.staged
	}
	return s.active
}

// HeldRevision returns the highest revision that is held in full, or 0 if
// there is none.
func (s *Store) HeldRevision() uint64 {
	if h := s.Held(); h != nil {
		return h.Revision
	}
	return 0
}

// Synced reports whether a starting instance may rely on this one to know the
// newest revision.
func (s *Store) Synced() bool { return s.synced }

// Counters returns the number of refusals so far.
func (s *Store) Counters() Counters { return s.counters }

// Text returns the text of the section with the given hash, if it is held.
func (s *Store) Text(hash string) (string, bool) {
	text, ok := s.texts[hash]
	return text, ok
}

// TakeOutputs returns the outputs since the last call and clears them.
func (s *Store) TakeOutputs() []Output {
	out := s.outputs
	s.outputs = nil
	return out
}

func (s *Store) emit(o Output) { s.outputs = append(s.outputs, o) }

// NeedsView reports whether Tick needs a View.
func (s *Store) NeedsView() bool {
	return s.fetch != nil || s.round != nil || s.staged != nil || !s.joined
}

// checkNewer reports whether a head is newer than the one held. It refuses and
// counts a head that is older or has other content for the same revision.
func (s *Store) checkNewer(h *Head) bool {
	held := s.Held()
	switch {
	case held == nil || h.Revision > held.Revision:
		return true
	case h.Revision < held.Revision:
		s.refuse(&s.counters.Older, "older revision", h)
	case h.Digest() != held.Digest():
		s.refuse(&s.counters.Content, "other content for the same revision", h)
	}
	return false
}

// refuse counts a refusal and reports it for the log.
func (s *Store) refuse(counter *uint64, reason string, h *Head) {
	*counter++
	s.emit(Output{Kind: Refused, Head: h, Reason: reason})
}

// FromPlatform handles the head row that a read returned; the read was sent at
// the given time.
func (s *Store) FromPlatform(h *Head, sent time.Time, view View, now time.Time) {
	s.recordPlatformHead(h, sent, view)
	if s.checkNewer(h) {
		s.fetchRevision(h, nil, now)
	}
}

// FromPeer handles a head that a peer sent.
func (s *Store) FromPeer(h *Head, from Peer, now time.Time) {
	if s.checkNewer(h) {
		s.fetchRevision(h, &from, now)
	}
}

// RevisionReported handles the active revision that each message of a peer
// states. zonePeer reports whether the peer is in the own zone.
func (s *Store) RevisionReported(from Peer, revision uint64, zonePeer bool, now time.Time) {
	if revision > s.HeldRevision() {
		s.requestHead(from, now)
		return
	}
	if s.active == nil || !zonePeer || s.staged == nil {
		return
	}
	if revision == s.staged.Revision {
		s.activate(s.staged, false)
	}
}

// requestHead asks a peer for its head, unless a fetch is making progress or
// another request was just sent.
func (s *Store) requestHead(from Peer, now time.Time) {
	if s.fetch != nil && now.Sub(s.fetch.lastProgress) < fetchTimeout {
		return
	}
	if now.Sub(s.headAskedAt) < headFetchInterval {
		return
	}
	s.headAskedAt = now
	s.emit(Output{Kind: FetchHead, To: from})
}

// stage holds a complete revision until it is activated.
func (s *Store) stage(h *Head, byOffer bool, now time.Time) {
	s.staged = h
	s.stagedAt = now
	s.stagedByOffer = byOffer
	s.round = nil
	s.removeUnusedTexts()
}

// activate makes a held revision the active one.
func (s *Store) activate(h *Head, announce bool) {
	s.active = h
	if s.staged == h {
		s.staged = nil
	}
	s.removeUnusedTexts()
	s.emit(Output{Kind: Activate, Head: h, Announce: announce})
}

// removeUnusedTexts removes the texts that no held or fetched revision uses.
func (s *Store) removeUnusedTexts() {
	used := map[string]bool{}
	heads := []*Head{s.active, s.staged}
	if s.fetch != nil {
		heads = append(heads, s.fetch.head)
	}
	for _, h := range heads {
		if h == nil {
			continue
		}
		for i := range h.Sections {
			used[h.Sections[i].Hash] = true
		}
	}
	for hash := range s.texts {
		if !used[hash] {
			delete(s.texts, hash)
		}
	}
}
