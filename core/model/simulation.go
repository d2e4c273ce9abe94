package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioford.example/core/admission"
	"pistachioford.example/core/steer"
	"pistachioford.example/core/virtual"
)

// Policy states how targets are chosen.
type Policy string

// Policies. PolicyEngine uses the engine's choice of target. PolicyRandom is a
// baseline that replaces it by a random target of the service.
const (
	PolicyEngine Policy = "engine"
	PolicyRandom Policy = "random"
)

const (
	// resumeInterval is how often delayed requests are decided on again, beside
	// each end of an exchange.
	resumeInterval = 25 * time.Millisecond
	// shareInterval is how often instances of a zone exchange observations,
	// as with their heartbeats.
	shareInterval = 700 * time.Millisecond
	// tickInterval is how often Tick of an engine is called.
	tickInterval = 500 * time.Millisecond
	// sameZoneRTT is the round-trip time within a zone.
	sameZoneRTT = time.Millisecond
	// maxRetryFraction is the largest fraction of its remaining time that a
	// caller waits before a retry after a refusal.
	maxRetryFraction = 1.0 / 3
	// startupTime is how long instances run before the load starts.
	startupTime = 8 * time.Second
)

// retryRule bounds retries by instances. Both existing deployments use these
// values.
var retryRule = steer.RetryRule{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}

// simulation is the state of a run.
type simulation struct {
	plan   *Plan
	policy Policy
	seed   uint64
	// loadRandom draws arrivals and objects, otherRandom everything else, so
	// that all policies get the same requests.
	loadRandom, otherRandom *rand.Rand

	virtual.Clock
	loadStart time.Time
	// instances are in the order of the plan's zones.
	instances []*instance
	targets   map[steer.TargetID]*target
	// targetsByService is used for faults and random placement.
	targetsByService map[string][]*target
	zoneRegions      map[string]string
	routes           map[string]*steer.Route
	result           *Result
	newDecider       func() admission.Decider
	// tailShares holds Service.TailShare by service.
	tailShares map[string]float64
}

type instance struct {
	zone   Zone
	engine *steer.Engine
	// name identifies the instance to others.
	name string
	// delayed holds the calls whose requests the engine delays. resumeDue is set
	// while they are to be decided on again.
	delayed   map[*steer.Request]*call
	resumeDue bool
}

// Run simulates a plan under a policy. Equal seeds give equal results.
func Run(p *Plan, policy Policy, seed uint64) *Result { return run(p, policy, seed, nil) }

// run is as Run, with another admission unless newDecider is nil.
func run(p *Plan, policy Policy, seed uint64, newDecider func() admission.Decider) *Result {
	sim := &simulation{
		plan: p, policy: policy, seed: seed, newDecider: newDecider, loadRandom: rand.New(rand.NewPCG(seed, 0)), otherRandom: rand.New(rand.NewPCG(seed, 1)),
		Clock:   virtual.Clock{Now: time.Unix(0, 0)},
		targets: map[steer.TargetID]*target{}, targetsByService: map[string][]*target{},
		zoneRegions: map[string]string{}, routes: map[string]*steer.Route{}, tailShares: map[string]float64{},
	}
	sim.loadStart = sim.Now.Add(startupTime)
	sim.result = newResult(p)
	sim.build()
	sim.schedule()
	sim.RunAll()
	sim.result.computeQuantiles()
	return sim.result
}

