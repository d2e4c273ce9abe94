package scenario

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
	"pistachioford.example/core/virtual"
)

const (
	// zoneDetectionDelay and globalDetectionDelay are the times after which the
	// failure of an instance is known in its zone and everywhere.
	zoneDetectionDelay   = 2 * time.Second
	globalDetectionDelay = 5 * time.Second
	// leaseTerm is the time until the lease of a lost shard expires. The
	// quarantine of the document follows.
	leaseTerm = 10 * time.Second
	// announceDelay is the time after which peers learn of a planned stop or of
	// another change that is announced.
	announceDelay = 50 * time.Millisecond
	// minStopDuration is the shortest time that a planned stop of an instance
	// takes.
	minStopDuration = 2 * time.Second
)

// Settings holds the settings of one run.
type Settings struct {
	Environment *Environment
	Seed        uint64
	Loads       []*Load
	Events      []Event
	Duration    time.Duration
	// SummaryInterval is the time between two summaries in the log.
	SummaryInterval time.Duration
	// Baseline selects the baseline in place of the engine.
	Baseline bool
	// QueueWhenBusy makes upstreams queue requests when all slots are busy,
	// instead of shedding them.
	QueueWhenBusy bool
	Fault         Fault
}

// Event is a timed change during a run.
type Event struct {
	At   time.Duration
	Text string
	do   func(*world)
}

// world is the simulated system of one run.
type world struct {
	clock
	settings   Settings
	doc        *document.Compiled // at the start; IDs are the same in later revisions
	currentDoc *document.Compiled
	random     *rand.Rand
	network    *network
	instances  []*instance
	byID       map[traffic.InstanceID]*instance
	upstreams  []*upstream
	avoidUntil []map[traffic.InstanceID]time.Time // by home zone
	stats      *stats
	checker    *checker
	log        bytes.Buffer

	lastRequest    uint64
	lastResponse   traffic.Response
	restarts       uint64
	reportsStopped bool
}

// Result is the result of a run.
type Result struct {
	Log        string
	Violations map[check]int
	stats      *stats
}

// Run executes one run. The same settings always give the same result.
func Run(s Settings) *Result {
	w := newWorld(s)
	for _, in := range w.instances {
		w.sendInitialState(in)
	}
	for _, l := range s.Loads {
		w.startLoad(l)
	}
	for _, e := range s.Events {
		w.After(e.At, func() {
			w.logf("%s", e.Text)
			e.do(w)
		})
	}
	w.Every(s.SummaryInterval, s.SummaryInterval, virtual.Forever(func() { w.stats.summarize(w) }))
	w.RunBefore(epoch.Add(s.Duration))
	w.stats.summarize(w)
	return &Result{Log: w.log.String(), Violations: w.checker.violations, stats: w.stats}
}

func newWorld(s Settings) *world {
	w := &world{settings: s, doc: s.Environment.Document, byID: map[traffic.InstanceID]*instance{}}
	w.Now, w.currentDoc = epoch, w.doc
	w.random = rand.New(rand.NewPCG(s.Seed, 1))
	w.network = newNetwork(&w.clock, w.random, s.Environment)
	w.stats = newStats(w)
	w.checker = newChecker(w)
	w.network.onTransfer = w.checker.onTransfer
	for id := range w.doc.Targets {
		w.addUpstream(document.TargetID(id))
	}
	for z := range w.doc.Zones {
		w.avoidUntil = append(w.avoidUntil, map[traffic.InstanceID]time.Time{})
		for shard := range w.doc.Zones[z].Shards {
			w.addInstance(document.ZoneID(z), shard)
		}
	}
	return w
}

func (w *world) addUpstream(id document.TargetID) {
	target := &w.doc.Targets[id]
	u := &upstream{
		world: w, id: id, zone: target.Zone, slots: int(target.Slots),
		serviceTime: w.settings.Environment.ServiceTimes[target.Group], queueWhenBusy: w.settings.QueueWhenBusy,
	}
	w.upstreams = append(w.upstreams, u)
	w.Every(time.Duration(id)*time.Millisecond, reportInterval, virtual.Forever(u.reportLoad))
}

