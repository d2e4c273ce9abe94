package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

const (
	// hintLifetime is how long a load hint is valid: 5 hint intervals. After
	// that the peer's load is unknown.
	hintLifetime = time.Second
	// peerPause is how long an unreachable peer gets no work.
	peerPause = time.Second
	// shiftPause is how long a service is not forwarded to a region whose shift
	// cap refused it.
	shiftPause = 100 * time.Millisecond
	// zoneRoundTrip and regionRoundTrip are the assumed round trip times to a
	// peer in this zone and in another zone of this region.
	zoneRoundTrip   = time.Millisecond
	regionRoundTrip = 10 * time.Millisecond
	// hintedWaitStep is added to a peer's hinted wait for each request
	// forwarded because of it, so that one hint does not attract all work.
	hintedWaitStep = 10 * time.Millisecond
)

// peer is one row of the peer table: a live instance and its last hint.
type peer struct {
	id          InstanceID
	zone        document.ZoneID
	region      document.RegionID
	holdsShards bool
	leaving     bool
	roundTrip   time.Duration // assumed round trip time
	tier        int           // 0 own zone, 1 own region, then other regions by delay

	free           []uint16
	wait           []time.Duration
	hintSentAt     time.Time // on the peer's clock, to order hints
	hintReceivedAt time.Time // on the own clock, to compute their age
	// pausedUntil is set after the peer could not be reached.
	pausedUntil time.Time
}

// peerTable holds the live peers.
type peerTable struct {
	infos   []PeerInfo
	rows    []peer
	byID    map[InstanceID]int32
	byShard map[document.ShardID]int32
	tiers   int
}

// changePeers replaces the list of peers. Peers that remain keep their hints.
func (e *Engine) changePeers(infos []PeerInfo) {
	old := e.peers
	e.peers = peerTable{
		infos:   append([]PeerInfo(nil), infos...),
		byID:    make(map[InstanceID]int32, len(infos)),
		byShard: make(map[document.ShardID]int32, len(infos)),
	}
	if e.doc == nil || !e.located {
		return
	}
	tiers := e.tierByRegion()
	for i := range infos {
		e.addPeer(&infos[i], &old, tiers)
	}
	e.peers.tiers = len(e.doc.Regions) + 1
}

func (e *Engine) addPeer(info *PeerInfo, old *peerTable, tiers []int) {
	if info.ID == e.config.Self || int(info.Zone) >= len(e.doc.Zones) {
		return
	}
	p := peer{}
	if row, ok := old.byID[info.ID]; ok {
		p = old.rows[row]
	}
	p.id, p.zone, p.region = info.ID, info.Zone, e.doc.Zones[info.Zone].Region
	p.holdsShards, p.leaving = len(info.Shards) > 0, info.Leaving
	p.tier, p.roundTrip = e.distance(info.Zone, tiers)
	row := int32(len(e.peers.rows))
	e.peers.rows = append(e.peers.rows, p)
	e.peers.byID[p.id] = row
	for _, shard := range info.Shards {
		e.peers.byShard[shard] = row
	}
}

// tierByRegion ranks the regions by delay. The tier of the own region is 1.
func (e *Engine) tierByRegion() []int {
	tiers := make([]int, len(e.doc.Regions))
	for a := range tiers {
		tiers[a] = 1
		for b := range tiers {
			if a != int(e.region) && e.nearer(document.RegionID(b), document.RegionID(a)) {
				tiers[a]++
			}
		}
	}
	return tiers
}

// nearer reports whether region a is nearer than region b. The own region is
// the nearest; regions with equal delays are ordered by number.
func (e *Engine) nearer(a, b document.RegionID) bool {
	if a == e.region || b == e.region {
		return a == e.region && b != e.region
	}
	da, db := e.delayTo(a), e.delayTo(b)
	return da < db || da == db && a < b
}

// delayTo returns the one-way delay to a region; maxWait without a link.
func (e *Engine) delayTo(r document.RegionID) time.Duration {
	if link := e.doc.LinkBetween(e.region, r); link != nil {
		return link.Delay
	}
	return maxWait
}

// distance returns the tier of a peer's zone and the assumed round trip time.
func (e *Engine) distance(zone document.ZoneID, tiers []int) (tier int, roundTrip time.Duration) {
	region := e.doc.Zones[zone].Region
	switch {
	case zone == e.zone:
		return 0, zoneRoundTrip
	case region == e.region:
		return 1, regionRoundTrip
	default:
		return tiers[region], 2 * e.delayTo(region)
	}
}

// updateLoad stores a hint. A hint that is not newer than the last one is
// ignored unless the last one has expired.
func (t *peerTable) updateLoad(now time.Time, load PeerLoad) {
	row, ok := t.byID[load.Peer]
	if !ok {
		return
	}
	p := &t.rows[row]
	if !load.At.After(p.hintSentAt) && now.Sub(p.hintReceivedAt) < hintLifetime {
		return
	}
	p.hintSentAt, p.hintReceivedAt = load.At, now
	p.free = append(p.free[:0], load.Free...)
	p.wait = append(p.wait[:0], load.Wait...)
}

// expectedWait returns the hinted wait at the peer, without the round trip. It
// reports false without a valid hint.
func (p *peer) expectedWait(now time.Time, g document.GroupID) (time.Duration, bool) {
	if now.Sub(p.hintReceivedAt) > hintLifetime || int(g) >= len(p.free) || int(g) >= len(p.wait) {
		return 0, false
	}
	if p.free[g] > 0 {
		return 0, true
	}
	return max(p.wait[g], time.Millisecond), true
}

// countForwarded counts a forwarded request against the peer's hint.
func (p *peer) countForwarded(g document.GroupID) {
	if int(g) >= len(p.free) || int(g) >= len(p.wait) {
		return
	}
	if p.free[g] > 0 {
		p.free[g]--
		return
	}
	p.wait[g] += hintedWaitStep
}

// markFull records until the peer's next hint that it has no free slots and a
// longer wait.
func (p *peer) markFull(g document.GroupID) {
	if int(g) < len(p.free) {
		p.free[g] = 0
	}
	if int(g) < len(p.wait) {
		p.wait[g] += hintedWaitStep
	}
}
