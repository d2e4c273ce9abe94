package model

import (
	"slices"
	"time"

	"pistachioford.example/core/steer"
)

// target is a server of work.
type target struct {
	world   *world
	id      steer.TargetID
	zone    Zone
	service Service
	running []*run
	queue   []*run
	// objects holds what is at hand, the one used last at the end.
	objects []uint64
	// slow multiplies the time that work takes.
	slow float64
	// shedding targets refuse everything, crashed ones answer nothing.
	shedding, crashed bool
}

// load is the target's own count.
func (t *target) load() *steer.Load {
	return &steer.Load{Running: len(t.running), Waiting: len(t.queue), Slots: t.service.Slots}
}

// accept takes a request in, or refuses it.
func (t *target) accept(r *run) {
	switch {
	case r.done:
	case t.crashed:
		r.answer(steer.ExchangeReport{Result: steer.NotSent})
	case t.shedding, len(t.running) >= t.service.Slots && len(t.queue) >= t.service.Queue:
		r.answer(steer.ExchangeReport{Result: steer.Shed, Load: t.load()})
	case len(t.running) >= t.service.Slots:
		t.queue = append(t.queue, r)
	default:
		t.begin(r)
	}
}

func (t *target) begin(r *run) {
	w := t.world
	t.running = append(t.running, r)
	work := r.call.work.Cold
	if i := slices.Index(t.objects, r.call.object); i >= 0 {
		work = r.call.work.Warm
		t.objects = slices.Delete(t.objects, i, i+1)
	} else {
		w.result.cold(r.call)
	}
	w.After(time.Duration(t.slow*float64(work)), func() { t.finish(r) })
}

func (t *target) finish(r *run) {
	if !slices.Contains(t.running, r) {
		return
	}
	t.objects = append(t.objects, r.call.object)
	if len(t.objects) > t.service.Memory {
		t.objects = t.objects[1:]
	}
	ended := steer.ExchangeReport{Result: steer.Responded, Load: t.load()}
	t.leave(r)
	r.answer(ended)
}

// leave drops a request that ended, or whose caller no longer waits, and
// begins with the next ones.
func (t *target) leave(r *run) {
	t.running = remove(t.running, r)
	t.queue = remove(t.queue, r)
	for len(t.running) < t.service.Slots && len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.begin(next)
	}
}

func remove(runs []*run, r *run) []*run {
	if i := slices.Index(runs, r); i >= 0 {
		return slices.Delete(runs, i, i+1)
	}
	return runs
}

// crash ends all work; nobody learns how far it came.
func (t *target) crash() {
	t.crashed = true
	lost := append(slices.Clone(t.running), t.queue...)
	t.running, t.queue, t.objects = nil, nil, nil
	for _, r := range lost {
		r.answer(steer.ExchangeReport{Result: steer.Broken})
	}
}

// apply begins a fault and plans its end.
func (w *world) apply(e Event) {
	if e.Kind == Burst {
		return // burstOf looks the plan up
	}
	var hit []*target
	for _, t := range w.byService[e.Service] {
		if e.Zone == "" || e.Zone == t.zone.Name {
			hit = append(hit, t)
		}
	}
	w.chance.Shuffle(len(hit), func(i, j int) { hit[i], hit[j] = hit[j], hit[i] })
	hit = hit[:int(e.Fraction*float64(len(hit))+0.5)]
	for _, t := range hit {
		switch e.Kind {
		case Slow:
			t.slow *= e.Factor
		case Shed:
			t.shedding = true
		case Crash:
			t.crash()
		}
	}
	w.After(e.For, func() {
		for _, t := range hit {
			switch e.Kind {
			case Slow:
				t.slow /= e.Factor
			case Shed:
				t.shedding = false
			case Crash:
				t.crashed = false
			}
		}
	})
}
