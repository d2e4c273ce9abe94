package control

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/member"
	"pistachioford.example/core/revision"
)

// Limits of reading the head row and of fetching a first document.
const (
	// fleetReadsPerSecond is the rate at which all instances together read the
	// head.
	fleetReadsPerSecond = 40.0
	minPollInterval     = 1 * time.Second
	// maxPolls bounds the polls in flight while the store is slow.
	maxPolls = 3
	// headFetchInterval is the time between two requests for a head that an
	// instance without a document sends to its zone peers.
	headFetchInterval = 500 * time.Millisecond
	// noDocumentLogInterval is the time between two log events of an instance
	// that it has no document.
	noDocumentLogInterval = 10 * time.Second
)

// documentState is what the Engine keeps of documents besides the
// revision.Store: compiled forms, the head row and the times of requests.
type documentState struct {
	active *document.Compiled
	// compiled is the last revision that was compiled, compiledDigest the
	// digest of its head.
	compiled       *document.Compiled
	compiledDigest string

	// head is the head last read and headRow the value of its row; most polls
	// find the row unchanged and need not decode it.
	head    *revision.Head
	headRow []byte

	nextPoll          time.Time
	lastHeadFetch     time.Time
	lastNoDocumentLog time.Time
}

// revisionView returns what the revision store needs to know of the zone.
func (e *Engine) revisionView() revision.View {
	view := revision.View{
		Fresh:      !e.join.completedAt.IsZero(),
		FreshSince: e.join.completedAt,
		Deaths:     e.members.Deaths(),
	}
	for _, r := range e.members.ZonePeers() {
		view.ZonePeers = append(view.ZonePeers, revisionPeer(&r))
	}
	return view
}

func (e *Engine) tickDocuments(now time.Time) {
	e.pollHead(now)
	e.fetchHeadFromZonePeers(now)
	var view revision.View
	if e.store.NeedsView() {
		view = e.revisionView()
	}
	e.store.Tick(view, now)
	e.handleStoreOutputs(now)
}

// pollInterval returns the time between two reads of the head. It grows with the
// number of live instances, so that the reads of the whole fleet are bounded.
func (e *Engine) pollInterval() time.Duration {
	fleetInterval := time.Duration(float64(e.members.LiveCount()) / fleetReadsPerSecond * float64(time.Second))
	return max(minPollInterval, fleetInterval)
}

func (e *Engine) pollHead(now time.Time) {
	d := &e.documents
	if now.Before(d.nextPoll) {
		return
	}
	jitter := 0.9 + 0.2*e.random.Float64()
	d.nextPoll = now.Add(time.Duration(float64(e.pollInterval()) * jitter))
	if e.calls.count(purposeHeadPoll) >= maxPolls {
		return
	}
	if id, ok := e.calls.startRead(purposeHeadPoll, now); ok {
		e.emit(ReadRows{ID: id, Keys: []string{revision.HeadKey}})
	}
}

func (e *Engine) headRead(now time.Time, ended call, a PlatformAnswered) {
	if a.Err != nil || len(a.Rows) != 1 || a.Rows[0].Version == 0 {
		return
	}
	d := &e.documents
	if !bytes.Equal(d.headRow, a.Rows[0].Value) {
		head, err := revision.DecodeHead(a.Rows[0].Value)
		if err != nil {
			e.log("head refused", Field{"error", err.Error()})
			return
		}
		d.head, d.headRow = head, a.Rows[0].Value
	}
	head := d.head
	e.store.FromPlatform(head, ended.sent, e.revisionView(), now)
	e.handleStoreOutputs(now)
}

// fetchHeadFromZonePeers asks zone peers for their document while this instance
// has no active one.
func (e *Engine) fetchHeadFromZonePeers(now time.Time) {
	d := &e.documents
	if e.store.Revision() != 0 {
		return
	}
	if now.Sub(d.lastNoDocumentLog) >= noDocumentLogInterval && now.Sub(e.join.started) >= aloneTimeout {
		d.lastNoDocumentLog = now
		e.log("no_document", Field{"held", strconv.FormatUint(e.store.HeldRevision(), 10)})
	}
	if now.Sub(d.lastHeadFetch) < headFetchInterval {
		return
	}
	zonePeers := e.members.ZonePeers()
	if len(zonePeers) == 0 {
		return
	}
	d.lastHeadFetch = now
	start := e.random.IntN(len(zonePeers))
	for k := 0; k < len(zonePeers) && k < requestFanout; k++ {
		e.sendToMember(&zonePeers[(start+k)%len(zonePeers)], &HeadFetch{})
	}
}

// recordPeerRevision handles the active revision that each message carries.
func (e *Engine) recordPeerRevision(now time.Time, h *Header) {
	if e.published.revisions[h.Sender.ID] != h.Revision {
		if _, known := e.members.Get(h.Sender.ID); known {
			e.published.revisions[h.Sender.ID] = h.Revision
			e.published.upToDate = false
		}
	}
	if h.Revision == 0 {
		return
	}
	e.store.RevisionReported(revisionPeer(&h.Sender), h.Revision, h.Sender.Zone == e.config.Zone, now)
	e.handleStoreOutputs(now)
}

func (e *Engine) sectionsRead(now time.Time, a PlatformAnswered) {
	if a.Err != nil {
		return
	}
	for i := range a.Rows {
		if a.Rows[i].Version == 0 {
			continue
		}
		row, err := revision.DecodeSection(a.Rows[i].Value)
		if err != nil {
			e.log("section refused", Field{"key", a.Rows[i].Key}, Field{"error", err.Error()})
			continue
		}
		e.store.SectionRead(row.Text, now)
	}
	e.handleStoreOutputs(now)
}

