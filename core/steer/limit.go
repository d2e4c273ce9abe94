package steer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioford.example/core/sharedrate"
)

// A target that names a limit takes that many requests per second from all
// instances together. They cannot count these together in time, so each gets a
// share of the limit, as a token bucket of its own.
//
// The shares follow the load. An instance measures its demand: the requests per
// second whose home target is of a service and in a region. While targets of the
// service name limits, heartbeats carry the demand, and the shares of a target
// are in proportion to the demands for its service and region. Hashing spreads
// objects evenly over the targets of a region, so that these are also the
// proportions for one target. An instance of the region that does not report yet
// is taken to have as much as this one.
//
// A target that names a limit is also the home of fewer objects, as many as
// bring it about that many requests: otherwise the requests beyond the limit
// would run where their objects are not cached, on targets that are then full.
// The weights are rounded to a few classes, so that instances whose views of the
// demand differ a little agree on the homes of most objects.
//
// An instance that no longer sends heartbeats keeps its share for a while: one
// that is cut off goes on with its own share, and neither side of a partition
// takes over that of the other. An instance that starts has the shares that
// heartbeats give it; it sends little before it has demand.
const (
	// unusedLimitTime bounds the requests that all instances may have saved up,
	// in multiples of what the limit allows in this time. Each instance can save
	// one, so that the bound determines how many instances share a limit.
	unusedLimitTime = time.Second
	// limitBurstTime is the time for which a larger share may be saved up.
	limitBurstTime = 250 * time.Millisecond
	// initialLimitTokens is what an instance may send at once after it learned
	// of a limit.
	initialLimitTokens = 0.5
	// limitShareTTL is how long a computed share is used.
	limitShareTTL = time.Second
	// minDemand is the demand in requests per second that is assumed of an
	// instance with less, so that it gets a share to begin with.
	minDemand = 0.1
)

// demandGroup is what a demand is for: the targets of a service in a region.
type demandGroup struct {
	service, region string
}

// hash identifies the group in heartbeats.
func (g demandGroup) hash() uint32 {
	return uint32(mix(xxhash.Sum64String(g.service), xxhash.Sum64String(g.region)))
}

// Demand is an instance's demand for the targets of a service in a region. Its
// group is the hash of the service and the region.
type Demand = sharedrate.Demand

// PeerDemand is what another instance reported of its demands.
type PeerDemand struct {
	Name, Region string
	// Reported is set if the instance reports its demands. It then has none but
	// those in Demands.
	Reported bool
	Demands  []Demand
}

// peerDemand is a PeerDemand whose demands are found by group.
type peerDemand struct {
	name     uint64
	region   string
	reported bool
	demands  map[uint32]float64
}

// SetPeerDemands replaces what is known of the demands of the other instances.
func (e *Engine) SetPeerDemands(peers []PeerDemand) {
	e.peerDemands = e.peerDemands[:0]
	for _, p := range peers {
		known := peerDemand{
			name: xxhash.Sum64String(p.Name), region: p.Region, reported: p.Reported, demands: make(map[uint32]float64, len(p.Demands)),
		}
		for _, d := range p.Demands {
			known.demands[d.Group] = d.PerSecond
		}
		e.peerDemands = append(e.peerDemands, known)
	}
}

// recordDemand counts a request whose home target is t.
func (e *Engine) recordDemand(now time.Time, t *target) {
	group := demandGroup{t.Service, t.region}
	rate := e.demands[group]
	if rate == nil {
		rate = &sharedrate.Rate{}
		e.demands[group] = rate
	}
	rate.Record(now)
}

func (e *Engine) demandFor(now time.Time, group demandGroup) float64 {
	rate := e.demands[group]
	if rate == nil {
		return minDemand
	}
	return max(rate.Current(now), minDemand)
}

// Demands returns what this instance reports to the others: its demands, if it
// knows of a target that names a limit.
func (e *Engine) Demands(now time.Time) (demands []Demand, reported bool) {
	for _, t := range e.targets {
		reported = reported || t.notice.limit > 0
	}
	if !reported {
		return nil, false
	}
	for group, rate := range e.demands {
		if perSecond := rate.Current(now); perSecond >= minDemand {
			demands = append(demands, Demand{Group: group.hash(), PerSecond: perSecond})
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Group, b.Group) })
	return demands, true
}

// limitShare is this instance's part in the limit of a target.
type limitShare struct {
	// fraction of the limit, 0 if this instance must not send to the target.
	fraction float64
	// weightClass is the target's class in the rendezvous of objects.
	weightClass int
	computedAt  time.Time
	bucket      sharedrate.Bucket
}

func (s *limitShare) isCurrent(now time.Time) bool { return now.Sub(s.computedAt) < limitShareTTL }

// shareOf returns this instance's part in the limit of a target, with the tokens
// that it has now.
func (e *Engine) shareOf(now time.Time, t *target) *limitShare {
	share := &t.notice.share
	if !share.isCurrent(now) {
		fraction, selected := e.divideLimit(now, t)
		share.fraction, share.weightClass = fraction, e.limitedWeightClass(now, t, selected)
		share.computedAt = now
	}
	rate := t.notice.limit * share.fraction
	if !share.bucket.Start(now, initialLimitTokens) {
		share.bucket.Refill(now, rate, max(1, rate*limitBurstTime.Seconds()))
	}
	return share
}

