package control

import (
	"slices"
	"time"

	"pistachioford.example/core/member"
)

// Intervals and limits of joining and of repairing views that differ.
const (
	// seedInterval is the minimum time between two pings of seed addresses.
	seedInterval = 1 * time.Second
	// requestFanout is how many instances are pinged or asked at a time.
	requestFanout = 3
	// pageSize bounds the records in one MembersAnswer.
	pageSize = 64
	// membersFetchInterval is the shortest time between requests for first
	// pages of records; the pages that follow are requested at once.
	membersFetchInterval = 500 * time.Millisecond
	// repairDelay is how long two views must differ before records are
	// requested to repair that. Earlier the updates are usually still on their
	// way.
	repairDelay = 1500 * time.Millisecond
	// aloneTimeout is how long an instance that receives no message looks for
	// others before it treats itself as alone in its zone.
	aloneTimeout = 2 * time.Second
	// listInterval is the time between reads of the instance list, and
	// listRetryInterval that before the first response.
	listInterval      = 10 * time.Second
	listRetryInterval = 1 * time.Second
	// listPingGrace is how long unknown instances on the instance list have to
	// respond to a ping.
	listPingGrace = 500 * time.Millisecond
	// zonePeerGrace is how long an instance that knows others, but none of its
	// own zone, waits for one to appear.
	zonePeerGrace = 1 * time.Second
	// maxEntries bounds the entries that are used of an instance list or a
	// digest, and the differing views that are tracked.
	maxEntries = 4096
)

// joinState is the progress of comparing the view of the zone with other
// instances, since the start or the last pause.
type joinState struct {
	started time.Time
	// round distinguishes responses to requests since then from responses to
	// older requests, which may have waited while this instance was paused.
	round uint64
	// completedAt is when the view became complete; it is zero before.
	completedAt time.Time
	// zonePeerAnswered is set when a zone peer has sent its last page of
	// records, otherZoneAnswered when an instance of another zone has sent the
	// last page of all its records.
	zonePeerAnswered  bool
	otherZoneAnswered bool
	// listReceived is when the instance list was last received, listPings how
	// many unknown instances on it were pinged.
	listReceived time.Time
	listPings    int

	lastSeedPing     time.Time
	lastMembersFetch time.Time
	lastListRead     time.Time

	// differsSince is since when the own view of a zone differs from that of
	// others.
	differsSince map[viewKey]time.Time

	// relays are the recent relayed pings, sequence is the number of the last.
	relays   []relayedPing
	sequence uint64
}

func (e *Engine) tickJoin(now time.Time) {
	j := &e.join
	e.readInstanceList(now)
	if e.members.LiveCount() == 1 {
		e.pingSeeds(now)
	}
	if !j.completedAt.IsZero() {
		return
	}
	e.fetchPages(now)
	if e.viewComplete(now) {
		j.completedAt = now
	}
}

// readInstanceList reads the platform's instance list.
func (e *Engine) readInstanceList(now time.Time) {
	j := &e.join
	interval := listInterval
	if j.listReceived.IsZero() {
		interval = listRetryInterval
	}
	if !j.lastListRead.IsZero() && now.Sub(j.lastListRead) < interval {
		return
	}
	j.lastListRead = now
	if id, ok := e.calls.startRead(purposeInstanceList, now); ok {
		e.emit(ListInstances{ID: id})
	}
}

// instancesListed pings the unknown entry instances on the instance list: all
// of the own zone, and those of other zones until requestFanout are pinged. The
// list shows changes late, so it serves as a source of addresses and nothing
// else.
func (e *Engine) instancesListed(now time.Time, a PlatformAnswered) {
	if a.Err != nil {
		return
	}
	e.join.listReceived = now
	pings := 0
	for i := range a.Instances[:min(len(a.Instances), maxEntries)] {
		l := &a.Instances[i]
		if l.Role != "entry" || l.ID == e.config.ID || l.Address == e.config.Address {
			continue
		}
		if _, known := e.members.Get(l.ID); known {
			continue
		}
		if l.Zone != e.config.Zone && pings >= requestFanout {
			continue
		}
		pings++
		e.send(l.ID, l.Address, &Ping{})
	}
	e.join.listPings = pings
}

// pingSeeds pings configured seed addresses, at most once per seedInterval. It
// is called until another instance is known.
func (e *Engine) pingSeeds(now time.Time) {
	seeds := e.config.Seeds
	if len(seeds) == 0 || !e.join.lastSeedPing.IsZero() && now.Sub(e.join.lastSeedPing) < seedInterval {
		return
	}
	e.join.lastSeedPing = now
	start := e.random.IntN(len(seeds))
	for k := 0; k < len(seeds) && k < requestFanout; k++ {
		if address := seeds[(start+k)%len(seeds)]; address != e.config.Address {
			e.send("", address, &Ping{})
		}
	}
}

