package fleet

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pistachioford.example/core/document"
)

// span is the time from an event to its effect; to is zero while that is
// missing.
type span struct {
	kind     string
	text     string // of the log line, if any
	from, to time.Time
	met      func() bool
}

// sample is the state of the fleet at one time.
type sample struct {
	at time.Duration
	// serving and refusing count the instances with and without a document.
	serving, refusing int
	// lowest is the lowest active revision of those that serve.
	lowest uint64
}

// await measures the time until a condition is met.
func (w *world) await(kind, text string, met func() bool) {
	s := &span{kind: kind, text: text, from: w.Now, met: met}
	w.spans, w.open = append(w.spans, s), append(w.open, s)
}

// awaitActive measures the time until a revision is active on all instances
// that serve and are not paused.
func (w *world) awaitActive(revision uint64) {
	w.await("active", fmt.Sprintf("revision %d is active on all that serve", revision), func() bool {
		s := &w.samples[len(w.samples)-1]
		return s.serving > 0 && s.lowest >= revision
	})
}

// awaitDeath measures the time until no other instance shows a dead one.
func (w *world) awaitDeath(dead *instance) {
	unseen := func(in *instance) bool { return !in.sees(dead.id) }
	w.await("dead-zone", fmt.Sprintf("the zone knows the death of %s", dead.id), func() bool {
		return w.all(func(in *instance) bool { return in.zone != dead.zone || unseen(in) })
	})
	w.await("dead-everywhere", fmt.Sprintf("all know the death of %s", dead.id), func() bool { return w.all(unseen) })
}

// observe takes a sample and looks for effects.
func (w *world) observe() {
	s := sample{at: w.since(), lowest: math.MaxUint64}
	for _, in := range w.live() {
		if in.active == nil {
			s.refusing++
			continue
		}
		s.serving++
		s.lowest = min(s.lowest, in.active.Revision)
	}
	w.samples = append(w.samples, s)
	w.users = w.judge.scanShards()
	for z := range w.doc.Zones {
		for i := range w.doc.Zones[z].Shards {
			w.awaitUser(document.ShardID{Zone: document.ZoneID(z), Index: i})
		}
	}
	w.open = slices.DeleteFunc(w.open, func(s *span) bool {
		if !s.met() {
			return false
		}
		s.to = w.Now
		if s.text != "" {
			w.logf("%s", s.text)
		}
		return true
	})
}

// awaitUser measures the time in which no instance uses a shard.
func (w *world) awaitUser(shard document.ShardID) {
	if w.users[shard] != nil || w.unheld[shard] {
		return
	}
	w.unheld[shard] = true
	w.await("unheld", "", func() bool {
		w.unheld[shard] = w.users[shard] == nil
		return !w.unheld[shard]
	})
}

// metric returns a figure for the events or the samples of a window: the
// longest span, which is infinite while the effect is missing, the lowest
// sample, or a count of edits.
func (w *world) metric(name string, from, to time.Duration) (float64, error) {
	inside := func(d time.Duration) bool { return d >= from && d < to }
	switch name {
	case "active", "dead-zone", "dead-everywhere", "unheld":
		return w.longest(name, inside)
	case "serving", "refusing", "revision":
		return w.lowest(name, inside)
	case "accepted", "refused":
		count := 0.0
		for _, e := range w.edits {
			if e.outcome == outcome(name) && inside(e.ended) {
				count++
			}
		}
		return count, nil
	}
	return 0, fmt.Errorf("no metric %q", name)
}

func (w *world) longest(name string, inside func(time.Duration) bool) (float64, error) {
	result, found := 0.0, name == "unheld"
	for _, s := range w.spans {
		if s.kind != name || !inside(s.from.Sub(epoch)) {
			continue
		}
		found = true
		if s.to.IsZero() {
			result = math.Inf(1)
		}
		result = max(result, float64(s.to.Sub(s.from)))
	}
	if !found {
		return 0, fmt.Errorf("no event for %s", name)
	}
	return result, nil
}

func (w *world) lowest(name string, inside func(time.Duration) bool) (float64, error) {
	result, found := math.Inf(1), false
	for _, s := range w.samples {
		if inside(s.at) {
			found = true
			result = min(result, map[string]float64{
				"serving": float64(s.serving), "refusing": float64(s.refusing), "revision": float64(s.lowest),
			}[name])
		}
	}
	if !found {
		return 0, fmt.Errorf("no sample for %s", name)
	}
	return result, nil
}
