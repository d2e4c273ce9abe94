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
	// fanout is the number of instances that get one heartbeat. In a larger
	// fleet the others learn of it from copies in later heartbeats.
	fanout = 14
	// copies is the number of other instances' heartbeats in a message.
	copies = 8
	// forgetAfter removes instances that are dead.
	forgetAfter = 30 * time.Second
	// deadProbes is the number of dead instances that also get a heartbeat, so
	// that both sides of a healed partition find each other.
	deadProbes = 2
)

// Beat is the newest heartbeat of an instance.
type Beat struct {
	Name string `json:"n"`
	Zone string `json:"z"`
	// Requests and Peers are the addresses for requests and for heartbeats.
	Requests string `json:"r"`
	Peers    string `json:"p"`
	// Boot orders the starts of an instance, Count the heartbeats of one boot.
	Boot  int64  `json:"b"`
	Count uint64 `json:"c"`
	// Ready says that the instance serves requests.
	Ready   bool `json:"ok"`
	Leaving bool `json:"l,omitempty"`
	// Document and Registry are the versions of the newest changes known to
	// the instance.
	Document uint64 `json:"d"`
	Registry uint64 `json:"g"`
}

// newer tells whether b was sent after o.
func (b Beat) newer(o Beat) bool {
	return b.Boot > o.Boot || b.Boot == o.Boot && b.Count > o.Count
}

type row struct {
	Beat
	heard time.Time
}

func (r *row) live(now time.Time) bool { return now.Sub(r.heard) < deadAfter && !r.Leaving }

// Table holds the newest heartbeat of each instance. It is not safe for
// concurrent use.
type Table struct {
	self Beat
	rows map[string]*row
	rand *rand.Rand
}

// New returns the table of an instance.
func New(self Beat, seed uint64) *Table {
	return &Table{self: self, rows: map[string]*row{}, rand: rand.New(rand.NewPCG(seed, 1))}
}

// State is what an instance says of itself.
type State struct {
	Ready, Leaving     bool
	Document, Registry uint64
}

// SetState sets what the own heartbeats say.
func (t *Table) SetState(s State) {
	t.self.Ready, t.self.Leaving = s.Ready, s.Leaving
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
		known.Peers = b.Peers
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
	wasLive := known.live(now)
	known.Beat, known.heard = b, now
	return !wasLive && known.live(now)
}

// Next counts a heartbeat and returns it with copies of others, and the
// addresses to send it to.
func (t *Table) Next(now time.Time) (own Beat, others []Beat, to []string) {
	t.self.Count++
	var live, dead []*row
	for _, r := range t.sorted() {
		switch {
		case r.live(now):
			live = append(live, r)
		case !r.heard.IsZero() && now.Sub(r.heard) > forgetAfter:
			delete(t.rows, r.Name)
		default:
			dead = append(dead, r)
		}
	}
	t.shuffle(live)
	t.shuffle(dead)
	for _, r := range live[:min(len(live), fanout)] {
		to = append(to, r.Peers)
	}
	for _, r := range dead[:min(len(dead), max(deadProbes, fanout-len(to)))] {
		to = append(to, r.Peers)
	}
	if len(live) > fanout {
		for _, r := range live[len(live)-copies:] {
			others = append(others, r.Beat)
		}
	}
	return t.self, others, to
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
		if r.live(now) {
			live = append(live, r.Beat)
		}
	}
	return live
}

// Names returns the names of all known instances, live or not.
func (t *Table) Names() []string {
	names := make([]string, 0, len(t.rows))
	for name := range t.rows {
		names = append(names, name)
	}
	return names
}