// build creates the document, the instances and the targets.
func (sim *simulation) build() {
	for _, z := range sim.plan.Zones {
		sim.zoneRegions[z.Name] = z.Region
	}
	document := &steer.Document{Version: 1, Services: map[string]steer.Service{}}
	for _, s := range sim.plan.Services {
		document.Services[s.Name] = steer.Service{Name: s.Name}
		sim.tailShares[s.Name] = s.TailShare
	}
	for i, work := range sim.plan.Work {
		kind := steer.NonIdempotent
		if work.Idempotent {
			kind = steer.Idempotent
		}
		document.Routes = append(document.Routes, steer.Route{
			Name: work.Name, Host: "model", Prefix: fmt.Sprintf("/%d/", i), Kind: kind,
			Timeout: work.Timeout, LatencyObjective: work.LatencyObjective, Priority: work.Priority,
			Shares: []steer.Share{{Service: work.Service, Weight: 1}}, MaxAttempts: 2, Affinity: work.Objects > 0,
		})
	}
	for i := range document.Routes {
		sim.routes[document.Routes[i].Name] = &document.Routes[i]
	}
	for _, z := range sim.plan.Zones {
		for i := range z.Instances {
			name := fmt.Sprintf("%s-%d", z.Name, i)
			e := steer.NewEngine(steer.Config{
				Self: steer.Self{Name: name, Zone: z.Name, Region: z.Region}, Zones: sim.zoneRegions, Retry: retryRule,
				NewDecider: sim.newDecider,
			})
			e.SetDocument(document)
			sim.instances = append(sim.instances, &instance{zone: z, engine: e, name: name, delayed: map[*steer.Request]*call{}})
		}
	}
	for _, s := range sim.plan.Services {
		sim.buildTargets(s)
	}
	for _, in := range sim.instances {
		in.engine.SetInstances(len(sim.instances)-1, sim.instanceNames(), true)
	}
}

func (sim *simulation) instanceNames() []string {
	var names []string
	for _, in := range sim.instances {
		names = append(names, in.name)
	}
	return names
}

func (sim *simulation) buildTargets(s Service) {
	for i, z := range sim.plan.Zones {
		for n := range s.Targets[i] {
			id := steer.TargetID(fmt.Sprintf("%s-%s-%d", s.Name, z.Name, n))
			t := &target{sim: sim, id: id, zone: z, service: s, slowdown: 1}
			sim.targets[id] = t
			sim.targetsByService[s.Name] = append(sim.targetsByService[s.Name], t)
			for _, in := range sim.instances {
				in.engine.PutTarget(sim.Now, steer.Record{
					ID: id, Service: s.Name, Address: string(id), Zone: z.Name, Slots: s.Slots, Sequence: 1, Boot: 1,
				})
			}
		}
	}
}

// schedule schedules the arrivals, the periodic calls and the plan's events.
func (sim *simulation) schedule() {
	total := startupTime + sim.plan.Length
	for _, in := range sim.instances {
		sim.schedulePeriodic(tickInterval, total, func() { in.engine.Tick(sim.Now) })
		sim.schedulePeriodic(shareInterval, total, func() { sim.shareObservations(in) })
	}
	sim.After(startupTime, func() {
		for i := range sim.plan.Work {
			for _, z := range sim.plan.Zones {
				sim.scheduleArrivals(&sim.plan.Work[i], z)
			}
		}
	})
	for _, e := range sim.plan.Events {
		sim.After(startupTime+e.At, func() { sim.applyEvent(e) })
	}
}

// schedulePeriodic runs a function periodically for a total time.
func (sim *simulation) schedulePeriodic(interval, total time.Duration, run func()) {
	end := sim.Now.Add(total)
	// A random offset keeps the instances out of phase.
	sim.Every(time.Duration(sim.otherRandom.Int64N(int64(interval))), interval, func() bool {
		run()
		return sim.Now.Before(end)
	})
}

// shareObservations sends an instance's observations to the others of its zone.
func (sim *simulation) shareObservations(from *instance) {
	observations := from.engine.Observations(sim.Now)
	for _, to := range sim.instances {
		if to != from && to.zone.Name == from.zone.Name {
			to.engine.RecordObservations(sim.Now, from.name, observations)
		}
	}
}

// rtt returns the round-trip time between two zones.
func (sim *simulation) rtt(a, b Zone) time.Duration {
	switch {
	case a.Name == b.Name:
		return sameZoneRTT
	case a.Region == b.Region:
		return sim.plan.ZoneRTT
	default:
		return sim.plan.RegionRTT
	}
}

// objectID returns the hash that identifies the nth object of a region.
func objectID(work *Work, region string, n int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", work.Name, region, n))
}
