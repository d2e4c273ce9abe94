package sharedrate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Weights holds the weights of the instances that share rates, by which each
// computes its own part. The parts must not sum up to more than the whole while
// reports are late or lost, so that an instance uses the least part that it had
// by any of its recent views: a demand that rises lowers the parts of the others
// before it raises the own one. If all demands rise together, no part changes.
//
// An instance that falls silent keeps the part that it had for silentHold: it
// may be partitioned and go on with its part. Its weight alone would not do:
// demand that rises on one side of a partition would raise the parts there,
// while the other side keeps its own. Weights is not safe for concurrent use.
type Weights struct {
	self  uint64
	peers map[string]*peerWeights
	// list holds the peers; members is reused.
	list []*peerWeights
	// holders are the peers with a demand for each rate.
	holders map[uint32][]holder
	members []Member
	// own holds the demands that this instance reported last, ordered by group.
	own []Demand
	// views are the recent ones, oldest first; startedAt is when the first was.
	views     []view
	startedAt time.Time
}

// view is what this instance knew of all demands at a call of SetPeers.
type view struct {
	at time.Time
	// own are the demands of this instance, heard the sums of those of the peers
	// without a reserved part, and all the sums over all instances.
	own        []Demand
	heard, all map[uint32]float64
	// ownBase, heardBase and allBase are the base weights of the same.
	ownBase, heardBase, allBase float64
	reserved                    []reservation
	// fractions holds this instance's computed parts and the rates that they are
	// parts of.
	fractions map[uint32]rateFraction
	// early is set if most peers may not have been heard yet.
	early bool
}

// reservation holds the sums over the peers whose parts are reserved since one
// call of SetPeers.
type reservation struct {
	by, demands map[uint32]float64
	base        float64
}

// holder is a peer, by its index in Weights.list, with its demand for a rate.
type holder struct {
	peer      int
	perSecond float64
}

type rateFraction struct{ rate, fraction float64 }

const (
	// reportDelay is how long a report may take to reach all instances: three
	// heartbeats.
	reportDelay = 2 * time.Second
	// viewHold is how long views are kept. A peer that falls silent had its part
	// by those of more than reportDelay ago.
	viewHold = 2*reportDelay + time.Second
	// heardHold is how long a peer that was silent is heard before its part is
	// no longer reserved: until it hears this instance as well and has counted
	// its demand.
	heardHold = reportDelay + time.Second
	// earlyFor is how long a process may not have heard from most peers.
	earlyFor = time.Second
	// earlyDemand is the least demand that it assumes, as a fraction of a rate.
	earlyDemand = 0.6
	// maxReserved is the most that the reserved parts can add up to.
	maxReserved = 0.99
	// silentHold is how long a silent instance keeps its part. Operators
	// replace a machine sooner; in a longer partition both sides together may
	// exceed a rate.
	silentHold = 10 * time.Minute
	// leaveHold is how long an instance that announced its end keeps its weight:
	// it still serves open connections.
	leaveHold = 8 * time.Second
	// standbyBase is the base weight of an instance that lookups do not return,
	// relative to one that they do. Callers may have cached an earlier lookup.
	standbyBase = 0.1
	// minFree is the fraction of a rate that counts as free even if the demands
	// exceed it, so that callers which come to an instance find a part.
	minFree = 0.1
)

// Peer is what is known of another instance.
type Peer struct {
	Name string
	// Received is when its newest heartbeat arrived, zero if none did.
	Received time.Time
	// Boot identifies its process.
	Boot int64
	// Leaving is set once it announced its end, Advertised if lookups return it.
	Leaving, Advertised bool
	Demands             []Demand
}

// peerWeights is the state of one other instance.
type peerWeights struct {
	name     uint64
	received time.Time
	heard    bool
	boot     int64
	leaving  bool
	base     float64
	// demands are those that it reported last, ordered by group.
	demands []Demand
	// reserved is set while its part is reserved, by the sums of all demands in
	// reservedBy as of reservedAt, zero if it was never heard; heardAgainAt is when
	// it was heard again.
	reserved     bool
	reservedBy   map[uint32]float64
	reservedAt   time.Time
	heardAgainAt time.Time
}

// NewWeights returns the weights of the instance with a name, which knows no
// others.
func NewWeights(self string) *Weights {
	return &Weights{self: xxhash.Sum64String(self), peers: map[string]*peerWeights{}, holders: map[uint32][]holder{}}
}

// RecordReport records what this instance reports from now on.
func (w *Weights) RecordReport(demands []Demand) { w.own = ordered(demands) }

func byGroup(a, b Demand) int { return cmp.Compare(a.Group, b.Group) }

// ordered returns demands ordered by group, the same ones if they are.
func ordered(demands []Demand) []Demand {
	if !slices.IsSortedFunc(demands, byGroup) {
		demands = slices.SortedFunc(slices.Values(demands), byGroup)
	}
	return demands
}

func demandFor(demands []Demand, group uint32) float64 {
	i, found := slices.BinarySearchFunc(demands, group, func(d Demand, group uint32) int { return cmp.Compare(d.Group, group) })
	if !found {
		return 0
	}
	return demands[i].PerSecond
}

// SetPeers records what is known of the other instances, and whether lookups
// return this one. Instances that are missing in a later call count as silent.
// It must be called after each RecordReport.
func (w *Weights) SetPeers(now time.Time, advertised bool, peers []Peer) {
	for _, p := range peers {
		known := w.peers[p.Name]
		if known == nil {
			known = &peerWeights{name: xxhash.Sum64String(p.Name), received: now, reserved: true, base: baseOf(true)}
			w.peers[p.Name] = known
		}
		known.update(p)
	}
	w.list = w.list[:0]
	for name, p := range w.peers {
		if p.expired(now) {
			delete(w.peers, name)
			continue
		}
		w.list = append(w.list, p)
	}
	w.indexHolders()
	w.reserve(now)
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	w.views = append(w.views, w.view(now, baseOf(advertised)))
	for now.Sub(w.views[0].at) > viewHold {
		w.views = w.views[1:]
	}
}

func (w *Weights) indexHolders() {
	for group, holders := range w.holders {
		if len(holders) == 0 {
			delete(w.holders, group)
			continue
		}
		w.holders[group] = holders[:0]
	}
	for i, p := range w.list {
		for _, d := range p.demands {
			w.holders[d.Group] = append(w.holders[d.Group], holder{i, d.PerSecond})
		}
	}
}

func baseOf(advertised bool) float64 {
	if advertised {
		return 1
	}
	return standbyBase
}

func (p *peerWeights) update(peer Peer) {
	if peer.Received.IsZero() || p.heard && !peer.Received.After(p.received) {
		return
	}
	switch {
	case !p.heard || p.boot != peer.Boot:
		// A process that has just started uses no more than its base weight.
		p.reserved, p.reservedBy, p.heardAgainAt = false, nil, time.Time{}
	case p.reserved && peer.Received.Sub(p.received) > reportDelay:
		p.heardAgainAt = peer.Received
	}
	p.received, p.heard, p.boot, p.leaving, p.base = peer.Received, true, peer.Boot, peer.Leaving, baseOf(peer.Advertised)
	p.demands = ordered(peer.Demands)
}

func (p *peerWeights) expired(now time.Time) bool {
	hold := silentHold
	if p.leaving {
		hold = leaveHold
	}
	return now.Sub(p.received) > hold
}

// reserve determines the peers whose parts are reserved. Those that were never
// heard are among them.
func (w *Weights) reserve(now time.Time) {
	var before map[uint32]float64
	for _, p := range w.list {
		silent := now.Sub(p.received) > reportDelay && !p.leaving
		switch {
		case !p.heard:
		case silent && !p.reserved:
			if before == nil {
				before = w.leastBefore(now.Add(-reportDelay))
			}
			p.reserved, p.reservedBy, p.reservedAt = true, before, now
		case !silent && now.Sub(p.heardAgainAt) >= heardHold:
			p.reserved, p.reservedBy = false, nil
		}
	}
}

// leastBefore returns the least sums of all demands until a time, as far as they
// are known, or else the earliest ones.
func (w *Weights) leastBefore(t time.Time) map[uint32]float64 {
	if len(w.views) == 0 {
		return nil
	}
	least := maps.Clone(w.views[0].all)
	for _, v := range w.views[1:] {
		if v.at.After(t) {
			break
		}
		for group, demand := range least {
			least[group] = min(demand, v.all[group])
		}
	}
	return least
}

