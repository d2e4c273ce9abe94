package route

import (
	"math/rand/v2"
	"time"

	"pistachioford.example/core/document"
)

// Row names one target in a Table. It stays valid across changes of the
// document until the target is gone and its last exchange has ended.
type Row int32

// target is one row: its identity, the owned slots and what was measured. What
// each choice reads comes first, on one or two cache lines.
type target struct {
	owned    uint16
	inFlight uint16
	leaving  bool
	draining bool
	ejected  bool
	// refusals counts refused connections in a row; down is set when they mean
	// that no process listens, until the next probe.
	down      bool
	refusals  uint8
	probing   time.Duration // the last wait before a probe
	coldSince time.Time     // zero if warm
	nextStart time.Time     // earliest next start while cold

	latency  float64 // nanoseconds; 0 if unknown
	failures float64 // moving share of failed exchanges
	sheds    float64 // moving share of shed exchanges
	load     float64
	loadAt   time.Time

	id    document.TargetID
	group document.GroupID
	// present is false when the document no longer lists the target.
	present bool
	crashed bool
	samples uint32
	// beforeCrash is the share of failures before the first crash that a
	// suspected request caused; valid while crashed is set.
	beforeCrash float64
	lastSeen    time.Time // last sample of the latency
	lastEnd     time.Time // last exchange that counted
	probeAt     time.Time

	ejectedUntil time.Time
	ejectedAt    time.Time
	ejections    uint8

	name    string
	address string
}

// group lists the rows of one group in the zone and what holds for all of them.
type group struct {
	rows []Row
	// median is the median latency of the measured targets.
	median float64
	// coldShare is the part of the usable owned slots that is cold.
	coldShare float64
	// recent and usual are a fast and a slow average of the group's latency.
	recent, usual float64
}

// Table holds the targets of the instance's own zone.
type Table struct {
	targets []target
	groups  []group
	byName  map[string]Row
	byID    map[document.TargetID]Row
	random  *rand.Rand

	configured bool
	judgedAt   time.Time
	candidates []Row
	sorted     []float64
	ejections  []Ejection
}

// New returns an empty Table; seed makes its choices repeatable.
func New(seed uint64) *Table {
	return &Table{
		byName: map[string]Row{},
		byID:   map[document.TargetID]Row{},
		random: rand.New(rand.NewPCG(seed, 0)),
	}
}

// Configure takes the targets of one zone from a document. Targets keep what
// was measured; those added after the first document count as cold. Owned
// slots are recomputed for the shards held.
func (t *Table) Configure(now time.Time, doc *document.Compiled, zone document.ZoneID) {
	for i := range t.targets {
		t.targets[i].present = false
	}
	clear(t.byID)
	t.resizeGroups(len(doc.Groups))
	for g := range doc.Groups {
		if int(zone) < len(doc.Groups[g].Targets) {
			t.configureGroup(now, doc, document.GroupID(g), doc.Groups[g].Targets[zone])
		}
	}
	t.dropUnused()
	t.configured = true
}

func (t *Table) resizeGroups(count int) {
	for len(t.groups) < count {
		t.groups = append(t.groups, group{})
	}
	t.groups = t.groups[:count]
	for g := range t.groups {
		t.groups[g].rows = t.groups[g].rows[:0]
	}
}

func (t *Table) configureGroup(now time.Time, doc *document.Compiled, g document.GroupID, ids []document.TargetID) {
	for _, id := range ids {
		row := t.rowFor(now, &doc.Targets[id])
		r := &t.targets[row]
		r.id, r.group, r.present = id, g, true
		if r.draining && !doc.Targets[id].Draining {
			r.coldSince = now
		}
		r.draining = doc.Targets[id].Draining
		t.byID[id] = row
		t.groups[g].rows = append(t.groups[g].rows, row)
	}
}

// rowFor finds the row of a target by its name, by which slots are owned.
func (t *Table) rowFor(now time.Time, d *document.Target) Row {
	row, found := t.byName[d.Name]
	if !found {
		row = t.freeRow()
		t.targets[row] = target{name: d.Name, address: d.Address}
		t.byName[d.Name] = row
	}
	r := &t.targets[row]
	if found && r.address != d.Address {
		*r = target{name: d.Name, address: d.Address, owned: r.owned, inFlight: r.inFlight}
	}
	if t.configured && r.samples == 0 {
		r.coldSince = now
	}
	return row
}

func (t *Table) freeRow() Row {
	for i := range t.targets {
		if t.targets[i].name == "" {
			return Row(i)
		}
	}
	t.targets = append(t.targets, target{})
	return Row(len(t.targets) - 1)
}

// dropUnused frees the rows of targets that are gone and have no exchange left.
func (t *Table) dropUnused() {
	for i := range t.targets {
		r := &t.targets[i]
		if r.present || r.name == "" {
			continue
		}
		r.owned = 0
		if r.inFlight == 0 {
			delete(t.byName, r.name)
			*r = target{}
		}
	}
}

// SetOwned states how many slots of a target this instance owns.
func (t *Table) SetOwned(id document.TargetID, slots uint16) {
	if row, ok := t.byID[id]; ok {
		t.targets[row].owned = slots
	}
}

// Find returns the row of a target in the zone.
func (t *Table) Find(id document.TargetID) (Row, bool) {
	row, ok := t.byID[id]
	return row, ok
}

// ID returns the target of a row in the current document.
func (t *Table) ID(row Row) (document.TargetID, bool) {
	r := &t.targets[row]
	return r.id, r.present
}
