package route

import (
	"time"

	"pistachioford.example/core/document"
)

// maxAttempts is the maximum number of attempts of a request.
const maxAttempts = 5

// TriedTargets is the set of targets that a request has already tried. The zero
// value is empty.
type TriedTargets struct {
	rows  [maxAttempts]Row
	count uint8
}

// Add adds a row to the set. It ignores the row if the set already has
// maxAttempts rows.
func (t *TriedTargets) Add(row Row) {
	if t.count < maxAttempts {
		t.rows[t.count] = row
		t.count++
	}
}

// Clear empties the set.
func (t *TriedTargets) Clear() { *t = TriedTargets{} }

// Empty reports whether the set has no rows.
func (t *TriedTargets) Empty() bool { return t.count == 0 }

func (t *TriedTargets) contains(row Row) bool {
	for _, other := range t.rows[:t.count] {
		if other == row {
			return true
		}
	}
	return false
}

// Pick returns the better of two random targets of the group that can take a
// request now and are not in tried, which may be nil. It returns false if there
// is no such target. The caller must call Start to occupy the slot.
func (t *Table) Pick(now time.Time, g document.GroupID, tried *TriedTargets) (Row, bool) {
	t.collectCandidates(now, g, tried)
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

// collectCandidates sets t.candidates to the targets of the group that can take
// a request now: they have a free owned slot, their slow start permits another
// request, and they are not in tried.
func (t *Table) collectCandidates(now time.Time, g document.GroupID, tried *TriedTargets) {
	t.candidates = t.candidates[:0]
	if int(g) >= len(t.groups) {
		return
	}
	for _, row := range t.groups[g].rows {
		r := &t.targets[row]
		if r.freeSlots() == 0 {
			continue
		}
		if !r.coldSince.IsZero() && now.Before(r.nextStart) {
			continue
		}
		if tried != nil && tried.contains(row) {
			continue
		}
		t.candidates = append(t.candidates, row)
	}
}

// usable reports whether the target may get new work at all.
func (r *target) usable() bool {
	return !r.leaving && !r.draining && !r.ejected && !r.down
}

// freeSlots returns the number of owned slots that new work may use. A target
// that is being probed after refused connections gets one request at a time
// until it accepts one.
func (r *target) freeSlots() uint16 {
	if !r.usable() || r.inFlight >= r.owned || r.probeDelay > 0 && r.inFlight > 0 {
		return 0
	}
	if r.probeDelay > 0 {
		return 1
	}
	return r.owned - r.inFlight
}

// better returns the target with the lower score. If the scores are about
// equal, it returns the one with the lower reported load.
func (t *Table) better(now time.Time, a, b Row) Row {
	ra, rb := &t.targets[a], &t.targets[b]
	sa, sb := t.score(ra), t.score(rb)
	if sa < sb*(1-tieTolerance) {
		return a
	}
	if sb < sa*(1-tieTolerance) {
		return b
	}
	if ra.effectiveLoad(now) <= rb.effectiveLoad(now) {
		return a
	}
	return b
}

// score estimates the cost of one more exchange at the target; lower is better.
// A target without a latency has that of its group.
func (t *Table) score(r *target) float64 {
	latency := r.latency
	if latency == 0 {
		latency = t.groups[r.group].medianLatency
	}
	if latency == 0 {
		latency = 1
	}
	return latency * float64(r.inFlight+1) * (1 + failurePenalty*(r.failureRate+r.shedRate))
}

// effectiveLoad returns the last reported load, or neutralLoad if the report
// is missing, too old or lower. A report alone thus never makes a target
// better than one without.
func (r *target) effectiveLoad(now time.Time) float64 {
	if r.reportedAt.IsZero() || now.Sub(r.reportedAt) > reportLifetime {
		return neutralLoad
	}
	return max(r.reportedLoad, neutralLoad)
}

// FreeSlots returns the number of free owned slots of the group's usable
// targets.
func (t *Table) FreeSlots(g document.GroupID) int {
	free := 0
	for _, row := range t.rowsOf(g) {
		free += int(t.targets[row].freeSlots())
	}
	return free
}

// HasFreeSlots reports whether a usable target of the group has fewer requests
// in flight than owned slots. Unlike FreeSlots, it also counts a target that is
// being probed and has its one request in flight.
func (t *Table) HasFreeSlots(g document.GroupID) bool {
	for _, row := range t.rowsOf(g) {
		if r := &t.targets[row]; r.usable() && r.inFlight < r.owned {
			return true
		}
	}
	return false
}

// OwnedSlots returns the number of owned slots of the group's usable targets.
func (t *Table) OwnedSlots(g document.GroupID) int {
	slots := 0
	for _, row := range t.rowsOf(g) {
		if r := &t.targets[row]; r.usable() {
			slots += int(r.owned)
		}
	}
	return slots
}

// MedianLatency returns the median latency of the group's targets, zero if
// unknown.
func (t *Table) MedianLatency(g document.GroupID) time.Duration {
	if int(g) >= len(t.groups) {
		return 0
	}
	return time.Duration(t.groups[g].medianLatency)
}

// SlowerThanUsual reports whether the recent latency of the group is more than
// twice its long-term average.
func (t *Table) SlowerThanUsual(g document.GroupID) bool {
	return int(g) < len(t.groups) && t.groups[g].recentLatency > 2*t.groups[g].baselineLatency
}

// HasUntried reports whether the group has a usable target with owned slots,
// free or not, that is not in tried. tried must not be nil.
func (t *Table) HasUntried(g document.GroupID, tried *TriedTargets) bool {
	for _, row := range t.rowsOf(g) {
		if r := &t.targets[row]; r.usable() && r.owned > 0 && !tried.contains(row) {
			return true
		}
	}
	return false
}

// rowsOf returns the rows of a group, nil if the table does not know the
// group.
func (t *Table) rowsOf(g document.GroupID) []Row {
	if int(g) >= len(t.groups) {
		return nil
	}
	return t.groups[g].rows
}
