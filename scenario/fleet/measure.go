package fleet

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pistachioford.example/core/document"
)

// span is the time from an event to its effect. While the effect has not
// occurred, to is zero.
type span struct {
	kind     string
	text     string // logged when the effect occurs, unless empty
	from, to time.Time
	done     func() bool
}

// sample is the state of the running instances at one time.
type sample struct {
	at time.Duration
	// serving and refusing count the instances with and without a document.
	serving, refusing int
	// lowest is the lowest active revision of the serving instances.
	lowest uint64
}

// await measures the time from now until a condition is met.
func (w *world) await(kind, text string, done func() bool) {
	s := &span{kind: kind, text: text, from: w.Now, done: done}
	w.spans, w.openSpans = append(w.spans, s), append(w.openSpans, s)
}

// awaitActive measures the time until a revision is active on all instances
// that serve and are not paused.
func (w *world) awaitActive(revision uint64) {
	w.await("active", fmt.Sprintf("revision %d is active on all that serve", revision), func() bool {
		s := &w.samples[len(w.samples)-1]
		return s.serving > 0 && s.lowest >= revision
	})
}

// awaitDeath measures the times until no instance of the zone, and no instance
// at all, considers a dead one reachable.
func (w *world) awaitDeath(dead *instance) {
	unseen := func(in *instance) bool { return !in.reaches(dead.id) }
	w.await("dead-zone", fmt.Sprintf("the zone knows the death of %s", dead.id), func() bool {
		return w.allRunning(func(in *instance) bool { return in.zone != dead.zone || unseen(in) })
	})
	w.await("dead-everywhere", fmt.Sprintf("all know the death of %s", dead.id), func() bool { return w.allRunning(unseen) })
}

// observe takes a sample and ends the spans whose effect has occurred.
func (w *world) observe() {
	s := sample{at: w.since(), lowest: math.MaxUint64}
	for _, in := range w.running() {
		if in.active == nil {
			s.refusing++
			continue
		}
		s.serving++
		s.lowest = min(s.lowest, in.active.Revision)
	}
	w.samples = append(w.samples, s)
	w.shardUsers = w.checker.findShardUsers()
	for z := range w.doc.Zones {
		for i := range w.doc.Zones[z].Shards {
			w.awaitUser(document.ShardID{Zone: document.ZoneID(z), Index: i})
		}
	}
	w.openSpans = slices.DeleteFunc(w.openSpans, func(s *span) bool {
		if !s.done() {
			return false
		}
		s.to = w.Now
		if s.text != "" {
			w.logf("%s", s.text)
		}
		return true
	})
}

// awaitUser measures the time for which no instance uses a shard.
func (w *world) awaitUser(shard document.ShardID) {
	if w.shardUsers[shard] != nil || w.unheld[shard] {
		return
	}
	w.unheld[shard] = true
	w.await("unheld", "", func() bool {
		w.unheld[shard] = w.shardUsers[shard] == nil
		return !w.unheld[shard]
	})
}

// metric returns the value of a metric for the events or samples in a window:
// the longest span, which is infinite if an effect has not occurred, the lowest
// sample, or a number of edits.
func (w *world) metric(name string, from, to time.Duration) (float64, error) {
	inWindow := func(d time.Duration) bool { return d >= from && d < to }
	switch name {
	case "active", "dead-zone", "dead-everywhere", "unheld":
		return w.longestSpan(name, inWindow)
	case "serving", "refusing", "revision":
		return w.lowestSample(name, inWindow)
	case "accepted", "refused":
		count := 0.0
		for _, e := range w.edits {
			if e.outcome == outcome(name) && inWindow(e.endedAt) {
				count++
			}
		}
		return count, nil
	}
	return 0, fmt.Errorf("unknown metric %q", name)
}

func (w *world) longestSpan(name string, inWindow func(time.Duration) bool) (float64, error) {
	result, found := 0.0, name == "unheld"
	for _, s := range w.spans {
		if s.kind != name || !inWindow(s.from.Sub(epoch)) {
			continue
		}
		found = true
		if s.to.IsZero() {
			result = math.Inf(1)
		}
		result = max(result, float64(s.to.Sub(s.from)))
	}
	if !found {
		return 0, fmt.Errorf("no event for metric %s in the window", name)
	}
	return result, nil
}

func (w *world) lowestSample(name string, inWindow func(time.Duration) bool) (float64, error) {
	result, found := math.Inf(1), false
	for _, s := range w.samples {
		if inWindow(s.at) {
			found = true
			result = min(result, map[string]float64{
				"serving": float64(s.serving), "refusing": float64(s.refusing), "revision": float64(s.lowest),
			}[name])
		}
	}
	if !found {
		return 0, fmt.Errorf("no sample for metric %s in the window", name)
	}
	return result, nil
}