// fetchPages asks zone peers for all their records, and instances of other
// zones too until one of these has responded in full. It is called until the
// view is complete.
func (e *Engine) fetchPages(now time.Time) {
	if !e.join.lastMembersFetch.IsZero() && now.Sub(e.join.lastMembersFetch) < membersFetchInterval {
		return
	}
	asked := 0
	ask := func(r *member.Record) {
		if asked < requestFanout {
			asked++
			e.sendToMember(r, &MembersFetch{Round: e.join.round})
		}
	}
	zonePeers := e.members.ZonePeers()
	e.random.Shuffle(len(zonePeers), func(i, j int) { zonePeers[i], zonePeers[j] = zonePeers[j], zonePeers[i] })
	for i := range zonePeers {
		ask(&zonePeers[i])
	}
	if !e.join.otherZoneAnswered {
		e.members.ForEachLive(func(r *member.Record) {
			if r.Zone != e.config.Zone {
				ask(r)
			}
		})
	}
	if asked > 0 {
		e.join.lastMembersFetch = now
	}
}

// viewComplete reports whether this instance knows the live instances of its
// zone: a zone peer has sent them, or there is no zone peer. It assumes that
// there is none if neither the seeds nor the instance list name another
// instance, if none appeared within zonePeerGrace although an instance of
// another zone sent its records, or if none appeared within aloneTimeout.
func (e *Engine) viewComplete(now time.Time) bool {
	j := &e.join
	if j.zonePeerAnswered {
		return true
	}
	if len(e.members.ZonePeers()) > 0 {
		return false
	}
	listed := !j.listReceived.IsZero()
	listSettled := listed && (j.listPings == 0 || now.Sub(j.listReceived) >= listPingGrace)
	// A starting instance without the list may have zone peers that it cannot
	// find, so it waits for the list. An instance with an active revision does
	// not wait while the platform is unreachable: during an outage it adopts
	// revisions from other zones.
	starting := e.store.Revision() == 0
	if !listSettled && (starting || !e.calls.unreachable(now, 0)) {
		return false
	}
	elapsed := now.Sub(j.started)
	knowsNobody := len(e.config.Seeds) == 0 && listed && j.listPings == 0 && e.members.LiveCount() == 1
	return knowsNobody || j.otherZoneAnswered && elapsed >= zonePeerGrace || elapsed >= aloneTimeout
}

// pageReceived merges a page and asks for the next one.
func (e *Engine) pageReceived(now time.Time, from *member.Record, m *MembersAnswer) {
	page := m.Members[:min(len(m.Members), pageSize)]
	e.members.Merge(page, now)
	if m.More && len(page) > 0 {
		e.sendToMember(from, &MembersFetch{Zone: m.Zone, Round: m.Round, After: page[len(page)-1].ID})
		return
	}
	if m.Round != e.join.round {
		return
	}
	if from.Zone == e.config.Zone {
		e.join.zonePeerAnswered = true
		return
	}
	if m.Zone == "" {
		e.join.otherZoneAnswered = true
	}
}

// compareZoneHash asks a zone peer for its records of the zone when its view of
// the zone still differs after repairDelay.
func (e *Engine) compareZoneHash(now time.Time, h *Header) {
	if h.Sender.Zone != e.config.Zone {
		return
	}
	if e.stillDiffers(now, viewKey{zone: h.Sender.Zone, ownZone: true}, h.ZoneHash != e.members.ZoneHash()) {
		e.fetchZone(now, &h.Sender, h.Sender.Zone)
	}
}

// viewKey identifies the view that peers have of a zone. The views of zone peers
// are kept apart from those of other zones: instances that start together can
// agree and yet not know a dead instance that all other zones still list.
type viewKey struct {
	zone    string
	ownZone bool // the peers are in the own zone
}

// stillDiffers records whether the own view of a zone differs from that of a
// peer, and reports whether it has differed for repairDelay.
func (e *Engine) stillDiffers(now time.Time, v viewKey, differs bool) bool {
	if !differs {
		delete(e.join.differsSince, v)
		return false
	}
	since, known := e.join.differsSince[v]
	if !known && len(e.join.differsSince) < maxEntries {
		if e.join.differsSince == nil {
			e.join.differsSince = map[viewKey]time.Time{}
		}
		e.join.differsSince[v] = now
	}
	return known && now.Sub(since) >= repairDelay
}

func (e *Engine) fetchZone(now time.Time, from *member.Record, zone string) {
	if !e.join.lastMembersFetch.IsZero() && now.Sub(e.join.lastMembersFetch) < membersFetchInterval {
		return
	}
	e.join.lastMembersFetch = now
	e.sendToMember(from, &MembersFetch{Zone: zone, Round: e.join.round})
}

// compareDigests answers a digest and asks for the records of a zone of which the
// view of the other instance still differs after repairDelay.
func (e *Engine) compareDigests(now time.Time, from *member.Record, m *Digest) {
	if !m.Answer {
		e.sendToMember(from, &Digest{Zones: e.members.Digests(), Answer: true})
	}
	theirs := m.Zones[:min(len(m.Zones), maxEntries)]
	differing := e.members.DifferingZones(theirs)
	for i := range theirs {
		zone := theirs[i].Zone
		if e.stillDiffers(now, viewKey{zone: zone}, slices.Contains(differing, zone)) {
			e.fetchZone(now, from, zone)
		}
	}
}
