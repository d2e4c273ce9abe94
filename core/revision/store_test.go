package revision

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1_700_000_000, 0)

func head(r uint64, texts ...string) *Head {
	h := &Head{Revision: r}
	for i, text := range texts {
		h.Sections = append(h.Sections, HeadSection{
			Name: string(rune('a' + i)), Version: r, Hash: ContentHash([]byte(text)),
		})
	}
	return h
}

func accept(*Head) error { return nil }

// fetched makes a store receive a head and the given section texts from peer
// p.
func fetched(s *Store, h *Head, now time.Time, texts ...string) {
	s.FromPeer(h, Peer{ID: "p"}, now)
	for _, text := range texts {
		s.SectionPart(Peer{ID: "p"}, ContentHash([]byte(text)), 0, uint64(len(text)), []byte(text), now)
	}
}

func outputs(s *Store, kind Kind) []Output {
	var found []Output
	for _, o := range s.TakeOutputs() {
		if o.Kind == kind {
			found = append(found, o)
		}
	}
	return found
}

func ack(h *Head, from string, round uint64) Ack {
	return Ack{From: Peer{ID: from}, Round: round, Revision: h.Revision, Digest: h.Digest(), Held: h.Revision}
}

// started returns a store that has revision 1 active in a zone with the zone
// peer p.
func started(t *testing.T, view View) *Store {
	t.Helper()
	s := New("self", accept)
	fetched(s, head(1, "x"), t0, "x")
	s.Tick(view, t0)
	a := ack(head(1, "x"), "p", 1)
	a.Synced = true
	s.Acked(a, view, t0)
	if s.Revision() != 1 || !s.Synced() {
		t.Fatalf("revision %d, synced %v", s.Revision(), s.Synced())
	}
	s.TakeOutputs()
	return s
}

// Guards against a starting instance that activates the old revision after the
// zone activated a newer one.
func TestRoundWaitsForStarting(t *testing.T) {
	is := is.New(t)
	view := View{ZonePeers: []Peer{{ID: "p"}}, Fresh: true, FreshSince: t0}
	s := started(t, view)
	h := head(2, "y")
	fetched(s, h, t0, "y")
	s.Tick(view, t0)
	a := ack(h, "p", 2)
	a.Starting = []Peer{{ID: "n"}}
	s.Acked(a, view, t0)
	is.Equal(s.Revision(), uint64(1))
	offers := outputs(s, SendOffer)
	is.Equal(offers[len(offers)-1].To.ID, "n")
	s.Acked(ack(h, "n", 1), view, t0) // delivered late, from an older round
	is.Equal(s.Revision(), uint64(1))
	s.Acked(ack(h, "n", 2), view, t0)
	is.Equal(s.Revision(), uint64(2))
}

// Guards against a start with a revision that may be older than one that was
// active in the zone.
func TestStartNeedsEvidence(t *testing.T) {
	fresh := t0.Add(time.Second)
	cases := []struct {
		name   string
		sent   time.Time
		deaths uint64 // when the read is answered
		now    uint64 // at the start
		active bool
	}{
		{"read before the view was complete", t0, 0, 0, false},
		{"read before a zone peer died", fresh, 0, 1, false},
		{"read since", fresh, 1, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New("self", accept)
			h := head(1, "x")
			view := View{Fresh: true, FreshSince: fresh, Deaths: c.deaths}
			s.FromPlatform(h, c.sent, view, fresh)
			s.SectionRead("x", fresh)
			view.Deaths = c.now
			s.Tick(view, fresh)
			if active := s.Revision() == 1; active != c.active {
				t.Errorf("active %v", active)
			}
		})
	}
	t.Run("a zone peer that is not synced", func(t *testing.T) {
		view := View{ZonePeers: []Peer{{ID: "p"}}, Fresh: true, FreshSince: t0}
		s := New("self", accept)
		h := head(1, "x")
		fetched(s, h, t0, "x")
		s.Tick(view, t0)
		s.Acked(ack(h, "p", 1), view, t0)
		if s.Revision() != 0 {
			t.Error("started")
		}
	})
}

// Guards against accepting older revisions, other content for a known
// revision, or wrong texts from a peer.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	view := View{ZonePeers: []Peer{{ID: "p"}}, Fresh: true, FreshSince: t0}
	s := started(t, view)
	fetched(s, head(3, "y"), t0, "y")
	s.FromPeer(head(2, "z"), Peer{ID: "p"}, t0)
	s.FromPeer(head(3, "z"), Peer{ID: "p"}, t0)
	s.Offered(head(3, "z"), Peer{ID: "p"}, 7, t0)
	is.Equal(len(outputs(s, SendAck)), 0)
	fetched(s, head(4, "right"), t0)
	s.SectionPart(Peer{ID: "p"}, ContentHash([]byte("right")), 0, 5, []byte("wrong"), t0)
	is.Equal(s.HeldRevision(), uint64(3))
	is.Equal(s.Counters(), Counters{Older: 1, Content: 2, Hash: 1})

	bad := New("self", func(*Head) error { return errors.New("does not compile") })
	fetched(bad, head(1, "x"), t0, "x")
	is.Equal(bad.HeldRevision(), uint64(0))
	is.Equal(bad.Counters().Invalid, uint64(1))
}

// Guards against transferring all sections when only one has changed.
func TestOnlyChangedSections(t *testing.T) {
	is := is.New(t)
	view := View{ZonePeers: []Peer{{ID: "p"}}, Fresh: true, FreshSince: t0}
	s := started(t, view)
	s.FromPeer(head(2, "x", "new"), Peer{ID: "p"}, t0)
	fetches := outputs(s, FetchSection)
	is.Equal(len(fetches), 1)
	is.Equal(fetches[0].Hash, ContentHash([]byte("new")))
	s.FromPlatform(head(2, "x", "new"), t0, view, t0)
	reads := outputs(s, ReadSections)
	is.Equal(reads[0].Keys, []string{SectionKey("b", 2)})
}
