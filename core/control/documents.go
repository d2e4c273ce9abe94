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

// Figures of polling.
const (
	// fleetReads is what all instances together read of the head, per second.
	fleetReads  = 40.0
	pollMinimum = 1 * time.Second
	// maxPolls bounds the polls in flight while the store is slow.
	maxPolls = 3
	// askInterval is how often a starting instance asks its zone peers for a
	// document.
	askInterval = 500 * time.Millisecond
	// reportInterval is how often an instance without a document logs that.
	reportInterval = 10 * time.Second
)

// documents is the state of the Engine around the revision.Store.
type documents struct {
	active *document.Compiled
	// compiled is the last revision that was compiled, by its digest.
	compiled       *document.Compiled
	compiledDigest string

	// head is the last row read, headRow its value; most polls find it
	// unchanged.
	head    *revision.Head
	headRow []byte

	nextPoll time.Time
	asked    time.Time
	reported time.Time
}

// zoneView returns what the store needs to know of the zone.
func (e *Engine) zoneView() revision.View {
	view := revision.View{
		Fresh:      !e.join.fresh.IsZero(),
		FreshSince: e.join.fresh,
		Deaths:     e.members.Deaths(),
	}
	for _, r := range e.members.ZonePeers() {
		view.ZonePeers = append(view.ZonePeers, peerOf(&r))
	}
	return view
}

func (e *Engine) tickDocuments(now time.Time) {
	e.poll(now)
	e.askZonePeers(now)
	var view revision.View
	if e.store.Busy() {
		view = e.zoneView()
	}
	e.store.Tick(view, now)
	e.carryOutDocuments(now)
}

// pollInterval grows with the fleet, so that the sum of the reads is bounded.
func (e *Engine) pollInterval() time.Duration {
	fleet := time.Duration(float64(e.members.LiveCount()) / fleetReads * float64(time.Second))
	return max(pollMinimum, fleet)
}

func (e *Engine) poll(now time.Time) {
	d := &e.documents
	if now.Before(d.nextPoll) {
		return
	}
	jitter := 0.9 + 0.2*e.random.Float64()
	d.nextPoll = now.Add(time.Duration(float64(e.pollInterval()) * jitter))
	if e.calls.count(forPoll) >= maxPolls {
		return
	}
	if id, ok := e.calls.read(forPoll, now); ok {
		e.do(Read{ID: id, Keys: []string{revision.HeadKey}})
	}
}

func (e *Engine) polled(now time.Time, ended call, a PlatformAnswered) {
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
	e.store.FromPlatform(head, ended.sent, e.zoneView(), now)
	e.carryOutDocuments(now)
}

// askZonePeers asks zone peers for a document while this instance has none.
func (e *Engine) askZonePeers(now time.Time) {
	d := &e.documents
	if e.store.Revision() != 0 {
		return
	}
	if now.Sub(d.reported) >= reportInterval && now.Sub(e.join.since) >= aloneTime {
		d.reported = now
		e.log("no_document", Field{"held", strconv.FormatUint(e.store.HeldRevision(), 10)})
	}
	if now.Sub(d.asked) < askInterval {
		return
	}
	zonePeers := e.members.ZonePeers()
	if len(zonePeers) == 0 {
		return
	}
	d.asked = now
	start := e.random.IntN(len(zonePeers))
	for k := 0; k < len(zonePeers) && k < seedsAtOnce; k++ {
		e.reply(&zonePeers[(start+k)%len(zonePeers)], &HeadFetch{})
	}
}

// heardRevision takes the active revision that each message carries.
func (e *Engine) heardRevision(now time.Time, h *Header) {
	if e.shown.active[h.Sender.ID] != h.Revision {
		if _, known := e.members.Get(h.Sender.ID); known {
			e.shown.active[h.Sender.ID] = h.Revision
			e.shown.once = false
		}
	}
	if h.Revision == 0 {
		return
	}
	e.store.Heard(peerOf(&h.Sender), h.Revision, h.Sender.Zone == e.config.Zone, now)
	e.carryOutDocuments(now)
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
		e.store.Row(row.Text, now)
	}
	e.carryOutDocuments(now)
}

