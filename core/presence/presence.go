// Package presence tells which instances are alive, by heartbeats that they
// send each other. It has no sockets or clocks.
//
// Heartbeats go directly between instances and not through the store: they
// then keep working while the store is away, and cost no calls.
package presence

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// Interval is the time between two heartbeats of an instance.
	Interval = 700 * time.Millisecond
	// deadAfter is four lost heartbeats; a lookup may name a dead instance for
	// at most about twice that time.
	deadAfter = 3 * time.Second
	// Pulses are the short heartbeats between two others that an instance sends
	// to its zone while callers are sent to it: few instances then serve a zone,
	// and their callers need another one soon.
	Pulses = 2
	// quickDeadAfter replaces deadAfter for those that send pulses: five lost
	// heartbeats.
	quickDeadAfter = 5 * Interval / (Pulses + 1)
	// crowdDeadAfter replaces it in a zone with more than zoneFanout others,
	// where most heartbeats come as copies.
	crowdDeadAfter = 4500 * time.Millisecond
	// zoneFanout and farFanout are the numbers of instances of the own zone and
	// of others that get one heartbeat. In a larger fleet the rest learn of it
	// from copies in later heartbeats. They bound the messages of an instance.
	zoneFanout = 12
	farFanout  = 3
	// crowdFanout replaces zoneFanout in a zone with more instances, where all
	// heartbeats carry copies.
	crowdFanout = 6
	// copies is the number of other instances' heartbeats in a message,
	// crowdCopies that within a crowded zone.
	copies      = 6
	crowdCopies = 9
	// zoneCopies is the number of heartbeats with copies in a small zone.
	zoneCopies = 2
	// copyAge is the age up to which a heartbeat is passed on.
	copyAge = 2 * Interval
	// forgetAfter removes instances that are dead.
	forgetAfter = 30 * time.Second
	// deadProbes is the number of dead instances that also get a heartbeat, so
	// that both sides of a healed partition find each other.
	deadProbes = 2
)

// Beat is the newest heartbeat of an instance.
type Beat struct {
	Name string
	Zone string
	// Requests and Peers are the addresses for requests and for heartbeats.
	Requests string
	Peers    string
	// CPU is the processor share in thousandths of a core, Link the bandwidth
	// of the instance's own link in Mbit/s.
	CPU, Link int
	// Boot orders the starts of an instance, Count the heartbeats of one boot.
	Boot  int64
	Count uint64
	// Ready says that the instance serves requests.
	Ready   bool
	Leaving bool
	// Quick says that the instance sends pulses to all others of its zone.
	Quick bool
	// Document and Registry are the versions of the newest changes known to
	// the instance.
	Document uint64
	Registry uint64
}

// newer tells whether b was sent after o.
func (b Beat) newer(o Beat) bool {
	return b.Boot > o.Boot || b.Boot == o.Boot && b.Count > o.Count
}

type row struct {
	Beat
	heard time.Time
}

// Table holds the newest heartbeat of each instance. It is not safe for
// concurrent use.
type Table struct {
	self Beat
	rows map[string]*row
	rand *rand.Rand
	// crowded is set while the own zone has more than zoneFanout others.
	crowded bool
}

// New returns the table of an instance.
func New(self Beat, seed uint64) *Table {
	return &Table{self: self, rows: map[string]*row{}, rand: rand.New(rand.NewPCG(seed, 1))}
}

// State is what an instance says of itself.
type State struct {
	Ready, Leaving bool
	// Named says that callers are sent to the instance.
	Named              bool
	Document, Registry uint64
}

func (t *Table) isLive(now time.Time, r *row) bool {
	limit := deadAfter
	switch {
	case r.Quick && r.Zone == t.self.Zone:
		limit = quickDeadAfter
	case t.crowded:
		limit = crowdDeadAfter
	}
	return now.Sub(r.heard) < limit && !r.Leaving
}

// SetState sets what the own heartbeats say.
func (t *Table) SetState(s State) {
	t.self.Ready, t.self.Leaving = s.Ready, s.Leaving
	// In a crowded zone pulses to all others would cost too much.
	t.self.Quick = s.Named && !t.crowded
	t.self.Document, t.self.Registry = s.Document, s.Registry
}

// Self returns the own newest heartbeat.
func (t *Table) Self() Beat { return t.self }

