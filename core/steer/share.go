package steer

import (
	"cmp"
	"slices"
	"time"
)

// Sharing answers a fleet in which each instance sends few requests to each of
// many targets: what it knows of their load is seconds old, and each instance
// would find out by a request of its own that a target is gone. Instances of a
// zone tell each other the busiest targets and those that do not answer.
const (
	// sharedLoads and sharedDowns bound the observations in a heartbeat.
	sharedLoads = 12
	sharedDowns = 4
	// shareAge is the age up to which a load report is told.
	shareAge = 700 * time.Millisecond
	// shareFrom is the load per slot from which a target is worth telling.
	shareFrom = 0.6
	// downReporters is the number of instances that must say so before a
	// target is tested like one that failed here: one alone may be cut off.
	downReporters = 2
	// downAge is how long a failure is told, and counted by those who hear it.
	downAge = 2 * time.Second
)

// Observation is what an instance saw of a target.
type Observation struct {
	// Target is the hash of the target's id.
	Target uint64
	// Load is the number of its running and waiting requests.
	Load int
	// Down says that it does not answer the instance.
	Down bool
}

// downReport is the newest word of an instance on a target that is down.
type downReport struct {
	reporter string
	at       time.Time
}

// Observations returns what the other instances of the zone are to hear.
func (e *Engine) Observations(now time.Time) []Observation {
	var loads []Observation
	var downs []*target
	for _, t := range e.targets {
		switch {
		case t.failing.ownDown(now):
			downs = append(downs, t)
		case !t.measured.IsZero() && now.Sub(t.measured) < shareAge && t.load(now) >= shareFrom*float64(t.Slots):
			loads = append(loads, Observation{Target: t.hash, Load: int(t.load(now) + 0.5)})
		}
	}
	slices.SortFunc(loads, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Target, b.Target))
	})
	// Others have heard of older ones before.
	slices.SortFunc(downs, func(a, b *target) int {
		return cmp.Or(b.failing.failedAt.Compare(a.failing.failedAt), cmp.Compare(a.hash, b.hash))
	})
	var told []Observation
	for _, t := range downs[:min(len(downs), sharedDowns)] {
		told = append(told, Observation{Target: t.hash, Down: true})
	}
	return append(told, loads[:min(len(loads), sharedLoads)]...)
}

// HearObservations takes in what another instance of the zone saw.
func (e *Engine) HearObservations(now time.Time, reporter string, observations []Observation) {
	for _, o := range observations {
		t := e.byHash[o.Target]
		switch {
		case t == nil:
		case o.Down:
			t.hearDown(now, reporter)
		case now.Sub(t.measured) >= shareAge:
			// An own report is newer than one that came with a heartbeat.
			t.hearLoad(now, o.Load)
		}
	}
}

// hearDown ejects a target that several instances cannot reach. One that is
// ejected already was just tested elsewhere and need not be tested here.
func (t *target) hearDown(now time.Time, reporter string) {
	if t.failing.ejections > 0 {
		t.failing.postpone(now)
		return
	}
	kept := t.downs[:0]
	for _, d := range t.downs {
		if d.reporter != reporter && now.Sub(d.at) < downAge {
			kept = append(kept, d)
		}
	}
	t.downs = append(kept, downReport{reporter, now})
	if len(t.downs) >= downReporters {
		t.failing.heard(now)
		t.downs = nil
	}
}
