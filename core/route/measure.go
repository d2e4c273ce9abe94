package route

import (
	"time"

	"pistachioford.example/core/document"
)

// Outcome classifies the end of an exchange for the target's measurements.
type Outcome uint8

// Outcomes of an exchange.
const (
	// Success is a complete answer; its latency counts.
	Success Outcome = iota
	// Failure is an answer or an end by the target's fault.
	Failure
	// Refused is a connection that was refused: no process listens.
	Refused
	// Shed is a refusal by an overloaded target.
	Shed
	// Crash is a broken connection whose cause may be the request. It is a
	// failure until the target answers again, then it is forgiven.
	Crash
	// Neutral tells nothing of the target, such as a caller that went away.
	Neutral
)

// Start occupies an owned slot of the row.
func (t *Table) Start(now time.Time, row Row) {
	r := &t.targets[row]
	r.inFlight++
	if !r.coldSince.IsZero() {
		r.nextStart = now.Add(t.pace(now, r))
	}
}

// pace is the time between two starts at a cold target: its full rate would be
// one start per latency and slot. Where much of the group is cold, the warm rest
// cannot carry its work, so cold targets start higher.
func (t *Table) pace(now time.Time, r *target) time.Duration {
	latency := t.groups[r.group].median
	if latency == 0 {
		latency = float64(slowStartLatency)
	}
	done := float64(now.Sub(r.coldSince)) / float64(slowStart)
	share := slowStartShare + (1-slowStartShare)*min(done, 1)
	share = max(share, t.groups[r.group].coldShare)
	return time.Duration(latency / (float64(max(r.owned, 1)) * share))
}

// End frees the slot of an exchange and takes its outcome into account.
func (t *Table) End(now time.Time, row Row, outcome Outcome, latency time.Duration) {
	r := &t.targets[row]
	if r.inFlight > 0 {
		r.inFlight--
	}
	if !r.present {
		t.dropUnused()
		return
	}
	if outcome == Neutral {
		return
	}
	r.lastEnd = now
	if outcome != Refused {
		r.accepted(now)
	}
	switch outcome {
	case Success:
		t.succeeded(now, r, float64(latency))
	case Failure:
		r.failed()
		if g := &t.groups[r.group]; g.median > 0 && float64(latency) > max(r.latency, g.median) {
			t.measure(now, r, float64(latency))
		}
	case Refused:
		r.refused(now)
		return
	case Crash:
		if !r.crashed {
			r.crashed, r.beforeCrash = true, r.failures
		}
		r.failed()
	case Shed:
		r.sheds += errorWeight * (1 - r.sheds)
	}
}

func (t *Table) succeeded(now time.Time, r *target, latency float64) {
	if r.crashed {
		r.crashed, r.failures = false, r.beforeCrash
	}
	r.failures -= errorWeight * r.failures
	r.sheds -= errorWeight * r.sheds
	r.samples++
	t.measure(now, r, latency)
}

// measure takes a latency into account. Failures count only if they took
// longer than answers do, so that a quick failure makes no target look fast.
func (t *Table) measure(now time.Time, r *target, latency float64) {
	g := &t.groups[r.group]
	if g.median > 0 {
		latency = min(latency, latencyClamp*g.median)
	}
	r.lastSeen = now
	r.latency = average(r.latency, latency, latencyWeight)
	g.recent = average(g.recent, latency, latencyWeight)
	g.usual = average(g.usual, latency, latencyWeight/50)
}

func (r *target) failed() {
	r.samples++
	r.failures += errorWeight * (1 - r.failures)
}

// refused takes a target whose process is gone out of service, whatever its
// group has left: work sent there certainly does not run.
func (r *target) refused(now time.Time) {
	r.refusals = min(r.refusals+1, downRefusals)
	if r.refusals < downRefusals || r.down {
		return
	}
	r.down = true
	r.probing = min(max(2*r.probing, probeBase), probeMax)
	r.probeAt = now.Add(r.probing)
}

// accepted ends the state after refusals. A target that was down is cold.
func (r *target) accepted(now time.Time) {
	if r.probing > 0 {
		r.restart(now)
	}
	r.refusals, r.down, r.probing = 0, false, 0
}

// average moves towards a sample; the first sample is taken as it is.
func average(old, sample, weight float64) float64 {
	if old == 0 {
		return max(sample, 1)
	}
	return max(old+weight*(sample-old), 1)
}

// Report takes a load report of a target, which may lag or mislead.
func (t *Table) Report(id document.TargetID, utilization float64, at time.Time) {
	row, ok := t.byID[id]
	if !ok {
		return
	}
	if r := &t.targets[row]; at.After(r.loadAt) {
		r.load, r.loadAt = utilization, at
	}
}

// Leave stops new work to a target. It reports whether this was the first sign.
func (t *Table) Leave(id document.TargetID) bool {
	row, ok := t.byID[id]
	if !ok || t.targets[row].leaving {
		return false
	}
	t.targets[row].leaving = true
	return true
}

// Return puts a target that was leaving back into service, cold.
func (t *Table) Return(now time.Time, id document.TargetID) {
	row, ok := t.byID[id]
	if !ok || !t.targets[row].leaving {
		return
	}
	r := &t.targets[row]
	r.leaving = false
	r.restart(now)
}

// restart forgets what was measured and begins a slow start.
func (r *target) restart(now time.Time) {
	r.latency, r.samples, r.failures, r.sheds, r.crashed = 0, 0, 0, 0, false
	r.refusals, r.down, r.probing = 0, false, 0
	r.coldSince, r.nextStart = now, now
}