func (w *world) addInstance(zone document.ZoneID, shard uint16) {
	index := len(w.instances)
	in := &instance{
		world: w, zone: zone, alive: true, inbound: map[traffic.RequestID]*inbound{},
		id:     traffic.InstanceID(fmt.Sprintf("%s/%d", w.doc.Zones[zone].Name, shard)),
		shards: []traffic.HeldShard{{Shard: document.ShardID{Zone: zone, Index: shard}, OwnedSince: epoch.Add(-2 * time.Hour)}},
	}
	in.decider = w.newDecider(in, uint64(index))
	w.instances = append(w.instances, in)
	w.byID[in.id] = in
	offset := time.Duration(index) * 500 * time.Microsecond
	w.Every(offset, tickInterval, virtual.Forever(in.tick))
	w.Every(offset, loadInterval, virtual.Forever(func() { w.broadcastLoad(in) }))
}

func (w *world) newDecider(in *instance, index uint64) Decider {
	if w.settings.Baseline {
		return newBaseline(in.zone)
	}
	zone := &w.doc.Zones[in.zone]
	return traffic.New(traffic.Config{
		Self: in.id, Zone: zone.Name, Region: w.doc.Regions[zone.Region].Name, Seed: w.settings.Seed<<8 + index,
	})
}

// sendInitialState tells an instance that has started its document, shards and
// peers.
func (w *world) sendInitialState(in *instance) {
	in.handle(traffic.DocumentChanged{Document: w.settings.Fault.alterDocument(w.currentDoc)})
	in.handle(traffic.ShardsChanged{Held: w.settings.Fault.alterShards(w.doc, in.shards)})
	in.handle(traffic.PeersChanged{Peers: w.peersOf(in)})
}

// peersOf returns the other instances that are alive and not paused.
func (w *world) peersOf(in *instance) []traffic.PeerInfo {
	var peers []traffic.PeerInfo
	for _, other := range w.instances {
		if other == in || !other.alive || !other.pausedAt.IsZero() {
			continue
		}
		peer := traffic.PeerInfo{ID: other.id, Zone: other.zone, Leaving: other.leaving}
		for _, held := range other.shards {
			peer.Shards = append(peer.Shards, held.Shard)
		}
		peers = append(peers, peer)
	}
	return peers
}

// publishPeers tells the instances of a zone after a delay which peers are alive
// then. A negative zone stands for all zones.
func (w *world) publishPeers(delay time.Duration, zone int) {
	w.After(delay, func() {
		for _, in := range w.instances {
			if zone < 0 || int(in.zone) == zone {
				in.handle(traffic.PeersChanged{Peers: w.peersOf(in)})
			}
		}
	})
}

// kill stops an instance without notice. Its shards are assigned to another one
// when their leases and the quarantine have ended.
func (w *world) kill(in *instance) {
	in.exit()
	orphans := in.shards
	in.shards = nil
	w.publishPeers(zoneDetectionDelay, int(in.zone))
	w.publishPeers(globalDetectionDelay, -1)
	w.After(leaseTerm+w.doc.Quarantine, func() { w.assignShards(orphans) })
}

// restart starts a killed instance again, with a new decider and no shard.
func (w *world) restart(in *instance) {
	w.restarts++
	in.alive, in.hostDown, in.leaving = true, false, false
	in.decider = w.newDecider(in, uint64(len(w.instances))+w.restarts)
	w.sendInitialState(in)
	w.publishPeers(announceDelay, -1)
}

// pause suspends an instance. If its leases and the quarantine end before it
// resumes, its shards are assigned to another one.
func (w *world) pause(in *instance) {
	in.pausedAt, in.unavailableSince = w.Now, w.Now
	w.publishPeers(zoneDetectionDelay, int(in.zone))
	w.publishPeers(globalDetectionDelay, -1)
	w.After(leaseTerm+w.doc.Quarantine, func() {
		if !in.pausedAt.IsZero() {
			orphans := in.shards
			in.shards = nil
			w.assignShards(orphans)
		}
	})
}

func (w *world) resume(in *instance) {
	if !in.pausedAt.IsZero() {
		in.resume()
		w.publishPeers(0, -1)
	}
}

