package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioford.example/core/steer"
	"pistachioford.example/core/virtual"
)

// Policy chooses targets.
type Policy string

// Policies. Random is a baseline that knows nothing but the list of targets.
const (
	PolicyEngine Policy = "engine"
	PolicyRandom Policy = "random"
)

const (
	// sharePeriod is how often instances of a zone tell each other what they
	// see, as their heartbeats do.
	sharePeriod = 700 * time.Millisecond
	// tickPeriod is how often the periodic systems of an engine run.
	tickPeriod = 500 * time.Millisecond
	// nearTrip is the round trip within a zone.
	nearTrip = time.Millisecond
	// retryPart is the part of the time left that a caller waits before it
	// comes back after a refusal, at most.
	retryPart = 1.0 / 3
	// settleBefore is how long instances run before the first request.
	settleBefore = 8 * time.Second
)

// retryRule is the bound on repeats by instances that both of today's
// deployments have.
var retryRule = steer.RetryRule{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}

// world is the state of a run.
type world struct {
	plan   *Plan
	policy Policy
	// random draws arrivals and objects, chance all else, so that policies meet
	// the same requests.
	random, chance *rand.Rand

	virtual.Clock
	start time.Time
	// instances are in the order of the zones.
	instances []*instance
	targets   map[steer.TargetID]*target
	// byService holds the targets of a service, for faults and baselines.
	byService map[string][]*target
	regions   map[string]string
	routes    map[string]*steer.Route
	result    *Result
}

type instance struct {
	zone   Zone
	engine *steer.Engine
	// name is told to others.
	name string
}

// Run plays a plan.
func Run(p *Plan, policy Policy, seed uint64) *Result {
	w := &world{
		plan: p, policy: policy, random: rand.New(rand.NewPCG(seed, 0)), chance: rand.New(rand.NewPCG(seed, 1)),
		Clock:   virtual.Clock{Now: time.Unix(0, 0)},
		targets: map[steer.TargetID]*target{}, byService: map[string][]*target{},
		regions: map[string]string{}, routes: map[string]*steer.Route{},
	}
	w.start = w.Now.Add(settleBefore)
	w.result = newResult(p)
	w.build()
	w.schedule()
	w.RunAll()
	w.result.finish()
	return w.result
}

// build creates instances and targets.
func (w *world) build() {
	for _, z := range w.plan.Zones {
		w.regions[z.Name] = z.Region
	}
	document := &steer.Document{Version: 1, Services: map[string]steer.Service{}}
	for _, s := range w.plan.Services {
		document.Services[s.Name] = steer.Service{Name: s.Name}
	}
	for i, work := range w.plan.Work {
		kind := steer.NonIdempotent
		if work.Repeatable {
			kind = steer.Idempotent
		}
		document.Routes = append(document.Routes, steer.Route{
			Name: work.Name, Host: "model", Prefix: fmt.Sprintf("/%d/", i), Kind: kind,
			Timeout: work.Timeout, LatencyObjective: work.Aim, Priority: work.Priority,
			Shares: []steer.Share{{Service: work.Service, Weight: 1}}, MaxAttempts: 2, Affinity: work.Objects > 0,
		})
	}
	for i := range document.Routes {
		w.routes[document.Routes[i].Name] = &document.Routes[i]
	}
	for _, z := range w.plan.Zones {
		for i := range z.Instances {
			name := fmt.Sprintf("%s-%d", z.Name, i)
			e := steer.NewEngine(steer.Config{
				Self: steer.Self{Name: name, Zone: z.Name, Region: z.Region}, Zones: w.regions, Retry: retryRule,
			})
			e.SetDocument(document)
			w.instances = append(w.instances, &instance{zone: z, engine: e, name: name})
		}
	}
	for _, s := range w.plan.Services {
		w.buildTargets(s)
	}
	for _, in := range w.instances {
		in.engine.SetInstances(len(w.instances)-1, w.names(), true)
	}
}

func (w *world) names() []string {
	var names []string
	for _, in := range w.instances {
		names = append(names, in.name)
	}
	return names
}

func (w *world) buildTargets(s Service) {
	for i, z := range w.plan.Zones {
		for n := range s.Targets[i] {
			id := steer.TargetID(fmt.Sprintf("%s-%s-%d", s.Name, z.Name, n))
			t := &target{world: w, id: id, zone: z, service: s, slow: 1}
			w.targets[id] = t
			w.byService[s.Name] = append(w.byService[s.Name], t)
			for _, in := range w.instances {
				in.engine.PutTarget(w.Now, steer.Record{
					ID: id, Service: s.Name, Address: string(id), Zone: z.Name, Slots: s.Slots, Sequence: 1, Boot: 1,
				})
			}
		}
	}
}

// schedule plans arrivals, periodic work and events.
func (w *world) schedule() {
	until := settleBefore + w.plan.Length
	for _, in := range w.instances {
		w.every(tickPeriod, until, func() { in.engine.Tick(w.Now) })
		w.every(sharePeriod, until, func() { w.share(in) })
	}
	w.After(settleBefore, func() {
		for i := range w.plan.Work {
			for _, z := range w.plan.Zones {
				w.arrivals(&w.plan.Work[i], z)
			}
		}
	})
	for _, e := range w.plan.Events {
		w.After(settleBefore+e.At, func() { w.apply(e) })
	}
}

// every repeats a step for a time.
func (w *world) every(period, until time.Duration, do func()) {
	end := w.Now.Add(until)
	// Instances do not start in step.
	w.Every(time.Duration(w.chance.Int64N(int64(period))), period, func() bool {
		do()
		return w.Now.Before(end)
	})
}

func (w *world) share(from *instance) {
	seen := from.engine.Observations(w.Now)
	for _, to := range w.instances {
		if to != from && to.zone.Name == from.zone.Name {
			to.engine.RecordObservations(w.Now, from.name, seen)
		}
	}
}

// trip is the round trip between two zones.
func (w *world) trip(a, b Zone) time.Duration {
	switch {
	case a.Name == b.Name:
		return nearTrip
	case a.Region == b.Region:
		return w.plan.ZoneTrip
	default:
		return w.plan.RegionTrip
	}
}

// objectOf names an object of a region.
func objectOf(work *Work, region string, n int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", work.Name, region, n))
}
