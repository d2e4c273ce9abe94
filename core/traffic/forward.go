package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

const (
	// maxForwardScan bounds the requests of one queue that a tick tries to
	// forward.
	maxForwardScan = 64
	// Peers with free slots rank from 0, those without a valid hint from
	// rankUnknown, those with a shorter queue from rankQueued. The tier of the
	// peer is added, so that nearer peers come first within each class.
	rankUnknown = 1000
	rankQueued  = 2000
)

// mayForward reports whether a request may be forwarded to any peer.
func (e *Engine) mayForward(r *request) bool {
	return !r.forwarded && !r.bodyConsumed && int(r.peerRefusals) < maxPeerRefusals
}

// tryForward forwards a request to the best peer, if one is expected to serve
// it sooner than this instance. linkFull reports whether no peer could be
// chosen and a link budget ruled out at least one.
func (e *Engine) tryForward(now time.Time, row int32, wait time.Duration) (forwarded, linkFull bool) {
	r := &e.requests.rows[row]
	if wait == 0 || !e.mayForward(r) {
		return false, false
	}
	best, linkFull := e.choosePeer(now, r, wait, none)
	if best == none {
		return false, linkFull
	}
	return e.forward(now, row, best), false
}

// choosePeer returns the row of a peer, or none. It draws among the peers of
// the best rank, in proportion to their free slots. onlyRegion, unless none,
// limits the choice to a region. linkFull reports whether a link budget ruled
// out a peer.
func (e *Engine) choosePeer(now time.Time, r *request, wait time.Duration, onlyRegion int32) (best int32, linkFull bool) {
	best, bestRank, total := none, 0, 0
	for i := range e.peers.rows {
		p := &e.peers.rows[i]
		if onlyRegion != none && p.region != document.RegionID(onlyRegion) {
			continue
		}
		rank, weight, ok := e.rankPeer(now, r, p, wait)
		if !ok || best != none && rank > bestRank {
			continue
		}
		if !e.linkAllowsUpload(now, r, p) {
			linkFull = true
			continue
		}
		if best == none || rank < bestRank {
			bestRank, total = rank, 0
		}
		total += weight
		if e.random.IntN(total) < weight {
			best = int32(i)
		}
	}
	return best, linkFull
}

// rankPeer returns the rank of a peer (lower is better) and its weight among
// peers of the same rank. ok reports whether the peer is expected to serve the
// request sooner than this instance and before the deadline. A peer of unknown
// load is accepted only if the wait here is maxWait.
func (e *Engine) rankPeer(now time.Time, r *request, p *peer, wait time.Duration) (rank, weight int, ok bool) {
	if !e.peerEligible(now, r, p) {
		return 0, 0, false
	}
	g := e.groups.rows[r.group].id
	peerWait, known := p.expectedWait(now, g)
	switch {
	case !known:
		rank, weight, ok = rankUnknown, 1, wait == maxWait
	case peerWait == 0:
		rank, weight, ok = 0, int(p.free[g]), p.roundTrip < wait
	default:
		// Hints are not current, so the wait there must be less than half of
		// the wait here.
		rank, weight, ok = rankQueued, 1, peerWait+p.roundTrip < wait/2
	}
	s := &e.services.rows[r.service]
	needed := peerWait + p.roundTrip + min(s.slotTime.conservative(), s.deadline/2)
	return rank + p.tier, weight, ok && !now.Add(needed).After(r.deadline)
}

// peerEligible reports whether a request may be forwarded to the given peer,
// whatever the load of the peer is.
func (e *Engine) peerEligible(now time.Time, r *request, p *peer) bool {
	if !p.holdsShards || p.leaving || now.Before(p.pausedUntil) || r.wasRefusedBy(p.id) {
		return false
	}
	if p.region != e.region && now.Before(e.shift(r.service, p.region).pausedUntil) {
		return false
	}
	// Other instances of the zone hold slots of the same targets, so after an
	// attempt on one of them the request goes to another zone.
	return p.tier > 0 || r.triedTargets.Empty()
}