func (e *Engine) receiveDocument(now time.Time, from *member.Record, message Message) {
	peer := peerOf(from)
	switch m := message.(type) {
	case *HeadFetch:
		e.reply(from, &HeadAnswer{Head: e.store.Held(), Synced: e.store.Synced()})
	case *HeadAnswer:
		if m.Head != nil && m.Head.Valid() == nil {
			e.store.FromPeer(m.Head, peer, now)
		}
	case *Offer:
		if from.Zone == e.config.Zone && m.Head.Valid() == nil {
			e.store.Offered(&m.Head, peer, m.Round, now)
		}
	case *Acknowledgement:
		e.acknowledged(now, from, m)
	case *SectionFetch:
		e.answerSection(from, m)
	case *SectionAnswer:
		e.store.Part(peer, m.Hash, m.Offset, m.Size, m.Data, now)
	}
	e.carryOutDocuments(now)
}

func (e *Engine) acknowledged(now time.Time, from *member.Record, m *Acknowledgement) {
	if from.Zone != e.config.Zone {
		return
	}
	a := revision.Ack{
		From: peerOf(from), Round: m.Round, Revision: m.Revision, Digest: m.Digest,
		Held: m.Held, Synced: m.Synced,
	}
	for i := range m.Starting {
		if r, known := e.members.Get(m.Starting[i].ID); !known || !r.State.Gone() {
			a.Starting = append(a.Starting, peerOf(&m.Starting[i]))
		}
	}
	e.store.Acked(a, e.zoneView(), now)
}

func (e *Engine) answerSection(to *member.Record, m *SectionFetch) {
	text, ok := e.store.Text(m.Hash)
	if !ok || m.Offset > uint64(len(text)) {
		return
	}
	data := text[m.Offset:min(uint64(len(text)), m.Offset+MaxData)]
	e.reply(to, &SectionAnswer{
		Hash: m.Hash, Offset: m.Offset, Size: uint64(len(text)), Data: []byte(data),
	})
}

func (e *Engine) carryOutDocuments(now time.Time) {
	for _, o := range e.store.Take() {
		switch o.Kind {
		case revision.FetchHead:
			e.sendPeer(o.To, &HeadFetch{})
		case revision.FetchSection:
			e.sendPeer(o.To, &SectionFetch{Hash: o.Hash, Offset: o.Offset})
		case revision.ReadSections:
			if id, ok := e.calls.read(forSections, now); ok {
				e.do(Read{ID: id, Keys: o.Keys})
			}
		case revision.SendOffer:
			e.sendPeer(o.To, &Offer{Head: *o.Head, Round: o.Round})
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
		if r, ok := e.members.Get(InstanceID(p.ID)); ok && !r.State.Gone() {
			ack.Starting = append(ack.Starting, r)
		}
	}
	e.sendPeer(o.To, ack)
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
		return oneLine{err}
	}
	e.documents.compiled = compiled
	e.documents.compiledDigest = h.Digest()
	return nil
}

// activate hands the compiled revision out. The revision held was compiled last
// and nothing lower is activated, so the kept form is the one wanted.
func (e *Engine) activate(o revision.Output) {
	if e.documents.compiledDigest != o.Head.Digest() {
		if err := e.compile(o.Head); err != nil {
			e.log("revision refused", Field{"reason", err.Error()})
			return
		}
	}
	e.documents.active = e.documents.compiled
	e.shown.once = false
	e.do(ActivateDocument{Document: e.documents.active})
	if o.Announce {
		e.announce()
	}
}

// announce tells the zone and one instance of each other zone at once.
func (e *Engine) announce() {
	for _, r := range e.members.ZonePeers() {
		e.reply(&r, &Gossip{})
	}
	for _, r := range e.members.OnePerZone() {
		e.reply(&r, &Gossip{})
	}
}

// oneLine is an error whose message has no line ends, for the log.
type oneLine struct{ error }

func (o oneLine) Error() string { return strings.ReplaceAll(o.error.Error(), "\n", "; ") }

func (o oneLine) Unwrap() error { return o.error }
