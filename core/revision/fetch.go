package revision

import "time"

// Limits of a fetch.
const (
	headInterval = 200 * time.Millisecond
	// fetchTimeout is the time without progress after which another source is
	// asked.
	fetchTimeout = 500 * time.Millisecond
	// platformInterval is the time between two reads of the same sections.
	platformInterval = 2 * time.Second
	// maxDocument is the limit of a document in bytes, maxSections that of its
	// sections.
	maxDocument = 4 << 20
	maxSections = 4096
	// giveUp drops a revision that no source delivers; the next message or poll
	// that names it starts again.
	giveUp = 10 * time.Second
)

// fetch is a revision whose sections are being collected.
type fetch struct {
	head    *Head
	sources []Peer
	next    int
	// platform is set when the platform named the revision.
	platform bool
	readAt   time.Time
	started  time.Time
	progress time.Time
	partial  map[string][]byte
	// bytes counts what was received for the revision.
	bytes int
	// offers are the zone peers that wait for an acknowledgement.
	offers []asker
}

// asker is a zone peer that waits for an acknowledgement in one of its rounds.
type asker struct {
	peer  Peer
	round uint64
}

// want starts to collect a newer revision; from is nil for the platform.
func (s *Store) want(h *Head, from *Peer, now time.Time) {
	if h.Digest() == s.invalid {
		return
	}
	if s.fetch != nil && s.fetch.head.Revision > h.Revision {
		return
	}
	if s.fetch != nil && s.fetch.head.Revision == h.Revision && s.fetch.head.Digest() != h.Digest() {
		s.refuse(&s.counters.Content, "other content for the same revision", h)
		return
	}
	if s.fetch == nil || s.fetch.head.Revision < h.Revision {
		s.fetch = &fetch{head: h, started: now, progress: now, partial: map[string][]byte{}}
	}
	f := s.fetch
	if from == nil {
		f.platform = true
		s.readSections(now)
	} else if !hasPeer(f.sources, from.ID) {
		f.sources = append(f.sources, *from)
		s.askSections(*from, now)
	}
	s.finishFetch(now)
}

func hasPeer(peers []Peer, id string) bool {
	for i := range peers {
		if peers[i].ID == id {
			return true
		}
	}
	return false
}

// missing returns the sections of the wanted revision that are not held yet.
func (s *Store) missing() []HeadSection {
	var missing []HeadSection
	for _, section := range s.fetch.head.Sections {
		if _, ok := s.texts[section.Hash]; !ok {
			missing = append(missing, section)
		}
	}
	return missing
}

func (s *Store) readSections(now time.Time) {
	f := s.fetch
	if now.Sub(f.readAt) < platformInterval {
		return
	}
	f.readAt = now
	var keys []string
	for _, section := range s.missing() {
		keys = append(keys, SectionKey(section.Name, section.Version))
	}
	if len(keys) > 0 {
		s.do(Output{Kind: ReadSections, Keys: keys})
	}
}

func (s *Store) askSections(from Peer, now time.Time) {
	s.fetch.progress = now
	for _, section := range s.missing() {
		offset := uint64(len(s.fetch.partial[section.Hash]))
		s.do(Output{Kind: FetchSection, To: from, Hash: section.Hash, Offset: offset})
	}
}

// Row takes the text of a section row of the platform.
func (s *Store) Row(text string, now time.Time) {
	s.text(ContentHash([]byte(text)), text, now)
}

// Part takes a part of a section from a peer.
func (s *Store) Part(from Peer, hash string, offset, size uint64, data []byte, now time.Time) {
	if s.fetch == nil || !s.wanted(hash) || size > maxDocument {
		return
	}
	have := s.fetch.partial[hash]
	if offset != uint64(len(have)) || offset+uint64(len(data)) > size || (size > 0 && len(data) == 0) {
		return
	}
	if size == 0 && hash != ContentHash(nil) {
		return // The peer no longer has the section.
	}
	s.fetch.bytes += len(data)
	if s.fetch.bytes > 2*maxDocument {
		return
	}
	have = append(have, data...)
	s.fetch.progress = now
	if uint64(len(have)) < size {
		s.fetch.partial[hash] = have
		s.do(Output{Kind: FetchSection, To: from, Hash: hash, Offset: uint64(len(have))})
		return
	}
	delete(s.fetch.partial, hash)
	if ContentHash(have) != hash {
		s.refuse(&s.counters.Hash, "section does not have its hash", s.fetch.head)
		return
	}
	s.text(hash, string(have), now)
}

// wanted tells whether the section is missing in the wanted revision.
func (s *Store) wanted(hash string) bool {
	if _, ok := s.texts[hash]; ok {
		return false
	}
	for i := range s.fetch.head.Sections {
		if s.fetch.head.Sections[i].Hash == hash {
			return true
		}
	}
	return false
}

func (s *Store) text(hash, text string, now time.Time) {
	if s.fetch == nil {
		return
	}
	if !s.wanted(hash) {
		return
	}
	s.texts[hash] = text
	s.fetch.progress = now
	s.finishFetch(now)
}

// finishFetch stages the wanted revision once it is complete.
func (s *Store) finishFetch(now time.Time) {
	if len(s.missing()) > 0 {
		return
	}
	f := s.fetch
	s.fetch = nil
	if err := s.check(f.head); err != nil {
		s.invalid = f.head.Digest()
		s.refuse(&s.counters.Invalid, err.Error(), f.head)
		return
	}
	s.stage(f.head, len(f.offers) > 0, now)
	for _, a := range f.offers {
		s.acknowledge(a.peer, a.round)
	}
}

// tickFetch asks another source after a time without progress.
func (s *Store) tickFetch(now time.Time) {
	f := s.fetch
	if f == nil || now.Sub(f.progress) < fetchTimeout {
		return
	}
	if now.Sub(f.started) > giveUp {
		s.fetch = nil
		s.dropTexts()
		return
	}
	if f.platform {
		s.readSections(now)
	}
	if len(f.sources) > 0 {
		f.next++
		s.askSections(f.sources[f.next%len(f.sources)], now)
	}
}
