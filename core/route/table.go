package route

import (
	"math/rand/v2"
	"time"

	"pistachioford.example/core/document"
)

// Row identifies a target in a Table. It stays valid across changes of the
// document until the target is removed and its last exchange has ended.
type Row int32

// target is one row of a Table: the identity of a target, its owned slots and
// its measurements. The fields that each choice reads come first, so that they
// share one or two cache lines.
type target struct {
	owned    uint16 // slots of the target that this instance may use
	inFlight uint16
	leaving  bool // set by MarkLeaving until ClearLeaving
	draining bool // set by the document
	ejected  bool
	// down is set while the target is out of service because it refused
	// refusalsUntilDown connections in a row, until the next probe.
	down       bool
	refusals   uint8         // refused connections in a row
	probeDelay time.Duration // last delay before a probe; zero if not probed
	coldSince  time.Time     // start of the slow start; zero if warm
	nextStart  time.Time     // earliest next request while cold

	latency      float64 // nanoseconds; 0 if unknown
	failureRate  float64 // moving average of failed exchanges, 0 to 1
	shedRate     float64 // moving average of shed exchanges, 0 to 1
	reportedLoad float64
	reportedAt   time.Time

	id    document.TargetID
	group document.GroupID
	// present reports whether the document lists the target.
	present bool
	crashed bool // set by a crash until the next success
	samples uint32
	// failureRateBeforeCrash is the failure rate before the first crash since
	// the last success; valid while crashed is set.
	failureRateBeforeCrash float64
	lastLatencyAt          time.Time // time of the last latency sample
	lastOutcomeAt          time.Time // time of the last outcome other than Ignored
	probeAt                time.Time

	ejectedUntil  time.Time
	ejectedAt     time.Time
	ejectionLevel uint8 // number of doublings of the next ejection

	name    string
	address string
}

// group holds the rows of one group in the zone and the measurements that
// concern all of them.
type group struct {
	rows []Row
	// medianLatency is the median latency of the usable targets in
	// nanoseconds; 0 if unknown.
	medianLatency float64
	// coldFraction is the fraction of the usable owned slots that belong to
	// cold targets.
	coldFraction float64
	// recentLatency and baselineLatency are a fast and a slow moving average
	// of the group's latency in nanoseconds.
	recentLatency, baselineLatency float64
}

// Table holds the targets of the instance's own zone.
type Table struct {
	targets []target
	groups  []group
	byName  map[string]Row
	byID    map[document.TargetID]Row
	random  *rand.Rand

	configured       bool // set by the first Configure
	lastOutlierCheck time.Time
	// candidates, sortedLatencies and ejections keep their memory between
	// calls.
	candidates      []Row
	sortedLatencies []float64
	ejections       []Ejection
}

// New returns an empty Table. The seed makes its random choices reproducible.
func New(seed uint64) *Table {
	return &Table{
		byName: map[string]Row{},
		byID:   map[document.TargetID]Row{},
		random: rand.New(rand.NewPCG(seed, 0)),
	}
}

// Configure takes the targets of one zone from a document. Known targets keep
// their owned slots, and their measurements unless the address has changed.
// After the first document, a target without samples is cold. Configure
// does not recompute the owned slots; see SetOwned.
func (t *Table) Configure(now time.Time, doc *document.Compiled, zone document.ZoneID) {
	for i := range t.targets {
		t.targets[i].present = false
	}
	clear(t.byID)
	t.resetGroups(len(doc.Groups))
	for g := range doc.Groups {
		if int(zone) < len(doc.Groups[g].Targets) {
			t.configureGroup(now, doc, document.GroupID(g), doc.Groups[g].Targets[zone])
		}
	}
	t.releaseRows()
	t.configured = true
}

// resetGroups sets the number of groups and clears their rows.
func (t *Table) resetGroups(count int) {
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
		row := t.findOrAddRow(now, &doc.Targets[id])
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

// findOrAddRow returns the row of the target with the name of d and adds one
// if there is none. Slots are assigned to targets by name.
func (t *Table) findOrAddRow(now time.Time, d *document.Target) Row {
	row, found := t.byName[d.Name]
	if !found {
		row = t.unusedRow()
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

// unusedRow returns a row that holds no target and adds one if there is none.
func (t *Table) unusedRow() Row {
	for i := range t.targets {
		if t.targets[i].name == "" {
			return Row(i)
		}
	}
	t.targets = append(t.targets, target{})
	return Row(len(t.targets) - 1)
}

// releaseRows frees the rows of targets that the document no longer lists and
// that have no request in flight.
func (t *Table) releaseRows() {
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

// SetOwned sets the number of slots of a target that this instance owns.
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

// TargetID returns the target of a row, and whether the current document lists
// it.
func (t *Table) TargetID(row Row) (document.TargetID, bool) {
	r := &t.targets[row]
	return r.id, r.present
}
