package member

import (
	"math/bits"
	"time"
)

// Bounds of the eager gossip: news go to fanout instances in each of the next
// eagerTicks ticks, at most gossipRate messages a second on average. One tick
// leaves a fifth of a zone uninformed until its next ping.
const (
	fanout      = 3
	eagerTicks  = 3
	gossipRate  = 6.0
	gossipBurst = 30.0
	// Each record rides on transmitFactor times log2(n) messages after the
	// eager ticks. With a factor of 3 a start of 240 instances filled all
	// messages for two minutes.
	transmitFactor = 2
)

// Bounds of what a record from the network may hold.
const (
	maxEntries = 4096
	maxName    = 128 // bytes of an identifier, a name or an address
	maxShards  = 256
	// maxIncarnation leaves room to refute.
	maxIncarnation = 1 << 62
)

func (r *Record) valid() bool {
	return r.ID != "" && len(r.ID) <= maxName && len(r.Zone) <= maxName &&
		len(r.Region) <= maxName && len(r.Address) <= maxName && len(r.Caller) <= maxName && len(r.Forward) <= maxName &&
		len(r.Shards) <= maxShards && r.Incarnation < maxIncarnation && r.State <= Left
}

// Heard takes the record that an instance sent of itself.
func (d *Detector) Heard(r Record, now time.Time) {
	if r.ID == d.self.ID || !r.valid() {
		return
	}
	d.apply(r, now)
	i, ok := d.index[r.ID]
	if !ok {
		return
	}
	d.entries[i].heard = now
	d.answered(r.ID)
	d.zoneHeard(r.Zone, now)
	if d.entries[i].State == Dead && r.State != Dead {
		// The sender does not know that it was declared dead.
		d.entries[i].transmits = d.transmitCount()
	}
}

// Merge takes records that others passed on.
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

// refute overrides a wrong record of this instance.
func (d *Detector) refute(r *Record) {
	if r.Incarnation < d.self.Incarnation {
		return
	}
	if r.Incarnation == d.self.Incarnation && r.State <= d.self.State {
		return
	}
	if r.State == Dead {
		d.condemned = true
		d.falseDeath++
	}
	d.self.Incarnation = r.Incarnation
	d.selfChanged()
}

// apply takes a record if it is newer than the known one.
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
	wasGone := e.State.Gone()
	e.Record = r
	if r.State.Gone() && !wasGone {
		e.goneSince = now
	}
	if r.State.Gone() != wasGone {
		d.zoneChanged(r.Zone, r.State.Gone())
	}
	d.spread(e)
}

func (d *Detector) insert(r Record, now time.Time) {
	if len(d.entries) >= maxEntries {
		return
	}
	d.index[r.ID] = len(d.entries)
	d.entries = append(d.entries, entry{Record: r})
	e := &d.entries[len(d.entries)-1]
	d.idsValid = false
	if r.State.Gone() {
		e.goneSince = now
		return // An old death is no news.
	}
	d.zoneChanged(r.Zone, false)
	d.spread(e)
}

func (d *Detector) zoneChanged(zone string, gone bool) {
	if zone != d.self.Zone {
		return
	}
	d.zonePeersValid = false
	if gone {
		d.deaths++
	}
}

// spread marks a record as news.
func (d *Detector) spread(e *entry) {
	e.transmits = d.transmitCount()
	d.eager = eagerTicks
	d.version++
}

func (d *Detector) transmitCount() int {
	return transmitFactor * bits.Len(uint(len(d.entries)+1))
}

// Updates returns at most n records to put into a message to an instance; the
// ones with the most transmissions left come first.
func (d *Detector) Updates(to ID, n int) []Record {
	var updates []Record
	if i, ok := d.index[to]; ok && d.entries[i].State == Dead {
		updates = append(updates, d.entries[i].Record) // Lets it refute.
	}
	for len(updates) < n {
		best := -1
		for i := range d.entries {
			e := &d.entries[i]
			if e.transmits <= 0 || e.ID == to || contains(updates, e.ID) {
				continue
			}
			if best < 0 || e.transmits > d.entries[best].transmits {
				best = i
			}
		}
		if best < 0 {
			break
		}
		d.entries[best].transmits--
		updates = append(updates, d.entries[best].Record)
	}
	return updates
}

func contains(records []Record, id ID) bool {
	for i := range records {
		if records[i].ID == id {
			return true
		}
	}
	return false
}

// sendNews passes news on at once, to two members of the zone and to one
// instance of another zone.
func (d *Detector) sendNews(elapsed time.Duration, out []Output) []Output {
	d.tokens = min(gossipBurst, d.tokens+gossipRate*elapsed.Seconds())
	if d.eager == 0 || d.tokens < fanout {
		return out
	}
	d.eager--
	d.tokens -= fanout
	out = d.gossipTo(true, fanout-1, out)
	return d.gossipTo(false, 1, out)
}

func (d *Detector) gossipTo(own bool, n int, out []Output) []Output {
	if len(d.entries) == 0 {
		return out
	}
	start := d.random.IntN(len(d.entries))
	for k := 0; k < len(d.entries) && n > 0; k++ {
		e := &d.entries[(start+k)%len(d.entries)]
		if e.State.Gone() || (e.Zone == d.self.Zone) != own {
			continue
		}
		n--
		out = append(out, Output{Kind: SendGossip, To: e.ID, Address: e.Address})
	}
	return out
}
