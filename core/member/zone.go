package member

import (
	"hash/fnv"
	"sort"
	"time"
)

// zone is what the detector knows of another zone.
type zone struct {
	name         string
	lastReceived time.Time
	lastSent     time.Time
	// unanswered counts the digests sent since the last message from the zone.
	unanswered  int
	unreachable bool
}

// zoneEntry returns the entry of a zone, and adds it if there is none. A new
// entry is treated as if a message had been received now.
func (d *Detector) zoneEntry(name string, now time.Time) *zone {
	for i := range d.zones {
		if d.zones[i].name == name {
			return &d.zones[i]
		}
	}
	d.zones = append(d.zones, zone{name: name, lastReceived: now})
	return &d.zones[len(d.zones)-1]
}

// recordZoneMessage records a message from an instance of another zone.
func (d *Detector) recordZoneMessage(name string, now time.Time) {
	if name == d.self.Zone {
		return
	}
	z := d.zoneEntry(name, now)
	z.lastReceived = now
	z.unanswered = 0
	if z.unreachable {
		z.unreachable = false
		d.version++
	}
}

// Unreachable reports whether no instance of the zone responds. Its instances
// are not declared dead, since only members of their own zone do that.
func (d *Detector) Unreachable(name string) bool {
	for i := range d.zones {
		if d.zones[i].name == name {
			return d.zones[i].unreachable
		}
	}
	return false
}

// sendDigest sends a digest to a random instance of the zone that got none for
// the longest time; a zone that does not respond comes first.
func (d *Detector) sendDigest(now time.Time, out []Output) []Output {
	if now.Sub(d.lastDigest) < digestInterval {
		return out
	}
	d.lastDigest = now
	d.ForEachLive(func(r *Record) {
		if r.Zone != d.self.Zone {
			d.zoneEntry(r.Zone, now)
		}
	})
	d.detectUnreachable(now)
	z, target := d.nextZone(now)
	if z == nil {
		return out
	}
	z.lastSent = now
	z.unanswered++
	e := &d.entries[target]
	return append(out, Output{Kind: SendDigest, To: e.ID, Address: e.Address})
}

// detectUnreachable marks the zones that do not respond as unreachable.
func (d *Detector) detectUnreachable(now time.Time) {
	for i := range d.zones {
		z := &d.zones[i]
		silent := now.Sub(z.lastReceived) >= zoneSilenceTimeout && z.unanswered >= 2
		if silent && !z.unreachable && now.Sub(z.lastSent) >= digestTimeout {
			z.unreachable = true
			d.version++
		}
	}
}

// nextZone selects the zone to send a digest to, and a random live instance of
// it by its index in entries. The zone is nil if there is none.
func (d *Detector) nextZone(now time.Time) (*zone, int) {
	order := make([]int, len(d.zones))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := &d.zones[order[i]], &d.zones[order[j]]
		if a.urgent(now) != b.urgent(now) {
			return a.urgent(now)
		}
		return a.lastSent.Before(b.lastSent)
	})
	for _, zoneIndex := range order {
		if target, ok := d.randomLive(d.zones[zoneIndex].name); ok {
			return &d.zones[zoneIndex], target
		}
	}
	return nil, 0
}

// urgent reports whether the zone does not respond and is not yet known to be
// unreachable.
func (z *zone) urgent(now time.Time) bool {
	return z.unanswered > 0 && !z.unreachable && now.Sub(z.lastReceived) > zoneSilenceTimeout/2
}

// randomLive returns the index in entries of a random live instance of a zone,
// and whether there is one.
func (d *Detector) randomLive(zone string) (int, bool) {
	if len(d.entries) == 0 {
		return 0, false
	}
	start := d.random.IntN(len(d.entries))
	for k := range d.entries {
		entryIndex := (start + k) % len(d.entries)
		if d.entries[entryIndex].Zone == zone && !d.entries[entryIndex].State.Removed() {
			return entryIndex, true
		}
	}
	return 0, false
}

// Digests returns a summary of the live instances of each zone, this one
// included.
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
	d.ForEachLive(add)
	return digests
}

// DifferingZones returns the zones whose digests differ from those of the own
// view.
func (d *Detector) DifferingZones(theirs []ZoneDigest) []string {
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

// ZoneHash returns the hash of the view of the own zone.
func (d *Detector) ZoneHash() uint64 {
	hash := hashRecord(&d.self)
	for _, id := range d.zoneMemberIDs() {
		if id != d.self.ID {
			hash ^= hashRecord(&d.entries[d.index[id]].Record)
		}
	}
	return hash
}

// Page returns at most n records of a zone, or of all zones if it is empty,
// with IDs above after, and whether more follow. It includes removed instances,
// so that the receiver learns of their end.
func (d *Detector) Page(zone string, after ID, n int) ([]Record, bool) {
	if !d.sortedIDsValid {
		d.sortedIDs = d.sortedIDs[:0]
		for i := range d.entries {
			d.sortedIDs = append(d.sortedIDs, d.entries[i].ID)
		}
		sort.Slice(d.sortedIDs, func(i, j int) bool { return d.sortedIDs[i] < d.sortedIDs[j] })
		d.sortedIDsValid = true
	}
	var page []Record
	start := sort.Search(len(d.sortedIDs), func(i int) bool { return d.sortedIDs[i] > after })
	for _, id := range d.sortedIDs[start:] {
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
	var picked []Record
	for i := range d.zones {
		if entryIndex, ok := d.randomLive(d.zones[i].name); ok {
			picked = append(picked, d.entries[entryIndex].Record)
		}
	}
	return picked
}
