package control

import (
	"slices"
	"time"

	"pistachioford.example/core/member"
)

// Intervals of joining and of repair.
const (
	seedInterval = 1 * time.Second
	seedsAtOnce  = 3
	// pageSize bounds the records in one MembersAnswer.
	pageSize = 64
	// pageInterval bounds the pages that repair asks for.
	pageInterval = 500 * time.Millisecond
	// differTime is how long two views differ before a page repairs that;
	// earlier the news are usually still on their way.
	differTime = 1500 * time.Millisecond
	// aloneTime is how long an instance that hears from nobody looks for
	// others before it counts as alone in its zone.
	aloneTime    = 2 * time.Second
	listInterval = 10 * time.Second
	listRetry    = 1 * time.Second
	// pingGrace is how long the instances that the list named have to answer.
	pingGrace = 500 * time.Millisecond
	// zonePeerGrace is how long an instance that knows others, but none of its own
	// zone, waits for one to appear.
	zonePeerGrace = 1 * time.Second
	maxListed     = 4096
)

// join is the progress of comparing the view of the zone with others, since the
// start or the last pause.
type join struct {
	since time.Time
	// round tells answers to questions since then from older ones that were
	// waiting while this instance was paused.
	round uint64
	// fresh is when the view was complete, zero before.
	fresh time.Time
	// zonePeerAnswered and otherAnswered tell whose pages were complete.
	zonePeerAnswered bool
	otherAnswered    bool
	// listAnswered is when the instance list was read, listPings how many
	// unknown instances it named.
	listAnswered time.Time
	listPings    int

	seeded   time.Time
	paged    time.Time
	listedAt time.Time

	// differs tells since when the view of a zone differs from that of others.
	differs map[view]time.Time

	relays   []relay
	sequence uint64
}

func (e *Engine) tickJoin(now time.Time) {
	j := &e.join
	e.list(now)
	if e.members.LiveCount() == 1 {
		e.pingSeeds(now)
	}
	if !j.fresh.IsZero() {
		return
	}
	e.fetchPages(now)
	if e.viewComplete(now) {
		j.fresh = now
	}
}

// list reads the platform's instance list.
func (e *Engine) list(now time.Time) {
	j := &e.join
	interval := listInterval
	if j.listAnswered.IsZero() {
		interval = listRetry
	}
	if !j.listedAt.IsZero() && now.Sub(j.listedAt) < interval {
		return
	}
	j.listedAt = now
	if id, ok := e.calls.read(forList, now); ok {
		e.do(ListInstances{ID: id})
	}
}

// listed pings the entry instances of the list that are not known. The list
// lags, so it gives addresses to try and nothing else.
func (e *Engine) listed(now time.Time, a PlatformAnswered) {
	if a.Err != nil {
		return
	}
	e.join.listAnswered = now
	pings := 0
	for i := range a.Instances[:min(len(a.Instances), maxListed)] {
		l := &a.Instances[i]
		if l.Role != "entry" || l.ID == e.config.ID || l.Address == e.config.Address {
			continue
		}
		if _, known := e.members.Get(l.ID); known {
			continue
		}
		if l.Zone != e.config.Zone && pings >= seedsAtOnce {
			continue
		}
		pings++
		e.send(l.ID, l.Address, &Ping{})
	}
	e.join.listPings = pings
}

// pingSeeds pings addresses of the settings until an instance is known.
func (e *Engine) pingSeeds(now time.Time) {
	seeds := e.config.Seeds
	if len(seeds) == 0 || !e.join.seeded.IsZero() && now.Sub(e.join.seeded) < seedInterval {
		return
	}
	e.join.seeded = now
	start := e.random.IntN(len(seeds))
	for k := 0; k < len(seeds) && k < seedsAtOnce; k++ {
		if address := seeds[(start+k)%len(seeds)]; address != e.config.Address {
			e.send("", address, &Ping{})
		}
	}
}

