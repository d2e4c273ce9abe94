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
	// Fresh tells that the view was compared with another instance since the
	// start or the last pause of this instance.
	Fresh bool
	// FreshSince is when it became fresh.
	FreshSince time.Time
	// Deaths counts the instances of the zone that went away.
	Deaths uint64
}

// Counters count refusals.
type Counters struct {
	// Older counts heads with a revision below the highest held one.
	Older uint64
	// Content counts heads with other content for a known revision.
	Content uint64
	// Hash counts sections whose text does not have the wanted hash.
	Hash uint64
	// Invalid counts revisions that do not compile.
	Invalid uint64
}

// Kind tells what an Output asks for.
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
	// Activate makes Head the active revision.
	Activate
	// Refused reports a refusal, for the log.
	Refused
)

// Output is one thing that the Store wants done.
type Output struct {
	Kind   Kind
	To     Peer
	Head   *Head
	Hash   string
	Offset uint64
	Round  uint64
	Keys   []string
	// Announce is set for an activation that this instance decided; the other
	// instances of the zone learn of it at once.
	Announce bool
	Reason   string
}

// Store holds the revisions of one instance. It is not safe for concurrent use.
type Store struct {
	self string
	// check validates a complete revision before it is held.
	check  func(*Head) error
	active *Head
	staged *Head
	texts  map[string]string

	fetch *fetch
	// invalid is the digest of the last revision that did not compile.
	invalid  string
	round    *round
	rounds   uint64
	stagedAt time.Time
	// offered is set when the staged revision came by the offer of a zone peer,
	// which is expected to activate it.
	offered  bool
	starting []starter

	evidence evidence
	standing bool
	stood    time.Time
	synced   bool

	askedHead time.Time
	counters  Counters
	out       []Output
}

// New returns a Store that holds nothing; check validates a complete revision.
func New(self string, check func(*Head) error) *Store {
	return &Store{self: self, check: check, texts: map[string]string{}}
}

// Active returns the active revision's head, or nil.
func (s *Store) Active() *Head { return s.active }

// Revision returns the active revision, 0 for none.
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

// HeldRevision returns the highest revision held, 0 for none.
func (s *Store) HeldRevision() uint64 {
	if h := s.Held(); h != nil {
		return h.Revision
	}
	return 0
}

// Synced tells whether this instance may be a source for a starting one.
func (s *Store) Synced() bool { return s.synced }

// Counters returns the refusals so far.
func (s *Store) Counters() Counters { return s.counters }

// Text returns the text of a section by its hash.
func (s *Store) Text(hash string) (string, bool) {
	text, ok := s.texts[hash]
	return text, ok
}

// Take returns the outputs since the last call.
func (s *Store) Take() []Output {
	out := s.out
	s.out = nil
	return out
}

func (s *Store) do(o Output) { s.out = append(s.out, o) }

// Busy tells whether Tick needs a view.
func (s *Store) Busy() bool {
	return s.fetch != nil || s.round != nil || s.staged != nil || !s.standing
}

// newer compares a head with what is held, counts refusals, and tells whether
// the head is newer.
func (s *Store) newer(h *Head) bool {
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

func (s *Store) refuse(counter *uint64, reason string, h *Head) {
	*counter++
	s.do(Output{Kind: Refused, Head: h, Reason: reason})
}

// FromPlatform takes the head row that a read returned.
func (s *Store) FromPlatform(h *Head, sent time.Time, view View, now time.Time) {
	s.confirm(h, sent, view)
	if s.newer(h) {
		s.want(h, nil, now)
	}
}

// FromPeer takes a head that a peer answered.
func (s *Store) FromPeer(h *Head, from Peer, now time.Time) {
	if s.newer(h) {
		s.want(h, &from, now)
	}
}

// Heard takes the active revision that a peer put into a message; zone peer tells
// that the peer is in the own zone.
func (s *Store) Heard(from Peer, revision uint64, zonePeer bool, now time.Time) {
	if revision > s.HeldRevision() {
		s.askHead(from, now)
		return
	}
	if s.active == nil || !zonePeer || s.staged == nil {
		return
	}
	if revision == s.staged.Revision {
		s.activate(s.staged, false)
	}
}

// askHead asks a peer for its head, unless a fetch or a question is under way.
func (s *Store) askHead(from Peer, now time.Time) {
	if s.fetch != nil && now.Sub(s.fetch.progress) < fetchTimeout {
		return
	}
	if now.Sub(s.askedHead) < headInterval {
		return
	}
	s.askedHead = now
	s.do(Output{Kind: FetchHead, To: from})
}

// stage keeps a revision whose texts are complete.
func (s *Store) stage(h *Head, offered bool, now time.Time) {
	s.staged = h
	s.stagedAt = now
	s.offered = offered
	s.round = nil
	s.dropTexts()
}

// activate makes a held revision the active one.
func (s *Store) activate(h *Head, announce bool) {
	s.active = h
	if s.staged == h {
		s.staged = nil
	}
	s.dropTexts()
	s.do(Output{Kind: Activate, Head: h, Announce: announce})
}

// dropTexts forgets the texts that no held or wanted revision uses.
func (s *Store) dropTexts() {
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
