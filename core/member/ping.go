package member

import (
	"slices"
	"sort"
	"time"
)

// pingNext pings one member of the zone in each period. All instances of a
// zone derive their targets from the number of the period by one rotation, so
// that each member is pinged once per period, at a point in the period that
// its ID determines. With independently random targets a member of a large
// zone would stay without a ping for more than a second in one of four deaths,
// and detection would take more than 2 s.
func (d *Detector) pingNext(now time.Time, out []Output) []Output {
	ids := d.zoneMemberIDs()
	if len(ids) < 2 {
		return out
	}
	periodNumber := now.UnixNano() / int64(pingPeriod)
	if d.lastPeriod == periodNumber {
		return out
	}
	if d.lastPeriod < periodNumber-1 {
		// No tick fell between the time to ping the last target and the end of
		// its period.
		d.lastPeriod = periodNumber - 1
		return d.startProbe(d.rotationTarget(ids, periodNumber-1), now, out)
	}
	target := d.rotationTarget(ids, periodNumber)
	phase := time.Duration(hashID(target) % uint64(pingPeriod-50*time.Millisecond))
	if now.UnixNano()-periodNumber*int64(pingPeriod) < int64(phase) {
		return out
	}
	d.lastPeriod = periodNumber
	if len(ids) <= smallZone {
		return d.pingAll(ids, now, out)
	}
	return d.startProbe(target, now, out)
}

// smallZone is the size of a zone up to which each member pings all others. A
// member that just died or started pings nobody, and in a small zone the
// rotation would too often leave the ping of another dead member to it: after
// a restart in a zone of two, 39% of the deaths were known only after 2 s.
const smallZone = 4

func (d *Detector) pingAll(ids []ID, now time.Time, out []Output) []Output {
	for _, id := range ids {
		if id != d.self.ID {
			out = d.startProbe(id, now, out)
		}
	}
	return out
}

// rotationTarget returns the target of this instance in a period.
func (d *Detector) rotationTarget(ids []ID, periodNumber int64) ID {
	own := sort.Search(len(ids), func(i int) bool { return ids[i] >= d.self.ID })
	others := uint64(len(ids) - 1)
	shift := 1 + mix(uint64(periodNumber))%others
	return ids[(uint64(own)+shift)%uint64(len(ids))]
}

// startProbe pings an instance, unless a ping to it is outstanding.
func (d *Detector) startProbe(target ID, now time.Time, out []Output) []Output {
	for i := range d.probes {
		if d.probes[i].target == target {
			return out
		}
	}
	d.sequence++
	p := probe{target: target, sequence: d.sequence, firstSent: now, lastSent: now}
	d.probes = append(d.probes, p)
	return append(out, d.ping(&p))
}

func (d *Detector) ping(p *probe) Output {
	e := &d.entries[d.index[p.target]]
	return Output{Kind: SendPing, To: e.ID, Address: e.Address, Sequence: p.sequence}
}

// advanceProbes moves each outstanding ping through its stages: indirect
// pings, suspicion, death.
func (d *Detector) advanceProbes(now time.Time, out []Output) []Output {
	kept := d.probes[:0]
	for i := range d.probes {
		p := d.probes[i]
		entryIndex, known := d.index[p.target]
		if !known || d.entries[entryIndex].State.Removed() {
			continue
		}
		age := now.Sub(p.firstSent)
		if age >= suspectDelay+suspicionTimeout {
			out = d.declareDead(entryIndex, now, out)
			continue
		}
		if !p.indirect && age >= indirectPingDelay {
			p.indirect = true
			out = d.sendIndirectPings(&p, out)
		}
		if !p.suspected && age >= suspectDelay {
			p.suspected = true
		}
		if p.suspected && now.Sub(p.lastSent) >= repingInterval {
			p.lastSent = now
			out = append(out, d.ping(&p))
			if age >= suspectDelay {
				out = d.sendIndirectPings(&p, out)
			}
		}
		kept = append(kept, p)
	}
	d.probes = kept
	return out
}

// sendIndirectPings asks up to three random members of the zone to ping the
// target.
func (d *Detector) sendIndirectPings(p *probe, out []Output) []Output {
	ids := d.zoneMemberIDs()
	target := &d.entries[d.index[p.target]]
	start := d.random.IntN(len(ids))
	sent := 0
	for k := 0; k < len(ids) && sent < indirectPeers; k++ {
		id := ids[(start+k)%len(ids)]
		if id == d.self.ID || id == p.target {
			continue
		}
		sent++
		out = append(out, Output{
			Kind: SendPingRequest, To: id, Address: d.entries[d.index[id]].Address,
			Sequence: p.sequence, Target: target.ID, TargetAddress: target.Address,
		})
	}
	return out
}

// Acked ends the ping of an instance that answered, directly or through
// another one.
func (d *Detector) Acked(target ID, sequence uint64) {
	for i := range d.probes {
		if d.probes[i].target == target && d.probes[i].sequence == sequence {
			d.probes = append(d.probes[:i], d.probes[i+1:]...)
			return
		}
	}
}

// declareDead records a death that this instance detected, and notifies the
// whole zone and one instance of each other zone. Gossip alone would leave a
// few members of a large zone uninformed for more than 2 s.
func (d *Detector) declareDead(entryIndex int, now time.Time, out []Output) []Output {
	r := d.entries[entryIndex].Record
	r.State = Dead
	d.apply(r, now)
	recipients := append(d.ZonePeers(), d.OnePerZone()...)
	d.entries[entryIndex].transmitsLeft += len(recipients)
	for i := range recipients {
		out = append(out, Output{Kind: SendGossip, To: recipients[i].ID, Address: recipients[i].Address})
	}
	return out
}

// cancelProbe ends the ping of an instance that has sent a message of any kind.
// In a zone of two nobody else can ping it indirectly: when only responses to
// pings counted, a message loss of 5% led to a false death in 5 of 40 hours of
// a fleet of 12.
func (d *Detector) cancelProbe(target ID) {
	d.probes = slices.DeleteFunc(d.probes, func(p probe) bool { return p.target == target })
}

// ProbeZonePeers suspects all other members of the zone, so that the next tick
// pings each of them. It is called after a pause of this instance, in which any
// of them may have died or left.
func (d *Detector) ProbeZonePeers(now time.Time) {
	d.probes = d.probes[:0]
	for _, id := range d.zoneMemberIDs() {
		if id == d.self.ID {
			continue
		}
		d.sequence++
		d.probes = append(d.probes, probe{
			target: id, sequence: d.sequence, firstSent: now, indirect: true, suspected: true,
		})
	}
	d.lastTick = now
}
