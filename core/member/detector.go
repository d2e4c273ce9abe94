package member

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Figures of the detector. The times add up to less than the 2 s within which
// a death must be known in the zone: one period, the suspicion and a tick each.
const (
	period         = 500 * time.Millisecond
	indirectAfter  = 150 * time.Millisecond
	suspectAfter   = 200 * time.Millisecond
	suspicion      = 1 * time.Second
	repingInterval = 200 * time.Millisecond
	indirectPeers  = 3

	digestInterval = 1 * time.Second
	// A zone is unreachable after this time without a message and after two
	// digests without an answer.
	zoneWindow    = 4 * time.Second
	digestTimeout = 1 * time.Second

	// tombstoneTime is longer than the hour for which regions are cut off from
	// each other, so that an old record does not revive an instance.
	tombstoneTime = 2 * time.Hour
	// reviveTime is how long a dead instance is still pinged now and then; it
	// may have been cut off.
	reviveTime     = 10 * time.Minute
	reviveInterval = 2 * time.Second

	// maxGap is the longest time between two ticks in which outstanding pings
	// stay valid; after a longer one this instance was the one that was paused.
	maxGap = 200 * time.Millisecond
)

// Kind tells what an Output asks for.
type Kind uint8

// Kinds of outputs.
const (
	SendPing Kind = iota
	SendPingRequest
	SendDigest
	SendGossip
)

// Output is a message that the detector wants to send.
type Output struct {
	Kind     Kind
	To       ID
	Address  string
	Sequence uint64
	// Target is the subject of a ping request.
	Target        ID
	TargetAddress string
}

// entry is a row of the table of known instances.
type entry struct {
	Record
	heard     time.Time
	goneSince time.Time
	// transmits is how often the record is still passed on.
	transmits int
}

// probe is an outstanding ping.
type probe struct {
	target    ID
	sequence  uint64
	sent      time.Time
	lastSent  time.Time
	indirect  bool
	suspected bool
}

// Detector is the failure detector of one instance. It is not safe for
// concurrent use.
type Detector struct {
	self     Record
	random   *rand.Rand
	started  time.Time
	lastTick time.Time

	entries []entry
	index   map[ID]int
	// zone peers are the live instances of the own zone with this one, by ID.
	zonePeers      []ID
	zonePeersValid bool
	// ids are all known instances ordered by ID, for pages.
	ids      []ID
	idsValid bool

	probes     []probe
	sequence   uint64
	pinged     int64
	lastDigest time.Time
	lastRevive time.Time
	zones      []zone
	// eager is in how many ticks news are still passed on at once.
	eager  int
	tokens float64

	version    uint64
	deaths     uint64
	condemned  bool
	falseDeath uint64
}

// New returns a detector that knows only itself.
func New(self Record, seed uint64, now time.Time) *Detector {
	self.State = Alive
	if self.Incarnation == 0 {
		self.Incarnation = 1
	}
	return &Detector{
		self:       self,
		random:     rand.New(rand.NewPCG(seed, hashID(self.ID))),
		started:    now,
		lastTick:   now,
		lastDigest: now,
		lastRevive: now,
		index:      map[ID]int{},
		tokens:     gossipBurst,
	}
}

// Self returns the record of this instance.
func (d *Detector) Self() Record { return d.self }

// Version changes with each change of the known instances.
func (d *Detector) Version() uint64 { return d.version }

// Deaths counts the instances of the own zone that died or left.
func (d *Detector) Deaths() uint64 { return d.deaths }

// Condemned tells whether others declared this instance dead since the last
// call.
func (d *Detector) Condemned() bool {
	was := d.condemned
	d.condemned = false
	return was
}

// SetShards publishes the shards that this instance uses.
func (d *Detector) SetShards(shards []Shard) {
	d.self.Shards = append([]Shard(nil), shards...)
	d.selfChanged()
}

// SetState announces the departure of this instance or its end.
func (d *Detector) SetState(s State) {
	d.self.State = s
	d.selfChanged()
}

func (d *Detector) selfChanged() {
	d.self.Incarnation++
	d.eager = eagerTicks
	d.version++
}

