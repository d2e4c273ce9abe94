package steer

import (
	"cmp"
	"slices"
	"time"
)

// The instances of a zone send each other the loads of the busiest targets and
// the targets that do not respond. In a large fleet each instance sends few
// requests to each of many targets: without these observations it would know
// only loads that are seconds old, and would have to lose a request of its own
// to find out that a target is unreachable.
const (
	// maxSharedLoads and maxSharedDowns bound the observations in a heartbeat.
	maxSharedLoads = 12
	maxSharedDowns = 4
	// maxSharedLoadAge is the age up to which a target's load report is shared.
	maxSharedLoadAge = 700 * time.Millisecond
	// minSharedLoad is the load per slot from which a target's load is shared.
	minSharedLoad = 0.6
	// minDownReporters is the number of instances that must report a target as
	// down before it is ejected as after a failure seen here: a single instance
	// may be cut off itself.
	minDownReporters = 2
	// downReportTTL is how long a failure is shared, and how long the receivers
	// count it.
	downReportTTL = 2 * time.Second
)

// Observation is what an instance observed of a target.
type Observation struct {
	// Target is the hash of the target's id.
	Target uint64
	// Load is the number of its running and waiting requests.
	Load int
	// Down is set if the target does not respond to the instance.
	Down bool
	// Leaving and Limit are what the target stated: that it stops, and the limit
	// that it names or NoLimit. A Limit of 0 says nothing of it. If either is
	// set, Load and Down say nothing.
	Leaving bool
	Limit   float64
	// Boot holds the low bits of the boot of the target that stated this.
	Boot uint32
	// LimitAge is how long ago the target stated its limit, or none.
	LimitAge time.Duration
}

// downReport is the newest report of an instance that a target is down.
type downReport struct {
	reporter string
	at       time.Time
}

// Observations returns what is to be sent to the other instances of the zone.
func (e *Engine) Observations(now time.Time) []Observation {
	var loads []Observation
	var downs []*target
	for _, t := range e.targets {
		switch {
		case t.health.foundDown(now):
			downs = append(downs, t)
		case !t.reportedAt.IsZero() && now.Sub(t.reportedAt) < maxSharedLoadAge && t.load(now) >= minSharedLoad*float64(t.Slots):
			loads = append(loads, Observation{Target: t.hash, Load: int(t.load(now) + 0.5)})
		}
	}
	slices.SortFunc(loads, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Target, b.Target))
	})
	// The newest come first: older ones were shared before.
	slices.SortFunc(downs, func(a, b *target) int {
		return cmp.Or(b.health.lastFailure.Compare(a.health.lastFailure), cmp.Compare(a.hash, b.hash))
	})
	var shared []Observation
	for _, t := range downs[:min(len(downs), maxSharedDowns)] {
		shared = append(shared, Observation{Target: t.hash, Down: true})
	}
	return append(shared, loads[:min(len(loads), maxSharedLoads)]...)
}

// RecordObservations records what another instance of the zone observed.
func (e *Engine) RecordObservations(now time.Time, reporter string, observations []Observation) {
	for _, o := range observations {
		t := e.byHash[o.Target]
		switch {
		case t == nil:
		case o.Leaving || o.Limit != 0:
			e.recordSharedNotice(now, t, o)
		case o.Down:
			t.recordDownReport(now, reporter)
		case now.Sub(t.reportedAt) >= maxSharedLoadAge:
			// A report of the target to this instance is newer than one that
			// came with a heartbeat.
			t.recordPeerLoad(now, o.Load)
		}
	}
}

// recordDownReport ejects the target once enough instances report it as down.
// If it is ejected already, another instance has just probed it, and the probe
// of this instance is postponed.
func (t *target) recordDownReport(now time.Time, reporter string) {
	if t.health.ejections > 0 {
		t.health.postponeProbe(now)
		return
	}
	kept := t.downReports[:0]
	for _, d := range t.downReports {
		if d.reporter != reporter && now.Sub(d.at) < downReportTTL {
			kept = append(kept, d)
		}
	}
	t.downReports = append(kept, downReport{reporter, now})
	if len(t.downReports) >= minDownReporters {
		t.health.ejectByPeers(now)
		t.downReports = nil
	}
}
