package member

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Timing of the detector. A death must be known in the zone within 2 s. One
// ping period, the time until and after a suspicion, and a tick for each of
// these steps add up to less.
const (
	pingPeriod        = 500 * time.Millisecond
	indirectPingDelay = 150 * time.Millisecond // from the first ping
	suspectDelay      = 200 * time.Millisecond // from the first ping
	suspicionTimeout  = 1 * time.Second        // from the suspicion to the death
	repingInterval    = 200 * time.Millisecond // between pings of a suspect
	indirectPeers     = 3                      // members that are asked for an indirect ping

	digestInterval = 1 * time.Second
	// A zone is unreachable after zoneSilenceTimeout without a message, two
	// digests without a response, and digestTimeout since the last of them.
	zoneSilenceTimeout = 4 * time.Second
	digestTimeout      = 1 * time.Second

	// tombstoneTime is how long the record of a removed instance is kept, so that
	// an old record does not revive the instance. It is longer than the hour for
	// which regions may be partitioned from each other.
	tombstoneTime = 2 * time.Hour
	// deadPingTime is how long dead instances are still pinged now and then;
	// they may only have been partitioned.
	deadPingTime     = 10 * time.Minute
	deadPingInterval = 2 * time.Second

	// maxTickGap is the longest time between two ticks after which outstanding
	// pings stay valid. A longer gap means that this instance was paused, not
	// the targets.
	maxTickGap = 200 * time.Millisecond
)

// Kind is the kind of an Output.
type Kind uint8

// Kinds of outputs.
const (
	SendPing Kind = iota
	SendPingRequest
	SendDigest
	SendGossip
)

// Output is a message that the detector asks its caller to send.
type Output struct {
	Kind     Kind
	To       ID
	Address  string
	Sequence uint64
	// Target is the instance to ping on behalf of the sender, for
	// SendPingRequest.
	Target        ID
	TargetAddress string
}

// entry is what the detector knows of another instance.
type entry struct {
	Record
	lastReceived time.Time
	removedAt    time.Time
	// transmitsLeft is how many more times the record is passed on.
	transmitsLeft int
}

// probe is an outstanding ping.
type probe struct {
	target    ID
	sequence  uint64
	firstSent time.Time
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
	// zoneMembers are the live instances of the own zone, this one included,
	// ordered by ID.
	zoneMembers      []ID
	zoneMembersValid bool
	// sortedIDs are all known instances ordered by ID, for pages.
	sortedIDs      []ID
	sortedIDsValid bool

	probes   []probe
	sequence uint64
	// lastPeriod is the number of the last ping period in which this instance
	// pinged.
	lastPeriod   int64
	lastDigest   time.Time
	lastDeadPing time.Time
	zones        []zone
	// eagerTicksLeft is the number of ticks in which changed records are still
	// sent at once.
	eagerTicksLeft int
	gossipTokens   float64

	version      uint64
	deaths       uint64
	declaredDead bool
	falseDeaths  uint64
}

// New returns a detector that knows no other instance.
func New(self Record, seed uint64, now time.Time) *Detector {
	self.State = Alive
	if self.Incarnation == 0 {
		self.Incarnation = 1
	}
	return &Detector{
		self:         self,
		random:       rand.New(rand.NewPCG(seed, hashID(self.ID))),
		started:      now,
		lastTick:     now,
		lastDigest:   now,
		lastDeadPing: now,
		index:        map[ID]int{},
		gossipTokens: gossipBurst,
	}
}

// Self returns the record of this instance.
func (d *Detector) Self() Record { return d.self }

// Version returns a number that rises when the record of an instance, this one
// included, or the reachability of a zone changes.
func (d *Detector) Version() uint64 { return d.version }

// Deaths returns how many instances of the own zone died or left.
func (d *Detector) Deaths() uint64 { return d.deaths }

// TakeDeclaredDead reports whether others declared this instance dead since
// the last call, and clears that state.
func (d *Detector) TakeDeclaredDead() bool {
	was := d.declaredDead
	d.declaredDead = false
	return was
}

// SetShards publishes the shards that this instance uses.
func (d *Detector) SetShards(shards []Shard) {
	d.self.Shards = append([]Shard(nil), shards...)
	d.publishSelf()
}

// SetState publishes that this instance is leaving or has left.
func (d *Detector) SetState(s State) {
	d.self.State = s
	d.publishSelf()
}