// fetchPages asks for the records of the zone, or of all, until a zone peer or
// another instance answered in full.
func (e *Engine) fetchPages(now time.Time) {
	if !e.join.paged.IsZero() && now.Sub(e.join.paged) < pageInterval {
		return
	}
	asked := 0
	ask := func(r *member.Record) {
		if asked < seedsAtOnce {
			asked++
			e.reply(r, &MembersFetch{Round: e.join.round})
		}
	}
	zonePeers := e.members.ZonePeers()
	e.random.Shuffle(len(zonePeers), func(i, j int) { zonePeers[i], zonePeers[j] = zonePeers[j], zonePeers[i] })
	for i := range zonePeers {
		ask(&zonePeers[i])
	}
	if !e.join.otherAnswered {
		e.members.Live(func(r *member.Record) {
			if r.Zone != e.config.Zone {
				ask(r)
			}
		})
	}
	if asked > 0 {
		e.join.paged = now
	}
}

// viewComplete tells whether this instance knows the live instances of its
// zone: a zone peer showed them, or there is none.
func (e *Engine) viewComplete(now time.Time) bool {
	j := &e.join
	if j.zonePeerAnswered {
		return true
	}
	if len(e.members.ZonePeers()) > 0 {
		return false
	}
	listed := !j.listAnswered.IsZero()
	answered := listed && (j.listPings == 0 || now.Sub(j.listAnswered) >= pingGrace)
	// A starting instance without the list may have zone peers that it cannot find;
	// one that runs adopts revisions from other zones during an outage.
	starting := e.store.Revision() == 0
	if !answered && (starting || !e.calls.unreachable(now, 0)) {
		return false
	}
	alone := now.Sub(j.since)
	nobody := len(e.config.Seeds) == 0 && listed && j.listPings == 0 && e.members.LiveCount() == 1
	return nobody || j.otherAnswered && alone >= zonePeerGrace || alone >= aloneTime
}

// pageReceived merges a page and asks for the next one.
func (e *Engine) pageReceived(now time.Time, from *member.Record, m *MembersAnswer) {
	page := m.Members[:min(len(m.Members), pageSize)]
	e.members.Merge(page, now)
	if m.More && len(page) > 0 {
		e.reply(from, &MembersFetch{Zone: m.Zone, Round: m.Round, After: page[len(page)-1].ID})
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
		e.join.otherAnswered = true
	}
}

// compareZone asks a zone peer for its records of the zone when its view differs.
func (e *Engine) compareZone(now time.Time, h *Header) {
	if h.Sender.Zone != e.config.Zone {
		return
	}
	if e.stillDiffers(now, view{zone: h.Sender.Zone, own: true}, h.ZoneHash != e.members.ZoneHash()) {
		e.fetchZone(now, &h.Sender, h.Sender.Zone)
	}
}

// view is the view that peers have of a zone. What the instances of the own zone
// say is kept apart from what others say: instances that start together can
// agree and yet not know a dead instance that all other zones still list.
type view struct {
	zone string
	own  bool // the peers are in the own zone
}

// stillDiffers notes whether the own view of a zone differs from that of a peer,
// and tells whether it has done so for differTime.
func (e *Engine) stillDiffers(now time.Time, v view, differs bool) bool {
	if !differs {
		delete(e.join.differs, v)
		return false
	}
	since, noted := e.join.differs[v]
	if !noted && len(e.join.differs) < maxListed {
		if e.join.differs == nil {
			e.join.differs = map[view]time.Time{}
		}
		e.join.differs[v] = now
	}
	return noted && now.Sub(since) >= differTime
}

func (e *Engine) fetchZone(now time.Time, from *member.Record, zone string) {
	if !e.join.paged.IsZero() && now.Sub(e.join.paged) < pageInterval {
		return
	}
	e.join.paged = now
	e.reply(from, &MembersFetch{Zone: zone, Round: e.join.round})
}

// compareDigests answers a digest and asks for the records of a zone that the
// other instance sees differently.
func (e *Engine) compareDigests(now time.Time, from *member.Record, m *Digest) {
	if !m.Answer {
		e.reply(from, &Digest{Zones: e.members.Digests(), Answer: true})
	}
	theirs := m.Zones[:min(len(m.Zones), maxListed)]
	differing := e.members.Differing(theirs)
	for i := range theirs {
		zone := theirs[i].Zone
		if e.stillDiffers(now, view{zone: zone}, slices.Contains(differing, zone)) {
			e.fetchZone(now, from, zone)
		}
	}
}
