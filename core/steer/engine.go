package steer

import (
	"time"

	"pistachioford.example/core/admission"
	"pistachioford.example/core/poison"
	"pistachioford.example/core/sharedrate"
)

// Self identifies the instance that makes the decisions.
type Self struct {
	Name, Zone, Region string
}

// Config holds the settings that stay fixed while an instance runs.
type Config struct {
	Self Self
	// Zones maps each zone to its region.
	Zones map[string]string
	Retry RetryRule
	// ReportInterval is how often targets renew their registry entries, 0 if that
	// is not known.
	ReportInterval time.Duration
	// NewDecider returns the admission of a service; nil means
	// admission.Controller.
	NewDecider func() admission.Decider
}

// Engine makes the decisions from the document and from what is known of
// targets and other instances. It is not safe for concurrent use.
type Engine struct {
	self      Self
	zones     map[string]string
	retry     RetryRule
	document  *Document
	targets   map[TargetID]*target
	byService map[string][]*target
	// byHash finds the targets of observations, by the hash of their id.
	byHash    map[uint64]*target
	evacuated map[string]bool
	// livePeers is the number of other live instances.
	livePeers int
	// senderCandidates are the names of the other instances that may send to
	// cold targets, live or not.
	senderCandidates []string
	instancesKnown   bool
	// isSender is set if this instance may send to cold targets.
	isSender      bool
	retryBudgets  map[string]*retryBudget
	poison        *poison.Detector
	recentObjects recentObjects
	serviceTimes  map[routeService]*serviceTimes
	// rtts holds the moving average of the round-trip time to each zone.
	rtts map[string]time.Duration
	// spills is keyed by service.
	spills map[string]*regionSpill
	// controllers decide for each service which requests are sent when there is
	// too little room. ordered is set for the services whose priorities are kept
	// in order, and delayed holds their delayed requests.
	controllers map[string]admission.Decider
	ordered     map[string]bool
	newDecider  func() admission.Decider
	delayed     map[string]*admission.Queue[*Request]
	// paces is keyed by service.
	paces map[string]*pace
	// meanCap is the mean usage cap of the accounts.
	meanCap float64
	// notices holds what targets stated, by their ids.
	notices       map[TargetID]*notice
	noticeChanges []NoticeChange
	// demands are the requests per second of this instance, peerDemands those
	// that other instances reported.
	demands     map[demandGroup]*sharedrate.Rate
	peerDemands []peerDemand
	// credits holds the state of the smooth weighted round robin of each split
	// route.
	credits map[string][]int
}

type routeService struct {
	route, service string
}

// NewEngine returns an engine without a document or targets.
func NewEngine(c Config) *Engine {
	e := &Engine{
		self: c.Self, zones: c.Zones, retry: c.Retry,
		targets:       map[TargetID]*target{},
		byService:     map[string][]*target{},
		byHash:        map[uint64]*target{},
		evacuated:     map[string]bool{},
		retryBudgets:  map[string]*retryBudget{},
		poison:        poison.New(c.Self.Name),
		recentObjects: recentObjects{handledAt: map[uint64]time.Time{}},
		serviceTimes:  map[routeService]*serviceTimes{},
		rtts:          map[string]time.Duration{},
		spills:        map[string]*regionSpill{},
		controllers:   map[string]admission.Decider{},
		newDecider:    c.NewDecider,
		delayed:       map[string]*admission.Queue[*Request]{},
		paces:         map[string]*pace{},
		credits:       map[string][]int{},
		notices:       map[TargetID]*notice{},
		demands:       map[demandGroup]*sharedrate.Rate{},
	}
	if e.newDecider == nil {
		e.newDecider = func() admission.Decider { return &admission.Controller{} }
	}
	e.poison.SetReportInterval(c.ReportInterval)
	return e
}

// Document returns the active document, or nil.
func (e *Engine) Document() *Document { return e.document }

// SetDocument activates a document and returns true, unless the active one has
// the same or a newer version.
func (e *Engine) SetDocument(d *Document) bool {
	if e.document != nil && d.Version <= e.document.Version {
		return false
	}
	e.document = d
	e.setOrder(d)
	clear(e.credits)
	for _, t := range e.targets {
		t.warmup = e.warmupOf(t.Service)
	}
	return true
}

// SetInstances sets the number of other live instances, the names of the others
// that may send to cold targets, live or not, and whether this instance may.
// Until the first call nothing is sent to cold targets.
func (e *Engine) SetInstances(live int, senders []string, isSender bool) {
	e.livePeers, e.senderCandidates, e.isSender, e.instancesKnown = live, senders, isSender, true
}

// warmupOf returns how long targets of a service stay cold after their start.
func (e *Engine) warmupOf(service string) time.Duration {
	if e.document == nil {
		return 0
	}
	return e.document.Services[service].Warmup
}

// senderRateOf returns the requests per second that one sender may send to a
// cold target.
func (e *Engine) senderRateOf(t *target) float64 {
	if e.document == nil {
		return 1
	}
	return e.document.Services[t.Service].ColdRate * coldRateFraction / sendersPerColdTarget
}

