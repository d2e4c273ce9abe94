package model

import (
	"regexp"
	"slices"
	"time"

	"pistachioford.example/core/toml"
)

// Plan describes a deployment, its load and what happens to it.
type Plan struct {
	// Length is the time in which requests arrive.
	Length time.Duration
	// Settle is the first part of it, whose requests are not counted.
	Settle time.Duration
	// Retries is how often a caller comes back after a refusal.
	Retries int
	// Zones are in the order of the file.
	Zones []Zone
	// ZoneTrip and RegionTrip are round trips between zones and regions.
	ZoneTrip, RegionTrip time.Duration
	Services             []Service
	Work                 []Work
	Events               []Event
}

// Zone is an availability zone.
type Zone struct {
	Name, Region string
	// Instances is the number of entry instances.
	Instances int
}

// Service is a group of targets of one kind.
type Service struct {
	Name string
	// Targets is the number of targets in each zone, in the order of the zones.
	Targets []int
	// Slots is the number of requests that a target runs at a time, Queue how
	// many wait there before it refuses.
	Slots, Queue int
	// Memory is the number of objects that a target has at hand.
	Memory int
}

// Work is a kind of request.
type Work struct {
	Name, Service string
	// PerSecond is the rate in each zone.
	PerSecond float64
	// Cold and Warm are the times that a request takes without and with its
	// object at hand.
	Cold, Warm time.Duration
	// Aim is the time within which an answer is in time, Timeout that after
	// which nobody waits for it.
	Aim, Timeout time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// Objects is the number of objects in each region.
	Objects int
	// Repeatable work may run more than once.
	Repeatable bool
}

// Kinds of events.
const (
	// Burst multiplies the rate of a kind of work.
	Burst = "burst"
	// Slow multiplies the time that a part of a service's targets takes.
	Slow = "slow"
	// Shed makes a part of a service's targets refuse everything.
	Shed = "shed"
	// Crash stops a part of a service's targets; what they run is lost.
	Crash = "crash"
)

// Event is a change of the load or a fault.
type Event struct {
	Kind     string
	At, For  time.Duration
	Zone     string
	Work     string
	Service  string
	Factor   float64
	Fraction float64
}

// Bounds of a plan. They keep a run within seconds and some hundred MB.
const (
	maxLength    = time.Hour
	maxTrip      = 10 * time.Second
	maxInstances = 64
	maxTargets   = 1024
	maxSlots     = 1024
	maxObjects   = 1 << 20
	maxRate      = 100_000
	maxFactor    = 1000
	maxPriority  = 9
	maxRetries   = 10
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	kindPattern = regexp.MustCompile(`^(burst|slow|shed|crash)$`)
)

const nameRule = "must be 1 to 63 lower-case letters, digits and hyphens"

// Parse reads a plan. The error lists everything that is wrong, with file, line
// and key.
func Parse(file, text string) (*Plan, error) {
	var errs toml.List
	p := &Plan{}
	if root := toml.Parse(file, text, &errs); root != nil {
		p.decode(root)
		root.Finish()
	}
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Plan) decode(t *toml.Table) {
	p.Length = t.Duration("length", time.Second, maxLength)
	p.Settle = t.Duration("settle", 0, maxLength, 0)
	p.Retries = t.Int("retries", 0, maxRetries, 1)
	p.ZoneTrip = t.Duration("zone_trip", 0, maxTrip)
	p.RegionTrip = t.Duration("region_trip", 0, maxTrip)
	for _, z := range t.Tables("zone") {
		p.Zones = append(p.Zones, Zone{
			Name:      z.Matching("name", namePattern, nameRule),
			Region:    z.Matching("region", namePattern, nameRule),
			Instances: z.Int("instances", 1, maxInstances),
		})
	}
	for _, s := range t.Tables("service") {
		p.Services = append(p.Services, Service{
			Name: s.Matching("name", namePattern, nameRule), Targets: s.Ints("targets", 0, maxTargets, nil),
			Slots: s.Int("slots", 1, maxSlots), Queue: s.Int("queue", 0, maxSlots), Memory: s.Int("memory", 0, maxObjects),
		})
		if got := len(p.Services[len(p.Services)-1].Targets); got != len(p.Zones) {
			s.Errorf("targets", "must have one number for each of the %d zones, has %d", len(p.Zones), got)
		}
	}
	for _, w := range t.Tables("work") {
		p.decodeWork(w)
	}
	for _, e := range t.Tables("event") {
		p.decodeEvent(e)
	}
	if len(p.Zones) == 0 || len(p.Work) == 0 {
		t.Errorf("", "must have a zone and a kind of work at least")
	}
}

func (p *Plan) decodeWork(t *toml.Table) {
	w := Work{
		Name: t.Matching("name", namePattern, nameRule), Service: t.Matching("service", namePattern, nameRule),
		PerSecond: t.PerSecond("rate", 0, maxRate),
		Cold:      t.Duration("cold", time.Millisecond, maxLength), Warm: t.Duration("warm", time.Millisecond, maxLength),
		Aim: t.Duration("aim", time.Millisecond, maxLength), Timeout: t.Duration("timeout", time.Millisecond, maxLength),
		Priority: t.Int("priority", 0, maxPriority, 0), Objects: t.Int("objects", 1, maxObjects),
		Repeatable: t.Bool("repeatable", false),
	}
	if !slices.ContainsFunc(p.Services, func(s Service) bool { return s.Name == w.Service }) {
		t.Errorf("service", "no service %q is defined before", w.Service)
	}
	p.Work = append(p.Work, w)
}

func (p *Plan) decodeEvent(t *toml.Table) {
	e := Event{
		Kind: t.Matching("kind", kindPattern, "must be burst, slow, shed or crash"),
		At:   t.Duration("at", 0, maxLength), For: t.Duration("for", 0, maxLength),
		Zone: t.String("zone", ""),
	}
	if e.Zone != "" && !slices.ContainsFunc(p.Zones, func(z Zone) bool { return z.Name == e.Zone }) {
		t.Errorf("zone", "no zone %q is defined", e.Zone)
	}
	if e.Kind == Burst {
		e.Work = t.String("work", "")
		if e.Work != "" && !slices.ContainsFunc(p.Work, func(w Work) bool { return w.Name == e.Work }) {
			t.Errorf("work", "no kind of work %q is defined", e.Work)
		}
	} else {
		e.Service = t.String("service")
		e.Fraction = t.Fraction("share", 1)
		if !slices.ContainsFunc(p.Services, func(s Service) bool { return s.Name == e.Service }) {
			t.Errorf("service", "no service %q is defined", e.Service)
		}
	}
	if e.Kind == Burst || e.Kind == Slow {
		e.Factor = float64(t.Int("factor", 1, maxFactor))
	}
	p.Events = append(p.Events, e)
}