// publishSelf raises the incarnation so that the changed record of this
// instance replaces the one that others have.
func (d *Detector) publishSelf() {
	d.self.Incarnation++
	d.eagerTicksLeft = eagerTicks
	d.version++
}

// Get returns the record of another instance, if it is known.
func (d *Detector) Get(id ID) (Record, bool) {
	i, ok := d.index[id]
	if !ok {
		return Record{}, false
	}
	return d.entries[i].Record, true
}

// ReceivedSince reports whether a message from the instance itself has arrived
// after the given time.
func (d *Detector) ReceivedSince(id ID, since time.Time) bool {
	i, ok := d.index[id]
	return ok && d.entries[i].lastReceived.After(since)
}

// ForEachLive calls f for each instance that is not removed, this one excluded.
func (d *Detector) ForEachLive(f func(*Record)) {
	for i := range d.entries {
		if !d.entries[i].State.Removed() {
			f(&d.entries[i].Record)
		}
	}
}

// ZonePeers returns the live instances of the own zone without this one,
// ordered by ID.
func (d *Detector) ZonePeers() []Record {
	var zonePeers []Record
	for _, id := range d.zoneMemberIDs() {
		if id != d.self.ID {
			zonePeers = append(zonePeers, d.entries[d.index[id]].Record)
		}
	}
	return zonePeers
}

// ForEachRecent calls f for the other instances of the own zone that are alive
// or died after the given time. removedAt is zero for those that are alive.
func (d *Detector) ForEachRecent(since time.Time, f func(r *Record, removedAt time.Time)) {
	for i := range d.entries {
		e := &d.entries[i]
		if e.Zone != d.self.Zone || e.State == Left {
			continue
		}
		if !e.State.Removed() {
			f(&e.Record, time.Time{})
		} else if e.removedAt.After(since) {
			f(&e.Record, e.removedAt)
		}
	}
}

// LiveCount returns the number of live instances, this one included.
func (d *Detector) LiveCount() int {
	count := 1
	d.ForEachLive(func(*Record) { count++ })
	return count
}

// zoneMemberIDs returns the IDs of the live instances of the own zone, this
// one included, in order.
func (d *Detector) zoneMemberIDs() []ID {
	if d.zoneMembersValid {
		return d.zoneMembers
	}
	d.zoneMembers = append(d.zoneMembers[:0], d.self.ID)
	for i := range d.entries {
		e := &d.entries[i]
		if e.Zone == d.self.Zone && !e.State.Removed() {
			d.zoneMembers = append(d.zoneMembers, e.ID)
		}
	}
	sort.Slice(d.zoneMembers, func(i, j int) bool { return d.zoneMembers[i] < d.zoneMembers[j] })
	d.zoneMembersValid = true
	return d.zoneMembers
}

// Tick advances the detector and returns the messages to send.
func (d *Detector) Tick(now time.Time) []Output {
	var out []Output
	if now.Sub(d.lastTick) > maxTickGap {
		d.probes = d.probes[:0]
	}
	elapsed := now.Sub(d.lastTick)
	d.lastTick = now
	out = d.pingNext(now, out)
	out = d.advanceProbes(now, out)
	out = d.sendDigest(now, out)
	out = d.pingDead(now, out)
	out = d.sendEagerGossip(elapsed, out)
	d.removeExpired(now)
	return out
}

// pingDead pings a random dead instance now and then, in case it was only
// partitioned.
func (d *Detector) pingDead(now time.Time, out []Output) []Output {
	if now.Sub(d.lastDeadPing) < deadPingInterval {
		return out
	}
	d.lastDeadPing = now
	var dead []int
	for i := range d.entries {
		e := &d.entries[i]
		if e.State == Dead && now.Sub(e.removedAt) < deadPingTime {
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

// removeExpired removes the records of instances that were removed
// tombstoneTime ago or earlier.
func (d *Detector) removeExpired(now time.Time) {
	for i := 0; i < len(d.entries); i++ {
		e := &d.entries[i]
		if !e.State.Removed() || now.Sub(e.removedAt) < tombstoneTime {
			continue
		}
		delete(d.index, e.ID)
		last := len(d.entries) - 1
		if i != last {
			d.entries[i] = d.entries[last]
			d.index[d.entries[i].ID] = i
		}
		d.entries = d.entries[:last]
		d.sortedIDsValid = false
		i--
	}
}

// FalseDeathCount returns how often others declared this instance dead.
func (d *Detector) FalseDeathCount() uint64 { return d.falseDeaths }
