package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
)

const (
	// avoidDuration is how long callers avoid an entry that did not respond.
	avoidDuration = 10 * time.Second
	// defaultResends is how often a caller resends a request whose outcome it does
	// not know, if that is safe. A load may ask for more.
	defaultResends = 2
	// callerResendDelay is how long a caller waits before it resends a request.
	callerResendDelay = 500 * time.Millisecond
	// minPrefixHold is how long an instance must have held a shard before
	// look-ups use the shard in key prefixes. It exceeds the difference between
	// clocks that the owner of a key allows for.
	minPrefixHold = 3 * time.Second
	// callerGrace is how long after the deadline a caller still waits for a
	// reply.
	callerGrace = 50 * time.Millisecond
)

// Load describes a stream of requests from callers to one service.
type Load struct {
	Name    string
	Service string
	Zones   string  // where the callers are: a zone, a region or "all"
	Rate    float64 // requests/s over all zones
	From    time.Duration
	To      time.Duration // zero: until the end of the run
	Bytes   int64         // length of the body
	// Distinct is the number of different fingerprints. If it is zero, each
	// request has its own.
	Distinct uint64
	// Poison makes each request crash every upstream that runs it.
	Poison bool
	// Resends is how often callers resend a request that failed, was not run or
	// has an unknown outcome.
	Resends int
	// Unkeyed makes callers send no idempotency key.
	Unkeyed bool
	// Count is the maximum number of requests; zero means no limit.
	Count int

	serviceID document.ServiceID
	homeZones []document.ZoneID
	random    *rand.Rand
	generated int
}

// request is one logical request of a caller, which may submit it several
// times.
type request struct {
	id           uint64
	load         *Load
	homeZone     document.ZoneID
	key          string
	fingerprint  uint64
	createdAt    time.Time
	deadline     time.Time
	submissions  int
	upstreamRuns int
	lastRunTime  time.Duration // how long the last run at an upstream took
	ended        bool
	lastEntry    *instance // entry of the last submission
	cancel       func()
}

// call is one submission of a request to an entry instance.
type call struct {
	world         *world
	load          *Load
	request       *request
	upstreamRuns  int
	repliedNotRun bool
	replied       bool
}

func (c *call) service() *document.Service { return &c.world.doc.Services[c.load.serviceID] }

// startLoad schedules the requests of a load. Arrivals are a Poisson process.
func (w *world) startLoad(l *Load) {
	l.random = rand.New(rand.NewPCG(w.settings.Seed, hashName(l.Name)))
	w.clock.After(l.From, func() { w.generateRequests(l) })
}

func (w *world) generateRequests(l *Load) {
	if (l.To > 0 && w.clock.since() >= l.To) || (l.Count > 0 && l.generated >= l.Count) {
		return
	}
	l.generated++
	w.submit(w.newRequest(l))
	gap := l.random.ExpFloat64() / l.Rate * float64(time.Second)
	w.clock.After(time.Duration(gap), func() { w.generateRequests(l) })
}

func (w *world) newRequest(l *Load) *request {
	w.lastRequest++
	service := &w.doc.Services[l.serviceID]
	r := &request{
		id: w.lastRequest, load: l, createdAt: w.clock.Now, deadline: w.clock.Now.Add(service.Deadline),
		homeZone: l.homeZones[l.random.IntN(len(l.homeZones))], fingerprint: w.lastRequest, cancel: func() {},
	}
	if l.Distinct > 0 {
		r.fingerprint = hashName(l.Name) + r.id%l.Distinct
	}
	if !service.Idempotent && !l.Unkeyed {
		r.key = w.newKey(r, l)
	}
	w.stats.requestOffered(r)
	w.clock.After(service.Deadline+callerGrace, func() {
		if !r.ended {
			r.cancel()
			w.finishRequest(r, outcomeLate)
			if r.lastEntry != nil && !r.lastEntry.pausedAt.IsZero() {
				w.avoidUntil[r.homeZone][r.lastEntry.id] = w.Now.Add(avoidDuration)
			}
		}
	})
	return r
}

// newKey returns an idempotency key with the prefix that a look-up would give
// the caller.
func (w *world) newKey(r *request, l *Load) string {
	zone := r.homeZone
	if entry := w.chooseEntry(r); entry != nil {
		zone = entry.zone
	}
	at := r.createdAt.UnixMilli()
	shard := w.prefixShard(zone, l.random)
	return fmt.Sprintf("%s.%d.%08x-%04x-7000-8000-%012x", w.doc.Zones[zone].Name, shard, at>>16, at&0xffff, r.id)
}