// view returns the present view.
func (w *Weights) view(now time.Time, base float64) view {
	v := view{
		at: now, own: w.own, ownBase: base, allBase: base, heard: map[uint32]float64{}, fractions: map[uint32]rateFraction{},
	}
	v.early = now.Sub(w.startedAt) < earlyFor
	reserved := map[time.Time]*reservation{}
	for _, p := range w.list {
		v.allBase += p.base
		if !p.reserved {
			v.heardBase += p.base
			addTo(v.heard, p.demands)
			continue
		}
		r := reserved[p.reservedAt]
		if r == nil {
			r = &reservation{by: p.reservedBy, demands: map[uint32]float64{}}
			reserved[p.reservedAt] = r
		}
		r.base += p.base
		addTo(r.demands, p.demands)
	}
	v.all = maps.Clone(v.heard)
	addTo(v.all, v.own)
	for _, r := range reserved {
		v.reserved = append(v.reserved, *r)
		for group, demand := range r.demands {
			v.all[group] += demand
		}
	}
	return v
}

func addTo(sums map[uint32]float64, demands []Demand) {
	for _, d := range demands {
		sums[d.Group] += d.PerSecond
	}
}

// Fraction returns the part of a rate, in events per second, that this instance
// may use. Each instance has its demand and an equal part of what is free beside
// all demands, or less in proportion. At most most instances share the rate.
func (w *Weights) Fraction(now time.Time, group uint32, rate float64, most int) float64 {
	if len(w.views) == 0 || rate <= 0 {
		return 0
	}
	// The view that was in force when the delay began counts too.
	first := len(w.views) - 1
	for first > 0 && now.Sub(w.views[first].at) < reportDelay {
		first--
	}
	fraction := 1.0
	for i := range w.views[first:] {
		v := &w.views[first+i]
		fraction = min(fraction, v.ownFraction(group, rate))
	}
	if len(w.peers)+1 <= most {
		return fraction
	}
	v := &w.views[len(w.views)-1]
	parts := v.divide(group, rate)
	w.members = append(w.members[:0], Member{Name: w.self, Weight: fraction})
	for _, p := range w.list {
		w.members = append(w.members, Member{Name: p.name, Weight: p.part(&parts, group, 0, rate, v.allBase)})
	}
	for _, d := range w.holders[group] {
		w.members[1+d.peer].Weight = w.list[d.peer].part(&parts, group, d.perSecond, rate, v.allBase)
	}
	fraction, _ = Divide(w.members, most, func(name uint64) uint64 { return mix(name + uint64(group)) })
	return fraction
}

// Unreserved returns the part of a rate that is not reserved for silent instances.
func (w *Weights) Unreserved(group uint32, rate float64) float64 {
	if len(w.views) == 0 || rate <= 0 {
		return 0
	}
	return w.views[len(w.views)-1].divide(group, rate).unreserved
}

// mix returns a hash of a hash.
func mix(x uint64) uint64 {
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return x ^ x>>32
}

// ownFraction returns this instance's part by a view.
func (v *view) ownFraction(group uint32, rate float64) float64 {
	computed, ok := v.fractions[group]
	if !ok || computed.rate != rate {
		computed = rateFraction{rate, v.divide(group, rate).of(demandFor(v.own, group), v.ownBase)}
		v.fractions[group] = computed
	}
	return computed.fraction
}

// parts determines the part of each instance whose part is not reserved.
type parts struct {
	unreserved, weights, perBase float64
}

func (v *view) divide(group uint32, rate float64) parts {
	reserved := 0.0
	for _, r := range v.reserved {
		reserved += reservedPart(r.by[group], r.demands[group], rate, r.base/v.allBase)
	}
	unreserved := 1 - min(reserved, maxReserved)
	demand := demandFor(v.own, group) + v.heard[group]
	if v.early && len(v.reserved) > 0 {
		demand = max(demand, rate*unreserved*earlyDemand)
	}
	free := freeOf(rate*unreserved, demand)
	return parts{unreserved: unreserved, weights: demand + free, perBase: free / (v.ownBase + v.heardBase)}
}

func (p parts) of(demand, base float64) float64 {
	return p.unreserved * (demand + p.perBase*base) / p.weights
}

// freeOf returns what counts as free of a rate.
func freeOf(rate, demand float64) float64 { return max(rate-demand, minFree*rate) }

// reservedPart returns the part of a rate that is reserved for peers with a
// demand and a part of all base weights, when all was the sum of all demands.
// Peers that were never heard have equal parts.
func reservedPart(all, demand, rate, base float64) float64 {
	free := freeOf(rate, all)
	return min((demand+free*base)/(all+free), 1)
}

// part returns a peer's part of a rate.
func (p *peerWeights) part(heard *parts, group uint32, demand, rate, allBase float64) float64 {
	if !p.reserved {
		return heard.of(demand, p.base)
	}
	return reservedPart(p.reservedBy[group], demand, rate, p.base/allBase)
}
