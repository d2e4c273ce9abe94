package member

import (
	"slices"
	"sort"
	"time"
)

// pingNext pings one member of the zone in each period. All instances of a zone
// derive the targets from the number of the period by one rotation, so that
// each member is pinged once per period at its own phase. With independently
// random targets a member of a large zone stays without a ping for more than a
// second in one of four deaths, and detection would exceed 2 s.
func (d *Detector) pingNext(now time.Time, out []Output) []Output {
	ids := d.zoneIDs()
	if len(ids) < 2 {
		return out
	}
	number := now.UnixNano() / int64(period)
	if d.pinged == number {
		return out
	}
	if d.pinged < number-1 {
		// No tick fell between the phase of the last target and the end of its
		// period.
		d.pinged = number - 1
		return d.startProbe(d.rotation(ids, number-1), now, out)
	}
	target := d.rotation(ids, number)
	phase := time.Duration(hashID(target) % uint64(period-50*time.Millisecond))
	if now.UnixNano()-number*int64(period) < int64(phase) {
		return out
	}
	d.pinged = number
	if len(ids) <= smallZone {
		return d.pingAll(ids, now, out)
	}
	return d.startProbe(target, now, out)
}

// smallZone is the number of members up to which each one pings all others. A
// member that just died or started pings nobody, and in a small zone the
// rotation would too often leave the ping of another dead member to it: after a
// restart in a zone of two, 39% of the deaths were known only after 2 s.
const smallZone = 4

func (d *Detector) pingAll(ids []ID, now time.Time, out []Output) []Output {
	for _, id := range ids {
		if id != d.self.ID {
			out = d.startProbe(id, now, out)
		}
	}
	return out
}

// rotation returns the target of this instance in a period.
func (d *Detector) rotation(ids []ID, number int64) ID {
	own := sort.Search(len(ids), func(i int) bool { return ids[i] >= d.self.ID })
	others := uint64(len(ids) - 1)
	shift := 1 + mix(uint64(number))%others
	return ids[(uint64(own)+shift)%uint64(len(ids))]
}

func (d *Detector) startProbe(target ID, now time.Time, out []Output) []Output {
	for i := range d.probes {
		if d.probes[i].target == target {
			return out
		}
	}
	d.sequence++
	p := probe{target: target, sequence: d.sequence, sent: now, lastSent: now}
	d.probes = append(d.probes, p)
	return append(out, d.ping(&p))
}

func (d *Detector) ping(p *probe) Output {
	e := &d.entries[d.index[p.target]]
	return Output{Kind: SendPing, To: e.ID, Address: e.Address, Sequence: p.sequence}
}

// advanceProbes moves each outstanding ping through its steps: indirect pings,
// suspicion, death.
func (d *Detector) advanceProbes(now time.Time, out []Output) []Output {
	kept := d.probes[:0]
	for i := range d.probes {
		p := d.probes[i]
		at, known := d.index[p.target]
		if !known || d.entries[at].State.Gone() {
			continue
		}
		age := now.Sub(p.sent)
		if age >= suspectAfter+suspicion {
			out = d.declareDead(at, now, out)
			continue
		}
		if !p.indirect && age >= indirectAfter {
			p.indirect = true
			out = d.pingThroughOthers(&p, out)
		}
		if !p.suspected && age >= suspectAfter {
			p.suspected = true
		}
		if p.suspected && now.Sub(p.lastSent) >= repingInterval {
			p.lastSent = now
			out = append(out, d.ping(&p))
			if age >= suspectAfter {
				out = d.pingThroughOthers(&p, out)
			}
		}
		kept = append(kept, p)
	}
	d.probes = kept
	return out
}

// pingThroughOthers asks up to three random members of the zone to ping the
// target.
func (d *Detector) pingThroughOthers(p *probe, out []Output) []Output {
	ids := d.zoneIDs()
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

// Acked ends the ping of an instance that answered, directly or through another.
func (d *Detector) Acked(target ID, sequence uint64) {
	for i := range d.probes {
		if d.probes[i].target == target && d.probes[i].sequence == sequence {
			d.probes = append(d.probes[:i], d.probes[i+1:]...)
			return
		}
	}
}

// declareDead records a death that this instance found and tells the whole zone
// and one instance of each other zone. Gossip alone leaves a few members of a
// large zone uninformed for more than the 2 s.
func (d *Detector) declareDead(at int, now time.Time, out []Output) []Output {
	r := d.entries[at].Record
	r.State = Dead
	d.apply(r, now)
	tell := append(d.ZonePeers(), d.OnePerZone()...)
	d.entries[at].transmits += len(tell)
	for i := range tell {
		out = append(out, Output{Kind: SendGossip, To: tell[i].ID, Address: tell[i].Address})
	}
	return out
}

// answered ends the ping of an instance that sent any message since. In a zone
// of two nobody can ping it indirectly: when only answers counted, 5% loss led to
// a false death in 5 of 40 hours of a fleet of 12.
func (d *Detector) answered(target ID) {
	d.probes = slices.DeleteFunc(d.probes, func(p probe) bool { return p.target == target })
}

// ProbeZonePeers pings all members of the zone, after a pause in which any of them
// may have gone.
func (d *Detector) ProbeZonePeers(now time.Time) {
	d.probes = d.probes[:0]
	for _, id := range d.zoneIDs() {
		if id == d.self.ID {
			continue
		}
		d.sequence++
		d.probes = append(d.probes, probe{
			target: id, sequence: d.sequence, sent: now, indirect: true, suspected: true,
		})
	}
	d.lastTick = now
}