// Evacuate sets whether a zone is evacuated, so that its targets get no
// requests. They may be cold when the evacuation ends and are treated as such.
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
			t.reopenedAt = now
		}
	}
}

// Evacuated returns the evacuated zones.
func (e *Engine) Evacuated() []string {
	var names []string
	for zone := range e.evacuated {
		names = append(names, zone)
	}
	return names
}

// PutTarget adds or updates a target. It returns false for a record that is
// older than the known one or whose zone is unknown.
func (e *Engine) PutTarget(now time.Time, r Record) bool {
	region, found := e.zones[r.Zone]
	if !found {
		return false
	}
	t := e.targets[r.ID]
	if t != nil && (r.Boot < t.Boot || r.Boot == t.Boot && r.Sequence < t.Sequence) {
		return false
	}
	if t != nil && r.Boot != t.Boot {
		e.recordRestart(now, t)
	}
	if t == nil || r.Boot != t.Boot || r.Address != t.Address || r.Service != t.Service {
		e.removeTarget(r.ID)
		t = newTarget(r)
		e.targets[r.ID] = t
		e.byHash[t.hash] = t
		e.byService[r.Service] = append(e.byService[r.Service], t)
	}
	t.Record, t.region, t.locality = r, region, e.localityOf(r, region)
	t.warmup = e.warmupOf(r.Service)
	t.notice = e.noticeOf(now, r)
	t.updateRestricted(now)
	t.expiresAt, t.lapsed = time.Time{}, false
	e.poison.RecordAlive(now, t.bootHash())
	if r.ColdRemaining > 0 {
		t.coldUntil = later(t.coldUntil, now.Add(r.ColdRemaining))
	}
	return true
}

// DropTarget takes a target out of use after a grace period, which covers
// registry entries that expire while the registry itself is unavailable.
func (e *Engine) DropTarget(now time.Time, id TargetID, grace time.Duration) {
	t := e.targets[id]
	if t == nil || !t.expiresAt.IsZero() {
		return
	}
	t.expiresAt = now.Add(grace)
}

// Tick does the periodic work: it adjusts the fraction of objects with homes in
// other regions, removes expired targets without requests in flight, and
// expires what is known of poison requests and notices.
func (e *Engine) Tick(now time.Time) {
	e.adjustSpills(now)
	for id, t := range e.targets {
		if t.expiresAt.IsZero() || now.Before(t.expiresAt) {
			continue
		}
		e.recordLapse(now, t)
		if t.inFlight == 0 {
			e.removeTarget(id)
		}
	}
	e.poison.Expire(now)
	e.expireNotices(now)
}

// recordRestart records that a target has started again, after it left or was lost.
func (e *Engine) recordRestart(now time.Time, t *target) {
	if t.hasLeft() {
		e.poison.RecordLeave(t.bootHash())
		return
	}
	e.poison.RecordRestart(now, t.bootHash())
}

// recordLapse records once that the registry entry of a target has ended.
func (e *Engine) recordLapse(now time.Time, t *target) {
	switch {
	case t.lapsed:
	case t.hasLeft():
		e.poison.RecordLeave(t.bootHash())
	default:
		e.poison.RecordLapse(now, t.bootHash())
	}
	t.lapsed = true
}

// hasLeft reports whether the target announced that it stops.
func (t *target) hasLeft() bool { return t.Draining || t.notice.leaving }

func (e *Engine) removeTarget(id TargetID) {
	t := e.targets[id]
	if t == nil {
		return
	}
	delete(e.targets, id)
	delete(e.byHash, t.hash)
	others := e.byService[t.Service][:0]
	for _, other := range e.byService[t.Service] {
		if other != t {
			others = append(others, other)
		}
	}
	e.byService[t.Service] = others
}

// Poison returns what is known of requests that crash targets.
func (e *Engine) Poison() *poison.Detector { return e.poison }

// AdoptPoison takes over the requests that an engine which this one replaces
// refused since they crash targets.
func (e *Engine) AdoptPoison(now time.Time, from *Engine) {
	e.poison.RecordVerdicts(now, from.poison.Verdicts(now))
}

// Targets returns the number of known targets.
func (e *Engine) Targets() int { return len(e.targets) }

// ObserveRTT records the time that a connection to a zone took to open as a
// sample of the round-trip time.
func (e *Engine) ObserveRTT(zone string, rtt time.Duration) {
	smoothed, found := e.rtts[zone]
	if !found {
		smoothed = rtt
	}
	e.rtts[zone] = smoothed + time.Duration(rttWeight*float64(rtt-smoothed))
}

func (e *Engine) serviceTimesOf(r *Request) *serviceTimes {
	key := routeService{r.Route.Name, r.Service}
	times := e.serviceTimes[key]
	if times == nil {
		objective := r.Route.LatencyObjective
		if objective <= 0 {
			objective = r.Route.Timeout / 3
		}
		times = &serviceTimes{
			cached:   time.Duration(initialCachedFactor * float64(objective)),
			uncached: time.Duration(initialUncachedFactor * float64(objective)),

			homeHitRate: initialHomeHitRate,
		}
		e.serviceTimes[key] = times
	}
	return times
}

// pickService returns the service that gets the next request of a route. A split
// route distributes its requests by weight.
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