// wasRefusedBy reports whether the peer has already refused the request.
func (r *request) wasRefusedBy(id InstanceID) bool {
	for _, other := range r.refusedBy[:min(int(r.peerRefusals), maxPeerRefusals)] {
		if other == id {
			return true
		}
	}
	return false
}

// linkAllowsUpload reports whether the link budget allows the body to be sent
// to the peer.
func (e *Engine) linkAllowsUpload(now time.Time, r *request, p *peer) bool {
	return p.region == e.region || e.links.ready(now, p.region, r.bodyBytes, r.priority)
}

// forward starts an exchange with a peer. It reports false if a link budget
// does not allow it.
func (e *Engine) forward(now time.Time, row, to int32) bool {
	r := &e.requests.rows[row]
	p := &e.peers.rows[to]
	if !e.chargeResponse(now, r, e.services.rows[r.service].responseBytes) {
		return false
	}
	if p.region != e.region && !e.links.charge(now, p.region, r.bodyBytes, r.priority) {
		return false
	}
	p.countForwarded(e.groups.rows[r.group].id)
	r.state = statePeer
	r.attempt++
	r.peer, r.startedAt = p.id, now
	e.emit(Forward{
		ID: r.id, Attempt: r.attempt, Peer: p.id, Deadline: r.deadline, ToOwner: r.toOwner,
		ShiftCharged: r.shiftCharged && p.region == e.region, Attempts: r.attempts,
	})
	return true
}

// forwardQueued forwards queued requests to peers that are expected to serve
// them sooner by their current hints.
func (e *Engine) forwardQueued(now time.Time, g int32) {
	for p := range document.Priority(document.NumPriorities) {
		row := e.groups.rows[g].queues[p].head
		for range maxForwardScan {
			if row == none {
				break
			}
			next := e.requests.rows[row].next
			if !e.forwardOneQueued(now, row) {
				break
			}
			row = next
		}
	}
}

// forwardOneQueued forwards a queued request if a peer qualifies, or refuses it
// if neither a peer nor this instance can serve it. It reports false if the
// scan of the queue should stop.
func (e *Engine) forwardOneQueued(now time.Time, row int32) bool {
	r := &e.requests.rows[row]
	if !e.mayForward(r) {
		return true
	}
	best, linkFull := e.choosePeer(now, r, e.waitHere(r.group, r.priority), none)
	if best == none {
		return e.abandonQueued(now, row, linkFull)
	}
	e.dequeue(row)
	if !e.forward(now, row, best) {
		e.enqueue(row)
		return false
	}
	return true
}

// abandonQueued refuses a queued request that no peer can take if this instance
// has no shard or no target for it any more. It reports whether it refused it.
func (e *Engine) abandonQueued(now time.Time, row int32, linkFull bool) bool {
	r := &e.requests.rows[row]
	refusal := e.localRefusal(now, r)
	if refusal != ReasonNoShard && refusal != ReasonNoTarget {
		return false
	}
	e.dequeue(row)
	e.refuse(now, row, e.refusalReason(r, refusal, linkFull))
	return true
}

// forwardPlannedShift forwards the fraction of a service's requests that the
// document shifts to another region, as long as that region has free slots. A
// wait of maxWait-1 excludes the peers of unknown load.
func (e *Engine) forwardPlannedShift(now time.Time, row int32) bool {
	r := &e.requests.rows[row]
	if r.origin != e.region || !e.mayForward(r) {
		return false
	}
	for _, shift := range e.services.rows[r.service].plannedShifts {
		if e.random.Float64() >= shift.fraction {
			continue
		}
		best, _ := e.choosePeer(now, r, maxWait-1, int32(shift.to))
		if best != none && e.hintsFreeSlot(best, r.group) && e.forward(now, row, best) {
			return true
		}
	}
	return false
}

// hintsFreeSlot reports whether a peer's last hint shows a free slot of a
// group.
func (e *Engine) hintsFreeSlot(to, group int32) bool {
	free, g := e.peers.rows[to].free, e.groups.rows[group].id
	return int(g) < len(free) && free[g] > 0
}