// Get returns what is known of an instance.
func (d *Detector) Get(id ID) (Record, bool) {
	i, ok := d.index[id]
	if !ok {
		return Record{}, false
	}
	return d.entries[i].Record, true
}

// HeardSince tells whether the instance itself sent a message since a time.
func (d *Detector) HeardSince(id ID, since time.Time) bool {
	i, ok := d.index[id]
	return ok && d.entries[i].heard.After(since)
}

// Live calls f for each instance that is not gone, this one excluded.
func (d *Detector) Live(f func(*Record)) {
	for i := range d.entries {
		if !d.entries[i].State.Gone() {
			f(&d.entries[i].Record)
		}
	}
}

// ZonePeers returns the live instances of the own zone without this one, by ID.
func (d *Detector) ZonePeers() []Record {
	var zonePeers []Record
	for _, id := range d.zoneIDs() {
		if id != d.self.ID {
			zonePeers = append(zonePeers, d.entries[d.index[id]].Record)
		}
	}
	return zonePeers
}

// Recent calls f for the instances of the own zone that are alive, or that were
// until the given time and did not leave.
func (d *Detector) Recent(since time.Time, f func(r *Record, goneSince time.Time)) {
	for i := range d.entries {
		e := &d.entries[i]
		if e.Zone != d.self.Zone || e.State == Left {
			continue
		}
		if !e.State.Gone() {
			f(&e.Record, time.Time{})
		} else if e.goneSince.After(since) {
			f(&e.Record, e.goneSince)
		}
	}
}

// LiveCount returns the number of live instances with this one.
func (d *Detector) LiveCount() int {
	count := 1
	d.Live(func(*Record) { count++ })
	return count
}

// zoneIDs returns the live instances of the own zone, this one included.
func (d *Detector) zoneIDs() []ID {
	if d.zonePeersValid {
		return d.zonePeers
	}
	d.zonePeers = append(d.zonePeers[:0], d.self.ID)
	for i := range d.entries {
		e := &d.entries[i]
		if e.Zone == d.self.Zone && !e.State.Gone() {
			d.zonePeers = append(d.zonePeers, e.ID)
		}
	}
	sort.Slice(d.zonePeers, func(i, j int) bool { return d.zonePeers[i] < d.zonePeers[j] })
	d.zonePeersValid = true
	return d.zonePeers
}

// Tick runs the systems of the detector and returns what to send.
func (d *Detector) Tick(now time.Time) []Output {
	var out []Output
	if now.Sub(d.lastTick) > maxGap {
		d.probes = d.probes[:0]
	}
	elapsed := now.Sub(d.lastTick)
	d.lastTick = now
	out = d.pingNext(now, out)
	out = d.advanceProbes(now, out)
	out = d.sendDigest(now, out)
	out = d.revive(now, out)
	out = d.sendNews(elapsed, out)
	d.forget(now)
	return out
}

// revive pings a dead instance now and then, in case it was only cut off.
func (d *Detector) revive(now time.Time, out []Output) []Output {
	if now.Sub(d.lastRevive) < reviveInterval {
		return out
	}
	d.lastRevive = now
	var dead []int
	for i := range d.entries {
		e := &d.entries[i]
		if e.State == Dead && now.Sub(e.goneSince) < reviveTime {
			dead = append(dead, i)
		}
	}
	if len(dead) == 0 {
		return out
	}
	e := &d.entries[dead[d.random.IntN(len(dead))]]
	d.sequence++
	return append(out, Output{Kind: SendPing, To: e.ID, Address: e.Address, Sequence: d.sequence})
}

// forget drops the records of instances that are gone for long.
func (d *Detector) forget(now time.Time) {
	for i := 0; i < len(d.entries); i++ {
		e := &d.entries[i]
		if !e.State.Gone() || now.Sub(e.goneSince) < tombstoneTime {
			continue
		}
		delete(d.index, e.ID)
		last := len(d.entries) - 1
		if i != last {
			d.entries[i] = d.entries[last]
			d.index[d.entries[i].ID] = i
		}
		d.entries = d.entries[:last]
		d.idsValid = false
		i--
	}
}

// FalseDeaths counts how often others declared this instance dead.
func (d *Detector) FalseDeaths() uint64 { return d.falseDeath }
