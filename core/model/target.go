package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioford.example/core/steer"
)

// target simulates an upstream.
type target struct {
	sim     *simulation
	id      steer.TargetID
	zone    Zone
	service Service
	running []*exchange
	queue   []*exchange
	// cache holds the cached objects, the most recently used last.
	cache []uint64
	// slowdown multiplies the time that a request takes.
	slowdown float64
	// A shedding target refuses all requests, a crashed one accepts no
	// connections.
	shedding, crashed bool
}

// load returns the target's own count of its requests.
func (t *target) load() *steer.Load {
	load := &steer.Load{Running: len(t.running), Waiting: len(t.queue), Slots: t.service.Slots}
	if t.service.PaceInterval > 0 {
		load.Pace = t.paceAt(t.sim.Now)
	}
	return load
}

// paceAt returns how long work takes on the target's machine at a time, as a
// multiple of the usual time. It follows from a hash, so that all policies get
// the same machines.
func (t *target) paceAt(at time.Time) float64 {
	interval := at.Sub(time.Unix(0, 0)) / t.service.PaceInterval
	hash := xxhash.Sum64String(fmt.Sprintf("%d/%d/%s", t.sim.seed, interval, t.id))
	if float64(hash)/math.MaxUint64 < t.service.PaceShare {
		return t.service.PaceFactor
	}
	return 1
}

// timeFor returns how long the target takes from now for work that takes a
// duration at the usual pace.
func (t *target) timeFor(work time.Duration) time.Duration {
	if t.service.PaceInterval == 0 {
		return work
	}
	now := t.sim.Now
	for work > 0 {
		pace := t.paceAt(now)
		left := t.service.PaceInterval - now.Sub(time.Unix(0, 0))%t.service.PaceInterval
		if needed := time.Duration(pace * float64(work)); needed <= left {
			now = now.Add(needed)
			break
		}
		now = now.Add(left)
		work -= time.Duration(float64(left) / pace)
	}
	return now.Sub(t.sim.Now)
}

// accept starts, queues or refuses a request.
func (t *target) accept(x *exchange) {
	switch {
	case x.done:
	case t.crashed:
		x.report(steer.ExchangeReport{Result: steer.NotSent})
	case t.shedding, len(t.running) >= t.service.Slots && len(t.queue) >= t.service.Queue:
		x.report(steer.ExchangeReport{Result: steer.Shed, Load: t.load()})
	case len(t.running) >= t.service.Slots:
		t.queue = append(t.queue, x)
	default:
		t.start(x)
	}
}

// start runs a request. It takes the warm time if the object is cached and the
// cold time if not. A cached object is out of the cache until the request
// completes.
func (t *target) start(x *exchange) {
	sim := t.sim
	t.running = append(t.running, x)
	duration := x.call.work.Cold
	if i := slices.Index(t.cache, x.call.object); i >= 0 {
		duration = x.call.work.Warm
		t.cache = slices.Delete(t.cache, i, i+1)
	} else {
		sim.result.recordColdRun(x.call)
	}
	if x.call.tail {
		duration = time.Duration(t.service.TailFactor * float64(duration))
	}
	sim.After(t.timeFor(time.Duration(t.slowdown*float64(duration))), func() { t.complete(x) })
}

// complete caches the object of a request and reports the response. It does
// nothing if the target no longer runs the request.
func (t *target) complete(x *exchange) {
	if !slices.Contains(t.running, x) {
		return
	}
	t.cache = append(t.cache, x.call.object)
	if len(t.cache) > t.service.CacheSize {
		t.cache = t.cache[1:]
	}
	report := steer.ExchangeReport{Result: steer.Responded, Load: t.load()}
	t.release(x)
	x.report(report)
}

// release removes a request that ended or whose instance no longer waits for it,
// and starts queued ones.
func (t *target) release(x *exchange) {
	t.running = removeExchange(t.running, x)
	t.queue = removeExchange(t.queue, x)
	for len(t.running) < t.service.Slots && len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.start(next)
	}
}

func removeExchange(exchanges []*exchange, x *exchange) []*exchange {
	if i := slices.Index(exchanges, x); i >= 0 {
		return slices.Delete(exchanges, i, i+1)
	}
	return exchanges
}

// crash breaks all exchanges and empties the cache. The instances don't learn
// whether the requests ran.
func (t *target) crash() {
	t.crashed = true
	lostExchanges := append(slices.Clone(t.running), t.queue...)
	t.running, t.queue, t.cache = nil, nil, nil
	for _, x := range lostExchanges {
		x.report(steer.ExchangeReport{Result: steer.Broken})
	}
}

// applyEvent starts a fault and schedules its end.
func (sim *simulation) applyEvent(e Event) {
	if e.Kind == Burst {
		return // burstFactor reads bursts from the plan
	}
	var affected []*target
	for _, t := range sim.targetsByService[e.Service] {
		if e.Zone == "" || e.Zone == t.zone.Name {
			affected = append(affected, t)
		}
	}
	sim.otherRandom.Shuffle(len(affected), func(i, j int) { affected[i], affected[j] = affected[j], affected[i] })
	affected = affected[:int(e.Fraction*float64(len(affected))+0.5)]
	for _, t := range affected {
		switch e.Kind {
		case Slow:
			t.slowdown *= e.Factor
		case Shed:
			t.shedding = true
		case Crash:
			t.crash()
		}
	}
	sim.After(e.For, func() {
		for _, t := range affected {
			switch e.Kind {
			case Slow:
				t.slowdown /= e.Factor
			case Shed:
				t.shedding = false
			case Crash:
				t.crashed = false
			}
		}
	})
}
