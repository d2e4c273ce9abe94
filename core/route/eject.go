package route

import (
	"slices"
	"time"

	"pistachioford.example/core/document"
)

// Ejection reports a target that was taken out by measurement.
type Ejection struct {
	Target document.TargetID
	Cause  Cause
	Until  time.Time
}

// Cause tells why a target was ejected.
type Cause uint8

// Causes of ejections.
const (
	Errors Cause = iota
	Latency
)

// Tick readmits targets and looks for outliers. The slice is valid until the
// next call.
func (t *Table) Tick(now time.Time) []Ejection {
	t.ejections = t.ejections[:0]
	if now.Sub(t.judgedAt) < judgeInterval {
		return nil
	}
	t.judgedAt = now
	for i := range t.targets {
		t.targets[i].age(now)
	}
	for g := range t.groups {
		t.judge(now, &t.groups[g])
	}
	return t.ejections
}

// age ends what lasts for a time only: ejections, slow starts, old latencies.
func (r *target) age(now time.Time) {
	if r.ejected && !now.Before(r.ejectedUntil) {
		r.ejected = false
		r.restart(now)
	}
	if r.down && !now.Before(r.probeAt) {
		r.down = false // one more refusal takes it out again
		r.refusals = downRefusals - 1
	}
	if now.Sub(r.lastEnd) > staleTime {
		r.failures *= staleKept
		r.sheds *= staleKept
	}
	if !r.coldSince.IsZero() && now.Sub(r.coldSince) >= slowStart {
		r.coldSince = time.Time{}
	}
	if r.latency > 0 && now.Sub(r.lastSeen) > latencyLifetime {
		r.latency = 0
	}
}

// judge ejects the outliers of one group.
func (t *Table) judge(now time.Time, g *group) {
	g.median = t.medianLatency(g)
	g.coldShare = t.coldShare(g)
	for _, row := range g.rows {
		r := &t.targets[row]
		if r.owned == 0 || !r.usable() || r.samples < ejectSamples || now.Sub(r.lastEnd) > staleTime {
			continue
		}
		cause, out := t.outlier(g, row)
		if out && t.mayEject(g) {
			t.eject(now, r, cause)
		}
	}
}

func (t *Table) coldShare(g *group) float64 {
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

func (t *Table) outlier(g *group, row Row) (Cause, bool) {
	r := &t.targets[row]
	if r.failures >= max(ejectErrors, t.failuresBeside(g, row)+ejectErrorsAbove) {
		return Errors, true
	}
	ratio := float64(ejectLatencyRatio)
	if !r.coldSince.IsZero() {
		ratio = ejectColdRatio
	}
	bound := max(ratio*g.median, g.median+float64(ejectLatencyAbove))
	return Latency, g.median > 0 && r.latency > bound
}

// failuresBeside is the mean share of failures of the group's other targets.
func (t *Table) failuresBeside(g *group, row Row) float64 {
	sum, count := 0.0, 0
	for _, other := range g.rows {
		r := &t.targets[other]
		if other == row || r.owned == 0 || !r.usable() {
			continue
		}
		sum += r.failures
		count++
	}
	if count == 0 {
		return 1
	}
	return sum / float64(count)
}

// mayEject keeps at least half of the targets that this instance can use.
func (t *Table) mayEject(g *group) bool {
	total, in := 0, 0
	for _, row := range g.rows {
		r := &t.targets[row]
		if r.owned == 0 {
			continue
		}
		total++
		if r.usable() {
			in++
		}
	}
	return 2*(in-1) >= total
}

// eject takes a target out, for longer each time in a row.
func (t *Table) eject(now time.Time, r *target, cause Cause) {
	if !r.ejectedAt.IsZero() {
		quiet := int(now.Sub(r.ejectedUntil) / ejectForget)
		r.ejections -= uint8(min(quiet, int(r.ejections)))
	}
	r.ejected, r.ejectedAt = true, now
	r.ejectedUntil = now.Add(min(ejectBase<<r.ejections, ejectMax))
	r.ejections = min(r.ejections+1, 5)
	t.ejections = append(t.ejections, Ejection{Target: r.id, Cause: cause, Until: r.ejectedUntil})
}

// medianLatency is the lower median over the measured targets. With two of
// them the slower one can thus be an outlier.
func (t *Table) medianLatency(g *group) float64 {
	t.sorted = t.sorted[:0]
	for _, row := range g.rows {
		if r := &t.targets[row]; r.latency > 0 && r.usable() {
			t.sorted = append(t.sorted, r.latency)
		}
	}
	if len(t.sorted) == 0 {
		return 0
	}
	slices.Sort(t.sorted)
	return t.sorted[(len(t.sorted)-1)/2]
}