// divideLimit returns the fraction of a target's limit that this instance may
// use. All instances with the same view of the demands agree on the fractions.
// If there are more instances than the limit allows, a weighted rendezvous
// selects those that share it, mostly instances with much demand; selected is
// their fraction of all demand.
func (e *Engine) divideLimit(now time.Time, t *target) (fraction, selected float64) {
	group := demandGroup{t.Service, t.region}
	hash, own := group.hash(), e.demandFor(now, group)
	members := []sharedrate.Member{{Name: xxhash.Sum64String(e.self.Name), Weight: own}}
	for _, p := range e.peerDemands {
		demand := p.demands[hash]
		if !p.reported && p.region == t.region {
			demand = own
		}
		if demand > 0 {
			members = append(members, sharedrate.Member{Name: p.name, Weight: max(demand, minDemand)})
		}
	}
	most := 1 + int(t.notice.limit*unusedLimitTime.Seconds())
	return sharedrate.Divide(members, most, func(name uint64) uint64 { return mix(name, t.hash) })
}

// weightClasses is the number of weights that targets of one locality can have.
// Each is lower than the one before by the factor weightStep.
const (
	weightClasses = 9
	weightStep    = math.Sqrt2
)

var classWeights = func() (weights [weightClasses]float64) {
	for class := range weights {
		weights[class] = math.Pow(weightStep, -float64(class))
	}
	return weights
}()

// weightClassOf returns the class of a target in the rendezvous of objects: 0 is
// the full weight.
func (e *Engine) weightClassOf(now time.Time, t *target) int {
	if t.notice.limit == 0 {
		return 0
	}
	if !t.notice.share.isCurrent(now) {
		e.shareOf(now, t)
	}
	return t.notice.share.weightClass
}

// limitedWeightClass returns the class with which a target that names a limit
// gets about as many requests as the limit allows, while the others of its
// region get the rest. selected is the fraction of the demand of the instances
// that may send to it.
func (e *Engine) limitedWeightClass(now time.Time, t *target, selected float64) int {
	group := demandGroup{t.Service, t.region}
	limits, highest, free := 0.0, 0.0, 0
	for _, other := range e.byService[t.Service] {
		switch {
		case other.region != t.region || !e.inService(now, other):
		case other.notice.limit == 0:
			free++
		default:
			limits += other.notice.limit
			highest = max(highest, other.notice.limit)
		}
	}
	// The rate of a target of full weight.
	full := highest
	if free > 0 {
		full = (e.totalDemand(now, group) - limits) / float64(free)
	}
	class := math.Floor(math.Log(full*selected/t.notice.limit) / math.Log(weightStep))
	if !(class > 0) { // also if full is not positive
		return 0
	}
	return int(min(class, weightClasses-1))
}

// totalDemand returns the demand of all instances, as far as known.
func (e *Engine) totalDemand(now time.Time, group demandGroup) float64 {
	hash, own := group.hash(), e.demandFor(now, group)
	total := own
	for _, p := range e.peerDemands {
		if !p.reported && p.region == group.region {
			total += own
		}
		total += p.demands[hash]
	}
	return total
}

// sharesLimit reports whether this instance may send to the target at all: it
// names no limit, or this instance has a share in it.
func (e *Engine) sharesLimit(now time.Time, t *target) bool {
	switch share := &t.notice.share; {
	case t.notice.limit == 0:
		return true
	case share.isCurrent(now):
		return share.fraction > 0
	}
	return e.shareOf(now, t).fraction > 0
}

// withinLimit reports whether this instance may send a request to the target
// now.
func (e *Engine) withinLimit(now time.Time, t *target) bool {
	return t.notice.limit == 0 || e.shareOf(now, t).bucket.Tokens >= 1
}

// heldBack reports whether targets could serve the request if they had not
// named a limit or asked for a pause, and when the first of them takes requests
// again.
func (e *Engine) heldBack(now time.Time, r *Request) (time.Duration, bool) {
	wait, found := maxHeldBackRetryAfter, false
	for _, t := range e.byService[r.Service] {
		if !e.inService(now, t) || !r.allows(t.region) || r.hasTried(t.ID) || !t.health.usable(now, true) || t.isCold(now) {
			continue
		}
		n := t.notice
		switch {
		case n.isPaused(now):
			found, wait = true, min(wait, n.pausedUntil.Sub(now))
		case n.limit > 0:
			found = true
			share := e.shareOf(now, t)
			if rate := n.limit * share.fraction; rate > 0 {
				wait = min(wait, time.Duration(max(1-share.bucket.Tokens, 0)/rate*float64(time.Second)))
			}
		}
	}
	return max(wait, busyRetryAfter), found
}

// maxHeldBackRetryAfter limits the RetryAfter of a refusal because of limits and
// pauses. Another target may take the request earlier.
const maxHeldBackRetryAfter = 2 * time.Second
