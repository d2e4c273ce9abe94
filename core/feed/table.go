// Package feed keeps the tables that instances follow from a store, also when
// the store comes back from an older copy. It uses no sockets or clocks.
//
// A store that comes back from a copy has lost what was written since. Those who
// wrote it, the operator and the targets, write it again, but only after some
// seconds: until then the store's table is older than what instances already
// know. A table therefore keeps newer rows, and takes rows that are missing in
// the copy for removed only when a later read does not show them either.
package feed

import (
	"cmp"
	"slices"
	"time"
)

const (
	// tombstoneTTL is how long removed rows are kept for followers.
	tombstoneTTL = time.Minute
	// rewriteTime is how long after the store's return from a copy rows that it
	// lost may be missing: their writers have written them again by then.
	rewriteTime = 2500 * time.Millisecond
	// expiryTime is how long after that return the copy may still list rows that
	// were removed before it: until their leases expire.
	expiryTime = 10 * time.Second
)

// Row is a row of a table.
type Row struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`
	Deleted bool    `json:"deleted,omitempty"`
}

// Position is how far a reader has followed the changes of a table.
type Position struct {
	// Next is the version after which changes remain to be read. Changes of any
	// table increase it.
	Next Version `json:"next"`
	// Newest is the version of the newest change of this table, if any.
	Newest Version `json:"newest"`
	// Covered is the version up to which all changes of this table are known.
	// After a read of the whole table it may exceed the version of the newest
	// row, because removed rows are not listed.
	Covered Version `json:"covered"`
}

// Advance raises Newest to the newest version of the rows, and Covered to at
// least Newest.
func (p *Position) Advance(rows []Row) {
	for _, row := range rows {
		p.Newest = max(p.Newest, row.Version)
	}
	p.Covered = max(p.Covered, p.Newest)
}

// CompareRows compares two values of a row by what their writer says of their
// order: the result is negative if a is the older one. comparable is false if
// that is not known.
type CompareRows func(a, b Row) (order int, comparable bool)

// Table is the state of a table, from which an instance also responds to those
// that follow it. It is not safe for concurrent use.
type Table struct {
	compare CompareRows
	// rows includes removed rows, with their last value.
	rows map[string]Row
	// removedAt is when each removed row was removed.
	removedAt map[string]time.Time
	position  Position
	// prunedVersion is the version up to which removed rows were dropped.
	prunedVersion Version
	// checks are when the whole table is to be read again, since the store came
	// back from a copy. Until the last one removed rows do not come back without a
	// newer value.
	checks []time.Time
}

// NewTable returns an empty table.
func NewTable(compare CompareRows) *Table {
	return &Table{compare: compare, rows: map[string]Row{}, removedAt: map[string]time.Time{}}
}

// Update is what changed in a table.
type Update struct {
	// Rows are the rows to apply: all rows of the table if Whole is set, else the
	// changed ones.
	Rows  []Row
	Whole bool
	// Restored is set if the store came back from a copy.
	Restored bool
}

// Apply applies rows that were read; whole means that they are the whole table.
func (t *Table) Apply(now time.Time, rows []Row, at Position, whole bool) Update {
	u := Update{Rows: rows, Whole: whole}
	u.Restored = t.position.Next > 0 && at.Next.Era() > t.position.Next.Era()
	if u.Restored {
		u.Whole = false
		t.checks = []time.Time{now.Add(rewriteTime), now.Add(expiryTime)}
	}
	if whole && len(t.checks) > 0 {
		u.Rows = t.keepNewer(u.Rows)
	}
	switch {
	case u.Restored:
		t.moveTo(now, at.Next)
	case whole:
		t.removeMissing(now, u.Rows, at.Next)
	}
	for _, row := range u.Rows {
		t.put(now, row)
	}
	if whole && !u.Restored {
		t.checks = slices.DeleteFunc(t.checks, func(due time.Time) bool { return !now.Before(due) })
	}
	t.position.Next = max(t.position.Next, at.Next)
	t.position.Newest = max(t.position.Newest, at.Newest)
	t.position.Covered = max(t.position.Covered, at.Covered)
	t.prune(now)
	return u
}

// CheckAt returns when the whole table is to be read again, or the zero time.
func (t *Table) CheckAt() time.Time {
	if len(t.checks) == 0 {
		return time.Time{}
	}
	return t.checks[0]
}

// keepNewer returns the rows of a table that is read from a copy, with the known
// values in place of older ones, and without rows that are known to be removed.
func (t *Table) keepNewer(rows []Row) []Row {
	kept := make([]Row, 0, len(rows))
	for _, row := range rows {
		known, found := t.rows[row.Key]
		if found {
			order, comparable := t.compareRows(row, known)
			switch {
			case comparable && known.Deleted && order <= 0:
				continue
			case comparable && !known.Deleted && order < 0:
				row.Value = known.Value
			}
		}
		kept = append(kept, row)
	}
	return kept
}

func (t *Table) compareRows(a, b Row) (order int, comparable bool) {
	if t.compare == nil {
		return 0, false
	}
	return t.compare(a, b)
}

// moveTo makes all rows changes of a version in a new era, for followers that
// continue from an earlier one.
func (t *Table) moveTo(now time.Time, version Version) {
	for key, row := range t.rows {
		row.Version = version
		t.rows[key] = row
		if row.Deleted {
			t.removedAt[key] = now
		}
	}
}

// put adds or replaces a row. A removed row keeps its last value.
func (t *Table) put(now time.Time, row Row) {
	delete(t.removedAt, row.Key)
	if row.Deleted {
		row.Value = t.rows[row.Key].Value
		t.removedAt[row.Key] = now
	}
	t.rows[row.Key] = row
}

// removeMissing marks the rows as removed that a whole table does not contain.
func (t *Table) removeMissing(now time.Time, rows []Row, version Version) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	for key, row := range t.rows {
		if !present[key] && !row.Deleted {
			t.put(now, Row{Key: key, Version: version, Deleted: true})
		}
	}
}

// prune drops rows that were removed longer than tombstoneTTL ago.
func (t *Table) prune(now time.Time) {
	for key, at := range t.removedAt {
		if now.Sub(at) > tombstoneTTL {
			t.prunedVersion = max(t.prunedVersion, t.rows[key].Version)
			delete(t.rows, key)
			delete(t.removedAt, key)
		}
	}
}

// Position returns how far the table was read.
func (t *Table) Position() Position { return t.position }

// ChangesSince returns the rows that changed after a version, or all rows for
// version 0. It returns false if removed rows may be missing.
func (t *Table) ChangesSince(after Version) ([]Row, bool) {
	if after > 0 && after < t.prunedVersion {
		return nil, false
	}
	var rows []Row
	for _, row := range t.rows {
		if row.Version <= after || after == 0 && row.Deleted {
			continue
		}
		if row.Deleted {
			row.Value = nil
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return rows, true
}
