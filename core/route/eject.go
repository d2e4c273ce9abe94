package route

import (
	"slices"
	"time"

	"pistachioford.example/core/document"
)

// Ejection describes the temporary removal of a target from service because of
// its measurements.
type Ejection struct {
	Target document.TargetID
	Cause  Cause
	Until  time.Time
}

// Cause is the reason for an ejection.
type Cause uint8

// Causes of ejections.
const (
	// CauseErrors means that the failure rate was too high.
	CauseErrors Cause = iota
	// CauseLatency means that the latency was too far above the median of the
	// group.
	CauseLatency
)

// Tick updates the state that depends on time, ejects outliers and returns the
// new ejections. It does nothing if the last check was less than
// outlierCheckInterval ago. The slice is valid until the next call.
func (t *Table) Tick(now time.Time) []Ejection {
	t.ejections = t.ejections[:0]
	if now.Sub(t.lastOutlierCheck) < outlierCheckInterval {
		return nil
	}
	t.lastOutlierCheck = now
	for i := range t.targets {
		t.targets[i].expire(now)
	}
	for g := range t.groups {
		t.ejectOutliers(now, &t.groups[g])
	}
	return t.ejections
}

// expire applies the passage of time to a target: it ends ejections and slow
// starts, allows the next probe, decays old failure rates and drops an old
// latency.
func (r *target) expire(now time.Time) {
	if r.ejected && !now.Before(r.ejectedUntil) {
		r.ejected = false
		r.beginSlowStart(now)
	}
	if r.down && !now.Before(r.probeAt) {
		r.down = false // one more refusal takes it out of service again
		r.refusals = refusalsUntilDown - 1
	}
	if now.Sub(r.lastOutcomeAt) > failureDecayDelay {
		r.failureRate *= failureDecayFactor
		r.shedRate *= failureDecayFactor
	}
	if !r.coldSince.IsZero() && now.Sub(r.coldSince) >= slowStart {
		r.coldSince = time.Time{}
	}
	if r.latency > 0 && now.Sub(r.lastLatencyAt) > latencyLifetime {
		r.latency = 0
	}
}

// ejectOutliers updates the median latency and the cold fraction of a group
// and ejects its outliers.
func (t *Table) ejectOutliers(now time.Time, g *group) {
	g.medianLatency = t.computeMedianLatency(g)
	g.coldFraction = t.computeColdFraction(g)
	for _, row := range g.rows {
		r := &t.targets[row]
		if r.owned == 0 || !r.usable() || r.samples < minEjectSamples || now.Sub(r.lastOutcomeAt) > failureDecayDelay {
			continue
		}
		cause, isOutlier := t.findOutlier(g, row)
		if isOutlier && t.mayEject(g) {
			t.eject(now, r, cause)
		}
	}
}

// computeColdFraction returns the fraction of the group's usable owned slots
// that belong to cold targets.
func (t *Table) computeColdFraction(g *group) float64 {
	slots, cold := 0, 0
	for _, row := range g.rows {
		r := &t.targets[row]
		if !r.usable() {
			continue
		}
		slots += int(r.owned)
		if !r.coldSince.IsZero() {
			cold += int(r.owned)
		}
	}
	if slots == 0 {
		return 0
	}
	return float64(cold) / float64(slots)
}

// findOutlier reports whether a target is an outlier of its group, and by
// which cause.
func (t *Table) findOutlier(g *group, row Row) (Cause, bool) {
	r := &t.targets[row]
	if r.failureRate >= max(ejectFailureRate, t.meanFailureRateOfOthers(g, row)+ejectFailureRateMargin) {
		return CauseErrors, true
	}
	ratio := float64(ejectLatencyRatio)
	if !r.coldSince.IsZero() {
		ratio = ejectColdLatencyRatio
	}
	bound := max(ratio*g.medianLatency, g.medianLatency+float64(ejectLatencyMargin))
	return CauseLatency, g.medianLatency > 0 && r.latency > bound
}

// meanFailureRateOfOthers returns the mean failure rate of the group's other
// usable targets. It returns 1 if there are none, which rules out an ejection
// for errors.
func (t *Table) meanFailureRateOfOthers(g *group, row Row) float64 {
	sum, count := 0.0, 0
	for _, other := range g.rows {
		r := &t.targets[other]
		if other == row || r.owned == 0 || !r.usable() {
			continue
		}
		sum += r.failureRate
		count++
	}
	if count == 0 {
		return 1
	}
	return sum / float64(count)
}

// mayEject reports whether at least half of the targets with owned slots stay
// usable after one more ejection.
func (t *Table) mayEject(g *group) bool {
	total, usable := 0, 0
	for _, row := range g.rows {
		r := &t.targets[row]
		if r.owned == 0 {
			continue
		}
		total++
		if r.usable() {
			usable++
		}
	}
	return 2*(usable-1) >= total
}

// eject takes a target out of service. Each ejection lasts twice as long as
// the one before, up to maxEjectTime; each ejectBackoffDecay without an
// ejection undoes one doubling.
func (t *Table) eject(now time.Time, r *target, cause Cause) {
	if !r.ejectedAt.IsZero() {
		decayed := int(now.Sub(r.ejectedUntil) / ejectBackoffDecay)
		r.ejectionLevel -= uint8(min(decayed, int(r.ejectionLevel)))
	}
	r.ejected, r.ejectedAt = true, now
	r.ejectedUntil = now.Add(min(ejectBaseTime<<r.ejectionLevel, maxEjectTime))
	r.ejectionLevel = min(r.ejectionLevel+1, 5)
	t.ejections = append(t.ejections, Ejection{Target: r.id, Cause: cause, Until: r.ejectedUntil})
}

// computeMedianLatency returns the lower median latency of the usable targets
// that have one, zero if there are none. With two such targets the slower one
// can thus be an outlier.
func (t *Table) computeMedianLatency(g *group) float64 {
	t.sortedLatencies = t.sortedLatencies[:0]
	for _, row := range g.rows {
		if r := &t.targets[row]; r.latency > 0 && r.usable() {
			t.sortedLatencies = append(t.sortedLatencies, r.latency)
		}
	}
	if len(t.sortedLatencies) == 0 {
		return 0
	}
	slices.Sort(t.sortedLatencies)
	return t.sortedLatencies[(len(t.sortedLatencies)-1)/2]
}