func (e *Engine) handleDocumentMessage(now time.Time, from *member.Record, message Message) {
	peer := revisionPeer(from)
	switch m := message.(type) {
	case *HeadFetch:
		e.sendToMember(from, &HeadAnswer{Head: e.store.Held(), Synced: e.store.Synced()})
	case *HeadAnswer:
		if m.Head != nil && m.Head.Valid() == nil {
			e.store.FromPeer(m.Head, peer, now)
		}
	case *Offer:
		if from.Zone == e.config.Zone && m.Head.Valid() == nil {
			e.store.Offered(&m.Head, peer, m.Round, now)
		}
	case *Acknowledgement:
		e.handleAcknowledgement(now, from, m)
	case *SectionFetch:
		e.serveSection(from, m)
	case *SectionAnswer:
		e.store.SectionPart(peer, m.Hash, m.Offset, m.Size, m.Data, now)
	}
	e.handleStoreOutputs(now)
}

func (e *Engine) handleAcknowledgement(now time.Time, from *member.Record, m *Acknowledgement) {
	if from.Zone != e.config.Zone {
		return
	}
	a := revision.Ack{
		From: revisionPeer(from), Round: m.Round, Revision: m.Revision, Digest: m.Digest,
		Held: m.Held, Synced: m.Synced,
	}
	for i := range m.Starting {
		if r, known := e.members.Get(m.Starting[i].ID); !known || !r.State.Removed() {
			a.Starting = append(a.Starting, revisionPeer(&m.Starting[i]))
		}
	}
	e.store.Acked(a, e.revisionView(), now)
}

func (e *Engine) serveSection(to *member.Record, m *SectionFetch) {
	text, ok := e.store.Text(m.Hash)
	if !ok || m.Offset > uint64(len(text)) {
		return
	}
	data := text[m.Offset:min(uint64(len(text)), m.Offset+MaxDataBytes)]
	e.sendToMember(to, &SectionAnswer{
		Hash: m.Hash, Offset: m.Offset, Size: uint64(len(text)), Data: []byte(data),
	})
}

func (e *Engine) handleStoreOutputs(now time.Time) {
	for _, o := range e.store.TakeOutputs() {
		switch o.Kind {
		case revision.FetchHead:
			e.sendToPeer(o.To, &HeadFetch{})
		case revision.FetchSection:
			e.sendToPeer(o.To, &SectionFetch{Hash: o.Hash, Offset: o.Offset})
		case revision.ReadSections:
			if id, ok := e.calls.startRead(purposeSections, now); ok {
				e.emit(ReadRows{ID: id, Keys: o.Keys})
			}
		case revision.SendOffer:
			e.sendToPeer(o.To, &Offer{Head: *o.Head, Round: o.Round})
		case revision.SendAck:
			e.sendAck(o)
		case revision.Activate:
			e.activate(o)
		case revision.Refused:
			e.log("revision refused", Field{"reason", o.Reason},
				Field{"revision", strconv.FormatUint(o.Head.Revision, 10)})
		}
	}
}

func (e *Engine) sendAck(o revision.Output) {
	ack := &Acknowledgement{
		Round: o.Round, Revision: o.Head.Revision, Digest: o.Head.Digest(),
		Held: e.store.HeldRevision(), Synced: e.store.Synced(),
	}
	for _, p := range e.store.Starting(o.To.ID) {
		if r, ok := e.members.Get(InstanceID(p.ID)); ok && !r.State.Removed() {
			ack.Starting = append(ack.Starting, r)
		}
	}
	e.sendToPeer(o.To, ack)
}

// compile validates a complete revision and keeps its compiled form.
func (e *Engine) compile(h *revision.Head) error {
	var sections []document.Section
	for _, s := range h.Sections {
		text, _ := e.store.Text(s.Hash)
		sections = append(sections, document.Section{Name: s.Name, Team: s.Team, Text: text})
	}
	compiled, err := e.config.Compile(h.Revision, sections)
	if err != nil {
		return singleLineError{err}
	}
	e.documents.compiled = compiled
	e.documents.compiledDigest = h.Digest()
	return nil
}

// activate makes a revision the active one and hands its compiled form to the
// daemon. The compiled form kept is normally the right one, since the highest
// held revision was compiled last and no lower revision is activated.
func (e *Engine) activate(o revision.Output) {
	if e.documents.compiledDigest != o.Head.Digest() {
		if err := e.compile(o.Head); err != nil {
			e.log("revision refused", Field{"reason", err.Error()})
			return
		}
	}
	e.documents.active = e.documents.compiled
	e.published.upToDate = false
	e.emit(ActivateDocument{Document: e.documents.active})
	if o.Announce {
		e.announce()
	}
}

// announce sends a Gossip at once to all zone peers and to one instance of each
// other zone, so that they learn of a change of this instance.
func (e *Engine) announce() {
	for _, r := range e.members.ZonePeers() {
		e.sendToMember(&r, &Gossip{})
	}
	for _, r := range e.members.OnePerZone() {
		e.sendToMember(&r, &Gossip{})
	}
}

// singleLineError is an error whose message has no line breaks, for the log.
type singleLineError struct{ error }

func (e singleLineError) Error() string { return strings.ReplaceAll(e.error.Error(), "\n", "; ") }

func (e singleLineError) Unwrap() error { return e.error }
