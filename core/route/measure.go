package route

import (
	"time"

	"pistachioford.example/core/document"
)

// Outcome classifies the end of an exchange for the measurements of its
// target.
type Outcome uint8

// Outcomes of an exchange.
const (
	// Success is a complete response; its latency is recorded.
	Success Outcome = iota
	// Failure is an error response or an end of the exchange that is the
	// target's fault.
	Failure
	// Refused is a refused connection: no process listens.
	Refused
	// Shed is a rejection by an overloaded target.
	Shed
	// Crash is a broken connection that the request may have caused. It is
	// treated as a failure until the next success of the target, which restores
	// the failure rate from before the first crash.
	Crash
	// Ignored is an end that says nothing about the target, such as a client that
	// disconnected.
	Ignored
)

// Start occupies an owned slot of the target.
func (t *Table) Start(now time.Time, row Row) {
	r := &t.targets[row]
	r.inFlight++
	if !r.coldSince.IsZero() {
		r.nextStart = now.Add(t.startInterval(now, r))
	}
}

// startInterval returns the time between two starts at a cold target. The full
// rate is one start per latency and owned slot; the target gets a fraction of
// it that rises during the slow start. The fraction is at least the cold
// fraction of the group, because the remaining warm targets cannot carry the
// work of a group that is mostly cold.
func (t *Table) startInterval(now time.Time, r *target) time.Duration {
	latency := t.groups[r.group].medianLatency
	if latency == 0 {
		latency = float64(slowStartLatency)
	}
	progress := float64(now.Sub(r.coldSince)) / float64(slowStart)
	fraction := slowStartFraction + (1-slowStartFraction)*min(progress, 1)
	fraction = max(fraction, t.groups[r.group].coldFraction)
	return time.Duration(latency / (float64(max(r.owned, 1)) * fraction))
}

// End frees the slot of an exchange and records its outcome.
func (t *Table) End(now time.Time, row Row, outcome Outcome, latency time.Duration) {
	r := &t.targets[row]
	if r.inFlight > 0 {
		r.inFlight--
	}
	if !r.present {
		t.releaseRows()
		return
	}
	if outcome == Ignored {
		return
	}
	r.lastOutcomeAt = now
	if outcome != Refused {
		r.endProbing(now)
	}
	switch outcome {
	case Success:
		t.recordSuccess(now, r, float64(latency))
	case Failure:
		r.recordFailure()
		if g := &t.groups[r.group]; g.medianLatency > 0 && float64(latency) > max(r.latency, g.medianLatency) {
			t.recordLatency(now, r, float64(latency))
		}
	case Refused:
		r.recordRefusal(now)
		return
	case Crash:
		if !r.crashed {
			r.crashed, r.failureRateBeforeCrash = true, r.failureRate
		}
		r.recordFailure()
	case Shed:
		r.shedRate += failureRateWeight * (1 - r.shedRate)
	}
}

// recordSuccess records a success. After crashes it first restores the failure
// rate from before the first one.
func (t *Table) recordSuccess(now time.Time, r *target, latency float64) {
	if r.crashed {
		r.crashed, r.failureRate = false, r.failureRateBeforeCrash
	}
	r.failureRate -= failureRateWeight * r.failureRate
	r.shedRate -= failureRateWeight * r.shedRate
	r.samples++
	t.recordLatency(now, r, latency)
}

// recordLatency adds a latency sample to the averages of a target and its
// group. For a failure, End calls it only if the failure took longer than the
// responses of the target and its group do, so that quick failures do not lower
// the latency of a target.
func (t *Table) recordLatency(now time.Time, r *target, latency float64) {
	g := &t.groups[r.group]
	if g.medianLatency > 0 {
		latency = min(latency, maxLatencySampleRatio*g.medianLatency)
	}
	r.lastLatencyAt = now
	r.latency = movingAverage(r.latency, latency, latencyWeight)
	g.recentLatency = movingAverage(g.recentLatency, latency, latencyWeight)
	g.baselineLatency = movingAverage(g.baselineLatency, latency, latencyWeight/50)
}

// recordFailure adds a failure to the failure rate.
func (r *target) recordFailure() {
	r.samples++
	r.failureRate += failureRateWeight * (1 - r.failureRate)
}

// recordRefusal counts a refused connection. After refusalsUntilDown in a row
// it takes the target out of service, even if the group has no other usable
// target, since no request can run there.
func (r *target) recordRefusal(now time.Time) {
	r.refusals = min(r.refusals+1, refusalsUntilDown)
	if r.refusals < refusalsUntilDown || r.down {
		return
	}
	r.down = true
	r.probeDelay = min(max(2*r.probeDelay, minProbeDelay), maxProbeDelay)
	r.probeAt = now.Add(r.probeDelay)
}

// endProbing clears the refusals of a target that has accepted a connection. A
// target that was down begins a slow start.
func (r *target) endProbing(now time.Time) {
	if r.probeDelay > 0 {
		r.beginSlowStart(now)
	}
	r.refusals, r.down, r.probeDelay = 0, false, 0
}

// movingAverage returns the exponential moving average after a sample. The
// first sample becomes the average as it is. The result is at least 1, since 0
// stands for an unknown value.
func movingAverage(current, sample, weight float64) float64 {
	if current == 0 {
		return max(sample, 1)
	}
	return max(current+weight*(sample-current), 1)
}

// ReportLoad records the load that a target reported, unless a later report is
// known. Reports may be late or wrong.
func (t *Table) ReportLoad(id document.TargetID, utilization float64, at time.Time) {
	row, ok := t.byID[id]
	if !ok {
		return
	}
	if r := &t.targets[row]; at.After(r.reportedAt) {
		r.reportedLoad, r.reportedAt = utilization, at
	}
}

// MarkLeaving stops new work to a target. It returns false if the target is
// unknown or already leaving.
func (t *Table) MarkLeaving(id document.TargetID) bool {
	row, ok := t.byID[id]
	if !ok || t.targets[row].leaving {
		return false
	}
	t.targets[row].leaving = true
	return true
}

// ClearLeaving puts a target that was leaving back into service with a slow
// start.
func (t *Table) ClearLeaving(now time.Time, id document.TargetID) {
	row, ok := t.byID[id]
	if !ok || !t.targets[row].leaving {
		return
	}
	r := &t.targets[row]
	r.leaving = false
	r.beginSlowStart(now)
}

// beginSlowStart discards the measurements of a target and begins a slow
// start.
func (r *target) beginSlowStart(now time.Time) {
	r.latency, r.samples, r.failureRate, r.shedRate, r.crashed = 0, 0, 0, 0, false
	r.refusals, r.down, r.probeDelay = 0, false, 0
	r.coldSince, r.nextStart = now, now
}