// prefixShard picks a random shard of the zone whose holder is in service and
// has held it long enough to know all new keys. If there is none, it picks any
// shard of the zone.
func (w *world) prefixShard(zone document.ZoneID, random *rand.Rand) uint16 {
	var candidates []uint16
	for _, in := range w.instancesIn(zone) {
		for _, held := range in.shards {
			if !w.isAvoided(zone, in) && w.Now.Sub(held.OwnedSince) > minPrefixHold {
				candidates = append(candidates, held.Shard.Index)
			}
		}
	}
	if len(candidates) == 0 {
		return uint16(random.IntN(int(w.doc.Zones[zone].Shards)))
	}
	return candidates[random.IntN(len(candidates))]
}

// chooseEntry picks a random entry among the nearest ones that callers do not
// avoid, or returns nil.
func (w *world) chooseEntry(r *request) *instance {
	var nearest []*instance
	distance := 3
	for _, in := range w.instances {
		if w.isAvoided(r.homeZone, in) {
			continue
		}
		d := w.distance(r.homeZone, in.zone)
		if d < distance {
			distance, nearest = d, nil
		}
		if d == distance {
			nearest = append(nearest, in)
		}
	}
	if len(nearest) == 0 {
		return nil
	}
	return nearest[r.load.random.IntN(len(nearest))]
}

// isAvoided reports whether callers of the home zone avoid an entry, because
// look-ups no longer list it or because an attempt of theirs failed.
func (w *world) isAvoided(home document.ZoneID, in *instance) bool {
	unavailable := !in.alive || !in.pausedAt.IsZero()
	if in.leaving || unavailable && w.Now.Sub(in.unavailableSince) > globalDetectionDelay {
		return true
	}
	return w.Now.Before(w.avoidUntil[home][in.id])
}

// submit sends a request to an entry. If the entry is dead, the callers of the
// zone avoid it for a while, and the request goes to another entry.
func (w *world) submit(r *request) {
	if r.ended {
		return
	}
	entry := w.chooseEntry(r)
	if entry == nil {
		w.finishRequest(r, outcomeBroken)
		return
	}
	r.submissions++
	r.lastEntry = entry
	c := &call{world: w, load: r.load, request: r}
	delay := w.network.delayToClient(r.homeZone, entry.zone)
	w.clock.After(delay, func() {
		if r.ended {
			return
		}
		if entry.alive {
			w.deliverToEntry(entry, c, delay)
			return
		}
		pause := delay
		if entry.hostDown {
			pause = dialTimeout
		}
		w.avoidUntil[r.homeZone][entry.id] = w.clock.Now.Add(avoidDuration)
		w.clock.After(pause, func() { w.submit(r) })
	})
}

func (w *world) deliverToEntry(entry *instance, c *call, delay time.Duration) {
	reply := func(a traffic.Reply) { w.clock.After(delay, func() { w.receiveReply(c, a) }) }
	onBroken := func() {
		w.checker.onBroken(entry)
		w.clock.After(delay, func() { w.resendOrFinish(c, outcomeBroken, 0) })
	}
	id := entry.receive(c, nil, c.request.deadline, reply, onBroken)
	c.request.cancel = func() { w.clock.After(delay, func() { entry.handle(traffic.RequestCanceled{ID: id}) }) }
}

// receiveReply handles a reply that reaches the caller.
func (w *world) receiveReply(c *call, reply traffic.Reply) {
	w.checker.onReply(c, reply)
	switch reply.Outcome {
	case traffic.Responded:
		if reply.Response.(*response).status < 500 {
			w.finishRequest(c.request, outcomeServed)
			return
		}
		w.resendOrFinish(c, outcomeFailed, c.load.Resends)
	case traffic.NotRun:
		w.resendOrFinish(c, outcomeNotRun, c.load.Resends)
	default:
		w.resendOrFinish(c, outcomeUnknown, c.load.Resends)
	}
}

// resendOrFinish resends the request unless it has been sent often enough.
// After a broken connection, keyed and idempotent requests are resent at least
// defaultResends times; after an unknown outcome, only keyed ones are.
func (w *world) resendOrFinish(c *call, outcome outcome, resends int) {
	r := c.request
	if r.ended {
		return
	}
	resendable := r.key != "" || c.service().Idempotent
	if (outcome == outcomeBroken && resendable) || (outcome == outcomeUnknown && r.key != "") {
		resends = max(resends, defaultResends)
	}
	if r.submissions > resends {
		w.finishRequest(r, outcome)
		return
	}
	w.clock.After(callerResendDelay, func() { w.submit(r) })
}

func (w *world) finishRequest(r *request, outcome outcome) {
	if r.ended {
		return
	}
	r.ended = true
	w.stats.requestEnded(r, outcome)
}
