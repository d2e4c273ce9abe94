package revision

import "time"

// Timing and limits of a fetch.
const (
	// headFetchInterval is the minimum time between two requests for a head.
	headFetchInterval = 200 * time.Millisecond
	// fetchTimeout is the time without progress after which another source is
	// asked.
	fetchTimeout = 500 * time.Millisecond
	// readInterval is the minimum time between two reads of the same sections
	// from the platform.
	readInterval = 2 * time.Second
	// maxDocumentBytes is the maximum size of a document, maxSections the
	// maximum number of its sections.
	maxDocumentBytes = 4 << 20
	maxSections      = 4096
	// maxFetchTime is the age at which a fetch without progress is given up. The
	// next message or poll that names the revision starts it again.
	maxFetchTime = 10 * time.Second
)

// fetch is a revision whose sections are being collected.
type fetch struct {
	head       *Head
	sources    []Peer
	nextSource int
	// fromPlatform is set when the head of the revision was read from the
	// platform.
	fromPlatform bool
	readAt       time.Time
	startedAt    time.Time
	lastProgress time.Time
	partial      map[string][]byte
	// receivedBytes counts the bytes of sections received from peers.
	receivedBytes int
	// pendingAcks are the acknowledgements to send once the fetch is complete.
	pendingAcks []pendingAck
}

// pendingAck is a zone peer that waits for an acknowledgement in one of its
// rounds.
type pendingAck struct {
	peer  Peer
	round uint64
}

// fetchRevision starts to fetch the sections of a newer revision, or adds a
// source to the fetch under way. The source is from, or the platform if from
// is nil.
func (s *Store) fetchRevision(h *Head, from *Peer, now time.Time) {
	if h.Digest() == s.invalidDigest {
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
		s.fetch = &fetch{head: h, startedAt: now, lastProgress: now, partial: map[string][]byte{}}
	}
	f := s.fetch
	if from == nil {
		f.fromPlatform = true
		s.readSections(now)
	} else if !containsPeer(f.sources, from.ID) {
		f.sources = append(f.sources, *from)
		s.requestSections(*from, now)
	}
	s.finishFetch(now)
}

func containsPeer(peers []Peer, id string) bool {
	for i := range peers {
		if peers[i].ID == id {
			return true
		}
	}
	return false
}

// missingSections returns the sections of the fetched revision that are not
// held yet.
func (s *Store) missingSections() []HeadSection {
	var missing []HeadSection
	for _, section := range s.fetch.head.Sections {
		if _, ok := s.texts[section.Hash]; !ok {
			missing = append(missing, section)
		}
	}
	return missing
}

// readSections reads the missing sections from the platform.
func (s *Store) readSections(now time.Time) {
	f := s.fetch
	if now.Sub(f.readAt) < readInterval {
		return
	}
	f.readAt = now
	var keys []string
	for _, section := range s.missingSections() {
		keys = append(keys, SectionKey(section.Name, section.Version))
	}
	if len(keys) > 0 {
		s.emit(Output{Kind: ReadSections, Keys: keys})
	}
}

// requestSections asks a peer for the missing sections.
func (s *Store) requestSections(from Peer, now time.Time) {
	s.fetch.lastProgress = now
	for _, section := range s.missingSections() {
		offset := uint64(len(s.fetch.partial[section.Hash]))
		s.emit(Output{Kind: FetchSection, To: from, Hash: section.Hash, Offset: offset})
	}
}

// SectionRead handles the text of a section row that was read from the platform.
func (s *Store) SectionRead(text string, now time.Time) {
	s.addText(ContentHash([]byte(text)), text, now)
}

// SectionPart handles a part of a section that a peer sent.
func (s *Store) SectionPart(from Peer, hash string, offset, size uint64, data []byte, now time.Time) {
	if s.fetch == nil || !s.isMissing(hash) || size > maxDocumentBytes {
		return
	}
	received := s.fetch.partial[hash]
	if offset != uint64(len(received)) || offset+uint64(len(data)) > size || (size > 0 && len(data) == 0) {
		return
	}
	if size == 0 && hash != ContentHash(nil) {
		return // The peer no longer has the section.
	}
	s.fetch.receivedBytes += len(data)
	if s.fetch.receivedBytes > 2*maxDocumentBytes {
		return
	}
	received = append(received, data...)
	s.fetch.lastProgress = now
	if uint64(len(received)) < size {
		s.fetch.partial[hash] = received
		s.emit(Output{Kind: FetchSection, To: from, Hash: hash, Offset: uint64(len(received))})
		return
	}
	delete(s.fetch.partial, hash)
	if ContentHash(received) != hash {
		s.refuse(&s.counters.Hash, "section text does not match its hash", s.fetch.head)
		return
	}
	s.addText(hash, string(received), now)
}

// isMissing reports whether the fetched revision has a section with this hash
// that is not held yet.
func (s *Store) isMissing(hash string) bool {
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

// addText stores the text of a section that the fetched revision lacks.
func (s *Store) addText(hash, text string, now time.Time) {
	if s.fetch == nil {
		return
	}
	if !s.isMissing(hash) {
		return
	}
	s.texts[hash] = text
	s.fetch.lastProgress = now
	s.finishFetch(now)
}

// finishFetch stages the fetched revision once it is complete and valid, and
// acknowledges it to the zone peers that offered it.
func (s *Store) finishFetch(now time.Time) {
	if len(s.missingSections()) > 0 {
		return
	}
	f := s.fetch
	s.fetch = nil
	if err := s.validate(f.head); err != nil {
		s.invalidDigest = f.head.Digest()
		s.refuse(&s.counters.Invalid, err.Error(), f.head)
		return
	}
	s.stage(f.head, len(f.pendingAcks) > 0, now)
	for _, a := range f.pendingAcks {
		s.acknowledge(a.peer, a.round)
	}
}

// tickFetch asks the next source after a time without progress, and ends the
// fetch after maxFetchTime.
func (s *Store) tickFetch(now time.Time) {
	f := s.fetch
	if f == nil || now.Sub(f.lastProgress) < fetchTimeout {
		return
	}
	if now.Sub(f.startedAt) > maxFetchTime {
		s.fetch = nil
		s.removeUnusedTexts()
		return
	}
	if f.fromPlatform {
		s.readSections(now)
	}
	if len(f.sources) > 0 {
		f.nextSource++
		s.requestSections(f.sources[f.nextSource%len(f.sources)], now)
	}
}
