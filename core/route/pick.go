package route

import (
	"time"

	"pistachioford.example/core/document"
)

// maxAvoid is the number of attempts of a request.
const maxAvoid = 5

// Avoid is the set of targets that earlier attempts of a request used. The
// zero value is empty.
type Avoid struct {
	rows  [maxAvoid]Row
	count uint8
}

// Add puts a row into the set; it ignores rows beyond the number of attempts.
func (a *Avoid) Add(row Row) {
	if a.count < maxAvoid {
		a.rows[a.count] = row
		a.count++
	}
}

// Clear empties the set.
func (a *Avoid) Clear() { *a = Avoid{} }

// Empty tells whether no target is to be avoided.
func (a *Avoid) Empty() bool { return a.count == 0 }

func (a *Avoid) has(row Row) bool {
	for _, other := range a.rows[:a.count] {
		if other == row {
			return true
		}
	}
	return false
}

// Pick chooses a target of the group with a free owned slot: the better of two
// random ones. The caller must call Start to occupy the slot. avoid may be nil.
func (t *Table) Pick(now time.Time, g document.GroupID, avoid *Avoid) (Row, bool) {
	t.collect(now, g, avoid)
	n := len(t.candidates)
	if n == 0 {
		return 0, false
	}
	if n == 1 {
		return t.candidates[0], true
	}
	first := t.random.IntN(n)
	second := t.random.IntN(n - 1)
	if second >= first {
		second++
	}
	return t.better(now, t.candidates[first], t.candidates[second]), true
}

// collect lists the targets that may get work now.
func (t *Table) collect(now time.Time, g document.GroupID, avoid *Avoid) {
	t.candidates = t.candidates[:0]
	if int(g) >= len(t.groups) {
		return
	}
	for _, row := range t.groups[g].rows {
		r := &t.targets[row]
		if r.free() == 0 {
			continue
		}
		if !r.coldSince.IsZero() && now.Before(r.nextStart) {
			continue
		}
		if avoid != nil && avoid.has(row) {
			continue
		}
		t.candidates = append(t.candidates, row)
	}
}

// usable tells whether new work may go to the target at all.
func (r *target) usable() bool {
	return !r.leaving && !r.draining && !r.ejected && !r.down
}

// free is the number of owned slots that new work may use. A target that
// refused connections gets one request at a time until it accepts one.
func (r *target) free() uint16 {
	if !r.usable() || r.inFlight >= r.owned || r.probing > 0 && r.inFlight > 0 {
		return 0
	}
	if r.probing > 0 {
		return 1
	}
	return r.owned - r.inFlight
}

// better compares own measurements first; the report only breaks a tie.
func (t *Table) better(now time.Time, a, b Row) Row {
	ra, rb := &t.targets[a], &t.targets[b]
	sa, sb := t.score(ra), t.score(rb)
	if sa < sb*(1-tieRange) {
		return a
	}
	if sb < sa*(1-tieRange) {
		return b
	}
	if ra.reported(now) <= rb.reported(now) {
		return a
	}
	return b
}

// score estimates the cost of one more exchange at the target.
func (t *Table) score(r *target) float64 {
	latency := r.latency
	if latency == 0 {
		latency = t.groups[r.group].median
	}
	if latency == 0 {
		latency = 1
	}
	return latency * float64(r.inFlight+1) * (1 + errorPenalty*(r.failures+r.sheds))
}

// reported is the load by the last report. A report below neutral counts as
// neutral, so that a report alone never makes a target better.
func (r *target) reported(now time.Time) float64 {
	if r.loadAt.IsZero() || now.Sub(r.loadAt) > reportLifetime {
		return neutralLoad
	}
	return max(r.load, neutralLoad)
}

// Free returns the free owned slots of the group's usable targets.
func (t *Table) Free(g document.GroupID) int {
	free := 0
	for _, row := range t.rowsOf(g) {
		free += int(t.targets[row].free())
	}
	return free
}

// HasFree tells whether Free is above zero.
func (t *Table) HasFree(g document.GroupID) bool {
	for _, row := range t.rowsOf(g) {
		if r := &t.targets[row]; r.usable() && r.inFlight < r.owned {
			return true
		}
	}
	return false
}

// Slots returns the owned slots of the group's usable targets.
func (t *Table) Slots(g document.GroupID) int {
	slots := 0
	for _, row := range t.rowsOf(g) {
		if r := &t.targets[row]; r.usable() {
			slots += int(r.owned)
		}
	}
	return slots
}

// Latency returns the median latency of the group's targets, zero if unknown.
func (t *Table) Latency(g document.GroupID) time.Duration {
	if int(g) >= len(t.groups) {
		return 0
	}
	return time.Duration(t.groups[g].median)
}

// Slow tells whether the group's latency is well above its usual value.
func (t *Table) Slow(g document.GroupID) bool {
	return int(g) < len(t.groups) && t.groups[g].recent > 2*t.groups[g].usual
}

// Untried tells whether the group has a usable target with owned slots, busy or
// not, that is not to be avoided.
func (t *Table) Untried(g document.GroupID, avoid *Avoid) bool {
	for _, row := range t.rowsOf(g) {
		if r := &t.targets[row]; r.usable() && r.owned > 0 && !avoid.has(row) {
			return true
		}
	}
	return false
}

func (t *Table) rowsOf(g document.GroupID) []Row {
	if int(g) >= len(t.groups) {
		return nil
	}
	return t.groups[g].rows
}
