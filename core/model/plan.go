package model

import (
	"regexp"
	"slices"
	"time"

	"pistachioford.example/core/toml"
)

// Plan describes a deployment, its load and its faults.
type Plan struct {
	// Length is the time in which requests arrive.
	Length time.Duration
	// Settle is the first part of Length. Its requests count only in the results
	// by second.
	Settle time.Duration
	// Retries is how often a caller retries after refusals.
	Retries int
	// Zones are in the order of the file.
	Zones []Zone
	// ZoneRTT is the round-trip time between zones of a region, RegionRTT that
	// between regions.
	ZoneRTT, RegionRTT time.Duration
	Services           []Service
	Work               []Work
	Events             []Event
}

// Zone is an availability zone.
type Zone struct {
	Name, Region string
	// Instances is the number of instances in the zone.
	Instances int
}

// Service is a group of targets of one kind.
type Service struct {
	Name string
	// Targets is the number of targets in each zone, in the order of the zones.
	Targets []int
	// Slots is the number of requests that a target runs at a time, Queue the
	// number that may wait there before it refuses more.
	Slots, Queue int
	// CacheSize is the number of objects that a target caches.
	CacheSize int
	// PaceShare is the fraction of the targets whose machines take PaceFactor
	// times as long, drawn again after each PaceInterval. Targets state the pace
	// with their load if PaceInterval is set.
	PaceShare, PaceFactor float64
	PaceInterval          time.Duration
	// TailShare is the fraction of the requests that take TailFactor times as
	// long.
	TailShare, TailFactor float64
}

// Work is a kind of request.
type Work struct {
	Name, Service string
	// Rate is the number of requests per second in each zone.
	Rate float64
	// Cold is the time that a target takes for a request whose object is not
	// cached, Warm that for one whose object is.
	Cold, Warm time.Duration
	// LatencyObjective is the time within which a response is in time. Timeout
	// is the time after which the caller stops waiting.
	LatencyObjective, Timeout time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// Objects is the number of objects in each region.
	Objects int
	// Idempotent requests may run more than once.
	Idempotent bool
}

// Kinds of events.
const (
	// Burst multiplies the rate of a kind of work.
	Burst = "burst"
	// Slow multiplies the time that requests take at some targets of a service.
	Slow = "slow"
	// Shed makes some targets of a service refuse all requests.
	Shed = "shed"
	// Crash stops some targets of a service; the requests there are lost.
	Crash = "crash"
)

// Event is a burst of load or a fault. Zone is empty for all zones, Work for all
// kinds of work.
type Event struct {
	Kind string
	// The event begins when At has passed since the start of the load, and lasts
	// For.
	At, For time.Duration
	Zone    string
	Work    string
	Service string
	// Factor is what Burst multiplies the rate by, and Slow the time.
	Factor float64
	// Fraction is the fraction of the service's targets that a fault affects.
	Fraction float64
}

// Bounds of a plan. They keep a run within seconds and a few hundred MB.
const (
	maxLength    = time.Hour
	maxRTT       = 10 * time.Second
	maxInstances = 64
	maxTargets   = 1024
	maxSlots     = 1024
	maxObjects   = 1 << 20
	maxRate      = 100_000 // requests per second
	maxFactor    = 1000
	maxPriority  = 9
	maxRetries   = 10
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	kindPattern = regexp.MustCompile(`^(burst|slow|shed|crash)$`)
)

const nameRule = "must be 1 to 63 lower-case letters, digits and hyphens"

// Parse parses a plan in TOML. The error lists all problems, with file, line and
// key.
func Parse(file, text string) (*Plan, error) {
	var errs toml.ErrorList
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
	p.ZoneRTT = t.Duration("zone_trip", 0, maxRTT)
	p.RegionRTT = t.Duration("region_trip", 0, maxRTT)
	for _, z := range t.Tables("zone") {
		p.Zones = append(p.Zones, Zone{
			Name:      z.MatchingString("name", namePattern, nameRule),
			Region:    z.MatchingString("region", namePattern, nameRule),
			Instances: z.Int("instances", 1, maxInstances),
		})
	}
	for _, s := range t.Tables("service") {
		p.Services = append(p.Services, Service{
			Name: s.MatchingString("name", namePattern, nameRule), Targets: s.Ints("targets", 0, maxTargets, nil),
			Slots: s.Int("slots", 1, maxSlots), Queue: s.Int("queue", 0, maxSlots), CacheSize: s.Int("memory", 0, maxObjects),
			PaceShare: s.Fraction("pace_share", 0), PaceFactor: s.Number("pace_factor", 1, maxFactor, 1),
			PaceInterval: s.Duration("pace_interval", 0, maxLength, 0),
			TailShare:    s.Fraction("tail_share", 0), TailFactor: s.Number("tail_factor", 1, maxFactor, 1),
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
		t.Errorf("", "must define at least one zone and one kind of work")
	}
}

func (p *Plan) decodeWork(t *toml.Table) {
	w := Work{
		Name: t.MatchingString("name", namePattern, nameRule), Service: t.MatchingString("service", namePattern, nameRule),
		Rate: t.PerSecond("rate", 0, maxRate),
		Cold: t.Duration("cold", time.Millisecond, maxLength), Warm: t.Duration("warm", time.Millisecond, maxLength),
		LatencyObjective: t.Duration("aim", time.Millisecond, maxLength), Timeout: t.Duration("timeout", time.Millisecond, maxLength),
		Priority: t.Int("priority", 0, maxPriority, 0), Objects: t.Int("objects", 1, maxObjects),
		Idempotent: t.Bool("repeatable", false),
	}
	if !slices.ContainsFunc(p.Services, func(s Service) bool { return s.Name == w.Service }) {
		t.Errorf("service", "no service %q is defined", w.Service)
	}
	p.Work = append(p.Work, w)
}

func (p *Plan) decodeEvent(t *toml.Table) {
	e := Event{
		Kind: t.MatchingString("kind", kindPattern, "must be burst, slow, shed or crash"),
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
		e.Factor = t.Number("factor", 1, maxFactor)
	}
	p.Events = append(p.Events, e)
}