// Learn adds an instance that is known from elsewhere. It counts as dead until
// it is heard of.
func (t *Table) Learn(b Beat) {
	known := t.rows[b.Name]
	if b.Name == t.self.Name || known != nil && known.Boot >= b.Boot {
		return
	}
	if known != nil {
		known.Peers, known.CPU, known.Link = b.Peers, b.CPU, b.Link
		return
	}
	t.rows[b.Name] = &row{Beat: b}
}

// Hear takes in a heartbeat, or a copy of one. It returns true if the instance
// was not live before.
func (t *Table) Hear(now time.Time, b Beat) bool {
	if b.Name == t.self.Name || b.Name == "" {
		return false
	}
	known := t.rows[b.Name]
	if known == nil {
		known = &row{}
		t.rows[b.Name] = known
	}
	if !b.newer(known.Beat) {
		return false
	}
	wasLive := t.isLive(now, known)
	known.Beat, known.heard = b, now
	return !wasLive && t.isLive(now, known)
}

// Sending says who gets a heartbeat, and whether with copies of others.
type Sending struct {
	To string
	// Copies are the newest heartbeats of other instances.
	Copies []Beat
	// Near is set for an instance of the own zone.
	Near bool
}

// Next counts a heartbeat and returns it with those that are to get it.
func (t *Table) Next(now time.Time) (Beat, []Sending) {
	t.self.Count++
	var near, far, dead []*row
	for _, r := range t.sorted() {
		switch {
		case t.isLive(now, r) && r.Zone == t.self.Zone:
			near = append(near, r)
		case t.isLive(now, r):
			far = append(far, r)
		case !r.heard.IsZero() && now.Sub(r.heard) > forgetAfter:
			delete(t.rows, r.Name)
		default:
			dead = append(dead, r)
		}
	}
	for _, rows := range [][]*row{near, far, dead} {
		t.shuffle(rows)
	}
	ofZone := t.copiesOf(now, near, crowdCopies)
	ofAll := t.copiesOf(now, append(append([]*row(nil), near...), far...), copies)
	if len(near) <= zoneFanout && len(far) <= farFanout {
		// Each hears all others directly.
		ofZone, ofAll = nil, nil
	}
	var sendings []Sending
	t.crowded = len(near) > zoneFanout
	if t.crowded {
		near = near[:crowdFanout]
	}
	for _, r := range near {
		s := Sending{To: r.Peers, Near: true}
		switch {
		case t.crowded:
			s.Copies = ofZone
		case len(sendings) < zoneCopies:
			s.Copies = ofAll
		}
		sendings = append(sendings, s)
	}
	for _, r := range far[:min(len(far), farFanout)] {
		sendings = append(sendings, Sending{To: r.Peers, Copies: ofAll})
	}
	spare := max(deadProbes, zoneFanout+farFanout-len(sendings))
	for _, r := range dead[:min(len(dead), spare)] {
		sendings = append(sendings, Sending{To: r.Peers})
	}
	return t.self, sendings
}

// Pulse counts a short heartbeat and returns it with the addresses that are to
// get it: none unless callers are sent to this instance.
func (t *Table) Pulse(now time.Time) (Beat, []string) {
	if !t.self.Quick {
		return t.self, nil
	}
	t.self.Count++
	var to []string
	for _, r := range t.sorted() {
		if r.Zone == t.self.Zone && t.isLive(now, r) {
			to = append(to, r.Peers)
		}
	}
	return t.self, to
}

// copiesOf returns heartbeats to pass on. An old one would make a dead instance
// look alive elsewhere.
func (t *Table) copiesOf(now time.Time, rows []*row, most int) []Beat {
	rows = append([]*row(nil), rows...)
	t.shuffle(rows)
	// The newest are the least known elsewhere.
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].heard.After(rows[j].heard) })
	var others []Beat
	for _, r := range rows {
		if len(others) < most && now.Sub(r.heard) < copyAge {
			others = append(others, r.Beat)
		}
	}
	return others
}

func (t *Table) shuffle(rows []*row) {
	t.rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
}

// sorted makes the order, and so the random choices, repeatable.
func (t *Table) sorted() []*row {
	rows := make([]*row, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows
}

// Live returns the heartbeats of the live instances, this one excluded.
func (t *Table) Live(now time.Time) []Beat {
	var live []Beat
	for _, r := range t.sorted() {
		if t.isLive(now, r) {
			live = append(live, r.Beat)
		}
	}
	return live
}

// Known returns the number of other known instances, live or not.
func (t *Table) Known() int { return len(t.rows) }
