package member

import (
	"math/bits"
	"time"
)

// Limits of eager gossip: a changed record is sent to fanout instances in each
// of the next eagerTicks ticks, with at most gossipRate messages a second on
// average. With a single tick a fifth of a zone would be uninformed until its
// next ping.
const (
	fanout      = 3
	eagerTicks  = 3
	gossipRate  = 6.0
	gossipBurst = 30.0
	// transmitFactor times log2(n) is how many messages carry a record, n being
	// the number of known instances. With a factor of 3 a start of 240 instances
	// filled all messages for two minutes.
	transmitFactor = 2
)

// Limits on records from the network.
const (
	maxEntries   = 4096 // known instances
	maxNameBytes = 128  // bytes of an identifier, a name or an address
	maxShards    = 256  // shards of one record
	// maxIncarnation leaves room for the higher incarnations that refute a
	// record.
	maxIncarnation = 1 << 62
)

// valid reports whether a record from the network is within the limits.
func (r *Record) valid() bool {
	return r.ID != "" && len(r.ID) <= maxNameBytes && len(r.Zone) <= maxNameBytes &&
		len(r.Region) <= maxNameBytes && len(r.Address) <= maxNameBytes && len(r.CallerAddress) <= maxNameBytes && len(r.ForwardAddress) <= maxNameBytes &&
		len(r.Shards) <= maxShards && r.Incarnation < maxIncarnation && r.State <= Left
}

// SenderReceived handles the record of its sender that each message carries.
func (d *Detector) SenderReceived(r Record, now time.Time) {
	if r.ID == d.self.ID || !r.valid() {
		return
	}
	d.apply(r, now)
	i, ok := d.index[r.ID]
	if !ok {
		return
	}
	d.entries[i].lastReceived = now
	d.cancelProbe(r.ID)
	d.recordZoneMessage(r.Zone, now)
	if d.entries[i].State == Dead && r.State != Dead {
		// The sender does not know that it was declared dead.
		d.entries[i].transmitsLeft = d.transmitCount()
	}
}

// Merge handles records that another instance passed on.
func (d *Detector) Merge(updates []Record, now time.Time) {
	for i := range updates {
		if !updates[i].valid() {
			continue
		}
		if updates[i].ID == d.self.ID {
			d.refute(&updates[i])
			continue
		}
		d.apply(updates[i], now)
	}
}

// refute overrides a wrong record of this instance with a higher incarnation.
func (d *Detector) refute(r *Record) {
	if r.Incarnation < d.self.Incarnation {
		return
	}
	if r.Incarnation == d.self.Incarnation && r.State <= d.self.State {
		return
	}
	if r.State == Dead {
		d.declaredDead = true
		d.falseDeaths++
	}
	d.self.Incarnation = r.Incarnation
	d.publishSelf()
}

// apply stores a record if it is newer than the known one.
func (d *Detector) apply(r Record, now time.Time) {
	i, known := d.index[r.ID]
	if !known {
		d.insert(r, now)
		return
	}
	e := &d.entries[i]
	if r.Incarnation < e.Incarnation {
		return
	}
	if r.Incarnation == e.Incarnation && r.State <= e.State {
		return
	}
	wasRemoved := e.State.Removed()
	e.Record = r
	if r.State.Removed() && !wasRemoved {
		e.removedAt = now
	}
	if r.State.Removed() != wasRemoved {
		d.zoneChanged(r.Zone, r.State.Removed())
	}
	d.queueGossip(e)
}

func (d *Detector) insert(r Record, now time.Time) {
	if len(d.entries) >= maxEntries {
		return
	}
	d.index[r.ID] = len(d.entries)
	d.entries = append(d.entries, entry{Record: r})
	e := &d.entries[len(d.entries)-1]
	d.sortedIDsValid = false
	if r.State.Removed() {
		e.removedAt = now
		return // A death of an unknown instance is not passed on.
	}
	d.zoneChanged(r.Zone, false)
	d.queueGossip(e)
}

// zoneChanged updates what depends on the live instances of the own zone.
func (d *Detector) zoneChanged(zone string, removed bool) {
	if zone != d.self.Zone {
		return
	}
	d.zoneMembersValid = false
	if removed {
		d.deaths++
	}
}

// queueGossip marks a changed record to be passed on.
func (d *Detector) queueGossip(e *entry) {
	e.transmitsLeft = d.transmitCount()
	d.eagerTicksLeft = eagerTicks
	d.version++
}

func (d *Detector) transmitCount() int {
	return transmitFactor * bits.Len(uint(len(d.entries)+1))
}

// Updates returns at most n records to put into a message to an instance.
// Records with the most transmissions left come first.
func (d *Detector) Updates(to ID, n int) []Record {
	var updates []Record
	if i, ok := d.index[to]; ok && d.entries[i].State == Dead {
		updates = append(updates, d.entries[i].Record) // So that it can refute its death.
	}
	for len(updates) < n {
		best := -1
		for i := range d.entries {
			e := &d.entries[i]
			if e.transmitsLeft <= 0 || e.ID == to || containsID(updates, e.ID) {
				continue
			}
			if best < 0 || e.transmitsLeft > d.entries[best].transmitsLeft {
				best = i
			}
		}
		if best < 0 {
			break
		}
		d.entries[best].transmitsLeft--
		updates = append(updates, d.entries[best].Record)
	}
	return updates
}

func containsID(records []Record, id ID) bool {
	for i := range records {
		if records[i].ID == id {
			return true
		}
	}
	return false
}

// sendEagerGossip sends changed records at once, to two members of the zone
// and one instance of another zone.
func (d *Detector) sendEagerGossip(elapsed time.Duration, out []Output) []Output {
	d.gossipTokens = min(gossipBurst, d.gossipTokens+gossipRate*elapsed.Seconds())
	if d.eagerTicksLeft == 0 || d.gossipTokens < fanout {
		return out
	}
	d.eagerTicksLeft--
	d.gossipTokens -= fanout
	out = d.gossipTo(true, fanout-1, out)
	return d.gossipTo(false, 1, out)
}

// gossipTo sends gossip to at most n random live instances, inside or outside
// of the own zone.
func (d *Detector) gossipTo(ownZone bool, n int, out []Output) []Output {
	if len(d.entries) == 0 {
		return out
	}
	start := d.random.IntN(len(d.entries))
	for k := 0; k < len(d.entries) && n > 0; k++ {
		e := &d.entries[(start+k)%len(d.entries)]
		if e.State.Removed() || (e.Zone == d.self.Zone) != ownZone {
			continue
		}
		n--
		out = append(out, Output{Kind: SendGossip, To: e.ID, Address: e.Address})
	}
	return out
}
