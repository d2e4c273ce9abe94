package steer

import (
	"time"
)

// Self is the instance that decides.
type Self struct {
	Name, Zone, Region string
}

// Config is what does not change while an instance runs.
type Config struct {
	Self Self
	// Zones maps each zone to its region.
	Zones map[string]string
	Retry RetryRule
}

// Engine holds the tables. It is not safe for concurrent use.
type Engine struct {
	self      Self
	zones     map[string]string
	retry     RetryRule
	document  *Document
	targets   map[TargetID]*target
	byService map[string][]*target
	byHash    map[uint64]*target
	evacuated map[string]bool
	// peers is the number of other live instances.
	peers int
	// members are the names of the other instances that may send to cold
	// targets, live or not.
	members      []string
	membersKnown bool
	// sender tells whether this instance may send to cold targets.
	sender   bool
	budgets  map[string]*budget
	suspects suspects
	warm     warmth
	learned  map[durationKey]*durations
	trips    map[string]time.Duration
	spills   map[string]*spill
	// pressures is the part of a service's arrivals that meet a long queue.
	pressures map[string]float64
	// credits hold the weighted round robin of each split route.
	credits map[string][]int
}

type durationKey struct {
	route, service string
}

// NewEngine returns an engine without a document or targets.
func NewEngine(c Config) *Engine {
	return &Engine{
		self: c.Self, zones: c.Zones, retry: c.Retry,
		targets:   map[TargetID]*target{},
		byService: map[string][]*target{},
		byHash:    map[uint64]*target{},
		evacuated: map[string]bool{},
		budgets:   map[string]*budget{},
		suspects:  suspects{table: map[uint64]suspect{}},
		warm:      warmth{last: map[uint64]time.Time{}},
		learned:   map[durationKey]*durations{},
		trips:     map[string]time.Duration{},
		spills:    map[string]*spill{},
		pressures: map[string]float64{},
		credits:   map[string][]int{},
	}
}

// Document returns the active document, or nil.
func (e *Engine) Document() *Document { return e.document }

// SetDocument activates a document unless an equal or newer one is active.
func (e *Engine) SetDocument(d *Document) bool {
	if e.document != nil && d.Version <= e.document.Version {
		return false
	}
	e.document = d
	clear(e.credits)
	return true
}

// SetInstances states the number of other live instances, the names of the
// others that may send to cold targets, live or not, and whether this one may.
// Until the first call nothing is sent to cold targets.
func (e *Engine) SetInstances(live int, senders []string, sender bool) {
	e.peers, e.members, e.sender, e.membersKnown = live, senders, sender, true
}

// warmupOf is how long targets of a service stay cold.
func (e *Engine) warmupOf(service string) time.Duration {
	if e.document == nil {
		return 0
	}
	return e.document.Services[service].Warmup
}

func (e *Engine) coldRateOf(t *target) float64 {
	if e.document == nil {
		return 1
	}
	return e.document.Services[t.Service].ColdRate * coldPart / coldSenders
}

// Evacuate sets whether a zone's targets get nothing. They may be cold when
// the evacuation ends.
func (e *Engine) Evacuate(now time.Time, zone string, active bool) {
	if e.evacuated[zone] == active {
		return
	}
	if active {
		e.evacuated[zone] = true
		return
	}
	delete(e.evacuated, zone)
	for _, t := range e.targets {
		if t.Zone == zone {
			t.coldUntil = later(t.coldUntil, now.Add(e.warmupOf(t.Service)))
		}
	}
}

// Evacuated returns the zones whose targets get nothing.
func (e *Engine) Evacuated() []string {
	var zones []string
	for zone := range e.evacuated {
		zones = append(zones, zone)
	}
	return zones
}

// PutTarget takes in a record. It returns false for a record that is older
// than the known one or of an unknown zone.
func (e *Engine) PutTarget(now time.Time, r Record) bool {
	region, found := e.zones[r.Zone]
	if !found {
		return false
	}
	t := e.targets[r.ID]
	if t != nil && (r.Boot < t.Boot || r.Boot == t.Boot && r.Sequence < t.Sequence) {
		return false
	}
	if t == nil || r.Boot != t.Boot || r.Address != t.Address || r.Service != t.Service {
		e.remove(r.ID)
		t = newTarget(r)
		e.targets[r.ID] = t
		e.byHash[t.hash] = t
		e.byService[r.Service] = append(e.byService[r.Service], t)
	}
	t.Record, t.region, t.way = r, region, e.wayTo(r, region)
	t.goneAt = time.Time{}
	if r.ColdFor > 0 {
		t.coldUntil = later(t.coldUntil, now.Add(r.ColdFor))
	}
	return true
}

// DropTarget takes a target out of use after a grace, which covers entries
// that lapse while the registry itself was away.
func (e *Engine) DropTarget(now time.Time, id TargetID, grace time.Duration) {
	t := e.targets[id]
	if t == nil || !t.goneAt.IsZero() {
		return
	}
	t.goneAt = now.Add(grace)
}

// Tick runs the periodic systems: it forgets targets that are gone and have no
// request left, and adjusts what other regions get.
func (e *Engine) Tick(now time.Time) {
	e.adjustSpills(now)
	for id, t := range e.targets {
		if !t.goneAt.IsZero() && !now.Before(t.goneAt) && t.running == 0 {
			e.remove(id)
		}
	}
	e.suspects.forget(now)
}

func (e *Engine) remove(id TargetID) {
	t := e.targets[id]
	if t == nil {
		return
	}
	delete(e.targets, id)
	delete(e.byHash, t.hash)
	kept := e.byService[t.Service][:0]
	for _, other := range e.byService[t.Service] {
		if other != t {
			kept = append(kept, other)
		}
	}
	e.byService[t.Service] = kept
}

// Targets returns the number of known targets.
func (e *Engine) Targets() int { return len(e.targets) }

// ObserveTrip takes in the time that a connection to a zone took to open.
func (e *Engine) ObserveTrip(zone string, trip time.Duration) {
	mean, found := e.trips[zone]
	if !found {
		mean = trip
	}
	e.trips[zone] = mean + time.Duration(tripWeight*float64(trip-mean))
}

func (e *Engine) durationsOf(r *Request) *durations {
	key := durationKey{r.Route.Name, r.Service}
	d := e.learned[key]
	if d == nil {
		aim := r.Route.Aim
		if aim <= 0 {
			aim = r.Route.Timeout / 3
		}
		d = &durations{
			warm: time.Duration(firstWarm * float64(aim)),
			cold: time.Duration(firstCold * float64(aim)),
		}
		e.learned[key] = d
	}
	return d
}

// pickService distributes the requests of a split route by weight.
func (e *Engine) pickService(route *Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	credits := e.credits[route.Name]
	if len(credits) != len(route.Shares) {
		credits = make([]int, len(route.Shares))
		e.credits[route.Name] = credits
	}
	best, total := 0, 0
	for i, share := range route.Shares {
		credits[i] += share.Weight
		total += share.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return route.Shares[best].Service
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
