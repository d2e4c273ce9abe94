package member

import (
	"hash/fnv"
	"sort"
	"time"
)

// zone is a row of the table of other zones.
type zone struct {
	name     string
	heard    time.Time
	lastSent time.Time
	// unanswered counts the digests without an answer since the zone was heard.
	unanswered  int
	unreachable bool
}

// zoneRow returns the row of a zone; a new row counts as heard.
func (d *Detector) zoneRow(name string, now time.Time) *zone {
	for i := range d.zones {
		if d.zones[i].name == name {
			return &d.zones[i]
		}
	}
	d.zones = append(d.zones, zone{name: name, heard: now})
	return &d.zones[len(d.zones)-1]
}

func (d *Detector) zoneHeard(name string, now time.Time) {
	if name == d.self.Zone {
		return
	}
	z := d.zoneRow(name, now)
	z.heard = now
	z.unanswered = 0
	if z.unreachable {
		z.unreachable = false
		d.version++
	}
}

// Unreachable tells whether no instance of the zone answers. Its instances are
// not declared dead, since only members of their own zone do that.
func (d *Detector) Unreachable(name string) bool {
	for i := range d.zones {
		if d.zones[i].name == name {
			return d.zones[i].unreachable
		}
	}
	return false
}

// sendDigest exchanges digests with a random instance of the zone that was not
// tried for the longest time; a zone that does not answer is tried first.
func (d *Detector) sendDigest(now time.Time, out []Output) []Output {
	if now.Sub(d.lastDigest) < digestInterval {
		return out
	}
	d.lastDigest = now
	d.Live(func(r *Record) {
		if r.Zone != d.self.Zone {
			d.zoneRow(r.Zone, now)
		}
	})
	d.checkZones(now)
	z, target := d.nextZone(now)
	if z == nil {
		return out
	}
	z.lastSent = now
	z.unanswered++
	e := &d.entries[target]
	return append(out, Output{Kind: SendDigest, To: e.ID, Address: e.Address})
}

func (d *Detector) checkZones(now time.Time) {
	for i := range d.zones {
		z := &d.zones[i]
		silent := now.Sub(z.heard) >= zoneWindow && z.unanswered >= 2
		if silent && !z.unreachable && now.Sub(z.lastSent) >= digestTimeout {
			z.unreachable = true
			d.version++
		}
	}
}

// nextZone selects the zone to send a digest to, and a random instance of it.
func (d *Detector) nextZone(now time.Time) (*zone, int) {
	order := make([]int, len(d.zones))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := &d.zones[order[i]], &d.zones[order[j]]
		if a.pressing(now) != b.pressing(now) {
			return a.pressing(now)
		}
		return a.lastSent.Before(b.lastSent)
	})
	for _, at := range order {
		if target, ok := d.randomIn(d.zones[at].name); ok {
			return &d.zones[at], target
		}
	}
	return nil, 0
}

// pressing zones are silent and not yet known to be unreachable.
func (z *zone) pressing(now time.Time) bool {
	return z.unanswered > 0 && !z.unreachable && now.Sub(z.heard) > zoneWindow/2
}

func (d *Detector) randomIn(zone string) (int, bool) {
	if len(d.entries) == 0 {
		return 0, false
	}
	start := d.random.IntN(len(d.entries))
	for k := range d.entries {
		at := (start + k) % len(d.entries)
		if d.entries[at].Zone == zone && !d.entries[at].State.Gone() {
			return at, true
		}
	}
	return 0, false
}

// Digests summarizes the live instances of each zone.
func (d *Detector) Digests() []ZoneDigest {
	var digests []ZoneDigest
	add := func(r *Record) {
		for i := range digests {
			if digests[i].Zone == r.Zone {
				digests[i].Members++
				digests[i].Hash ^= hashRecord(r)
				return
			}
		}
		digests = append(digests, ZoneDigest{Zone: r.Zone, Members: 1, Hash: hashRecord(r)})
	}
	add(&d.self)
	d.Live(add)
	return digests
}

// Differing returns the zones whose digests differ from the own view.
func (d *Detector) Differing(theirs []ZoneDigest) []string {
	var zones []string
	own := d.Digests()
	for _, t := range theirs {
		if !hasDigest(own, t) {
			zones = append(zones, t.Zone)
		}
	}
	return zones
}

func hasDigest(digests []ZoneDigest, d ZoneDigest) bool {
	for i := range digests {
		if digests[i] == d {
			return true
		}
	}
	return false
}

// ZoneHash is the hash of the view of the own zone.
func (d *Detector) ZoneHash() uint64 {
	hash := hashRecord(&d.self)
	for _, id := range d.zoneIDs() {
		if id != d.self.ID {
			hash ^= hashRecord(&d.entries[d.index[id]].Record)
		}
	}
	return hash
}

// Page returns at most n records of a zone, or of all zones, with identifiers
// above after, and whether more follow. It includes instances that are gone, so
// that the receiver learns of their end.
func (d *Detector) Page(zone string, after ID, n int) ([]Record, bool) {
	if !d.idsValid {
		d.ids = d.ids[:0]
		for i := range d.entries {
			d.ids = append(d.ids, d.entries[i].ID)
		}
		sort.Slice(d.ids, func(i, j int) bool { return d.ids[i] < d.ids[j] })
		d.idsValid = true
	}
	var page []Record
	from := sort.Search(len(d.ids), func(i int) bool { return d.ids[i] > after })
	for _, id := range d.ids[from:] {
		r := &d.entries[d.index[id]].Record
		if zone != "" && r.Zone != zone {
			continue
		}
		if len(page) == n {
			return page, true
		}
		page = append(page, *r)
	}
	return page, false
}

func hashID(id ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return mix(h.Sum64())
}

func hashRecord(r *Record) uint64 {
	return mix(hashID(r.ID) ^ mix(r.Incarnation<<8|uint64(r.State)))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// OnePerZone returns a random live instance of each other zone.
func (d *Detector) OnePerZone() []Record {
	var one []Record
	for i := range d.zones {
		if at, ok := d.randomIn(d.zones[i].name); ok {
			one = append(one, d.entries[at].Record)
		}
	}
	return one
}