// stop starts the planned stop of an instance.
func (w *world) stop(in *instance) {
	in.leaving = true
	in.handle(traffic.Draining{})
	w.publishPeers(announceDelay, -1)
	if w.settings.Fault == FaultCut {
		in.exit()
	}
	w.After(minStopDuration, func() { w.exitWhenIdle(in) })
}

func (w *world) exitWhenIdle(in *instance) {
	if !in.decider.Idle() {
		w.After(tickInterval, func() { w.exitWhenIdle(in) })
		return
	}
	w.logf("%s has stopped", in.id)
	in.exit()
	orphans := in.shards
	in.shards = nil
	w.assignShards(orphans)
}

// assignShards gives free shards of a zone to the instance of the zone that holds
// the fewest.
func (w *world) assignShards(shards []traffic.HeldShard) {
	if len(shards) == 0 {
		return
	}
	var recipient *instance
	for _, in := range w.instancesIn(shards[0].Shard.Zone) {
		eligible := !in.leaving && in.pausedAt.IsZero()
		if eligible && (recipient == nil || len(in.shards) < len(recipient.shards)) {
			recipient = in
		}
	}
	if recipient == nil {
		return
	}
	for _, held := range shards {
		recipient.shards = append(recipient.shards, traffic.HeldShard{Shard: held.Shard, OwnedSince: w.Now})
	}
	w.logf("%s takes over %d shards", recipient.id, len(shards))
	recipient.handle(traffic.ShardsChanged{Held: recipient.shards})
	w.publishPeers(announceDelay, -1)
}

// setDraining changes the draining flag of targets in a new revision of the
// document, which the instances activate one after the other.
func (w *world) setDraining(ids []document.TargetID, draining bool) {
	next := *w.currentDoc
	next.Revision++
	next.Targets = append([]document.Target(nil), next.Targets...)
	for _, id := range ids {
		next.Targets[id].Draining = draining
	}
	w.currentDoc = &next
	for i, in := range w.instances {
		w.After(time.Duration(i)*announceDelay, func() {
			in.handle(traffic.DocumentChanged{Document: w.settings.Fault.alterDocument(&next)})
		})
	}
}

// stopWhenDrained stops a leaving upstream when it has no running request, but
// not before leaveGrace has passed.
func (w *world) stopWhenDrained(u *upstream, since time.Time) {
	w.After(time.Millisecond, func() {
		if len(u.active) > 0 || w.Now.Sub(since) < leaveGrace {
			w.stopWhenDrained(u, since)
			return
		}
		u.down = true
		w.stats.drainTimes = append(w.stats.drainTimes, u.lastRunEnd.Sub(since))
		w.logf("%s drained after %v", u.name(), u.lastRunEnd.Sub(since).Round(time.Millisecond))
	})
}

// broadcastLoad sends the load report of an instance to all others.
func (w *world) broadcastLoad(in *instance) {
	if !in.alive || !in.pausedAt.IsZero() {
		return
	}
	load := in.decider.LoadHint(w.Now)
	for _, peer := range w.instances {
		if peer != in && peer.alive {
			w.network.send(in.zone, peer.zone, 0, func() { peer.handle(load) })
		}
	}
}

func (w *world) instancesIn(zone document.ZoneID) []*instance {
	var found []*instance
	for _, in := range w.instances {
		if in.zone == zone && in.alive {
			found = append(found, in)
		}
	}
	return found
}

func (w *world) region(zone document.ZoneID) document.RegionID { return w.doc.Zones[zone].Region }

// distance returns 0 within a zone, 1 within a region and 2 between regions.
func (w *world) distance(a, b document.ZoneID) int {
	switch {
	case a == b:
		return 0
	case w.region(a) == w.region(b):
		return 1
	}
	return 2
}

// shiftFor returns the shift settings of a service between two regions, or nil
// if the document has none.
func (w *world) shiftFor(key shiftKey) *document.Shift {
	for i := range w.doc.Shifts {
		s := &w.doc.Shifts[i]
		if s.Service == key.service && s.From == key.from && s.To == key.to {
			return s
		}
	}
	return nil
}

// logf adds one line to the event log.
func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(&w.log, "%8.3fs %s\n", w.since().Seconds(), strings.TrimSpace(fmt.Sprintf(format, args...)))
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }
