package steer

import "time"

const (
	// warmMemory is how long a target is expected to keep an object.
	warmMemory = 12 * time.Second
	// warmTable bounds the memory of objects and targets.
	warmTable = 16384
	// durationWeight is the weight of the newest answer in a mean duration.
	durationWeight = 0.1
	// firstCold and firstWarm are the parts of a route's aim that an answer
	// is expected to take before one was measured.
	firstCold = 1.0
	firstWarm = 0.35
)

// warmth remembers which target handled which object through this instance.
type warmth struct {
	last map[uint64]time.Time
}

func warmKey(object uint64, t *target) uint64 { return mix(object, t.hash) }

func (w *warmth) has(now time.Time, object uint64, t *target) bool {
	if object == 0 {
		return false
	}
	at, found := w.last[warmKey(object, t)]
	return found && now.Sub(at) < warmMemory
}

func (w *warmth) note(now time.Time, object uint64, t *target) {
	if object == 0 {
		return
	}
	if len(w.last) >= warmTable {
		for key, at := range w.last {
			if now.Sub(at) >= warmMemory {
				delete(w.last, key)
			}
		}
		if len(w.last) >= warmTable {
			clear(w.last)
		}
	}
	w.last[warmKey(object, t)] = now
}

// durations are the mean times that a service needs for a route's requests.
type durations struct {
	warm, cold time.Duration
	// bytes is the mean size of an answer.
	bytes float64
}

func (d *durations) learn(took time.Duration, warm bool) {
	mean := &d.cold
	if warm {
		mean = &d.warm
	}
	*mean += time.Duration(durationWeight * float64(took-*mean))
}

func (d *durations) learnSize(bytes int) {
	d.bytes += durationWeight * (float64(bytes) - d.bytes)
}

// expected mixes both times by the chance that the object is warm.
func (d *durations) expected(chance float64) time.Duration {
	return d.cold + time.Duration(chance*float64(d.warm-d.cold))
}
