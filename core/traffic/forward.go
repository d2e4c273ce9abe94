package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

const (
	// forwardScan bounds the queued requests that one tick tries to forward.
	forwardScan = 64
	// Ranks of peers: those with free slots, those that sent no hint, those
	// with a shorter queue; within each, the nearer first.
	rankUnknown = 1000
	rankQueue   = 2000
)

// mayForward tells whether a request may leave for a peer at all.
func (e *Engine) mayForward(r *request) bool {
	return !r.forwarded && !r.bodyGone && int(r.refusals) < maxPeers
}

// tryForward sends a request to the best peer, if one is expected to serve it
// sooner than the wait here. linkFull tells that only the budget of a link
// stood in the way.
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

// choosePeer returns the row of a peer, drawn at random among the nearest ones
// in proportion to their free slots; only limits the choice to a region.
func (e *Engine) choosePeer(now time.Time, r *request, wait time.Duration, only int32) (best int32, linkFull bool) {
	best, bestRank, total := none, 0, 0
	for i := range e.peers.rows {
		p := &e.peers.rows[i]
		if only != none && p.region != document.RegionID(only) {
			continue
		}
		rank, weight, ok := e.rankPeer(now, r, p, wait)
		if !ok || best != none && rank > bestRank {
			continue
		}
		if !e.uploadReady(now, r, p) {
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

// rankPeer tells whether a peer would serve the request sooner, and how it
// ranks among others.
func (e *Engine) rankPeer(now time.Time, r *request, p *peer, wait time.Duration) (rank, weight int, ok bool) {
	if !e.peerOpen(now, r, p) {
		return 0, 0, false
	}
	g := e.groups.rows[r.group].id
	there, known := p.expectedWait(now, g)
	switch {
	case !known:
		rank, weight, ok = rankUnknown, 1, wait == maxWait
	case there == 0:
		rank, weight, ok = 0, int(p.free[g]), p.trip < wait
	default:
		// Hints are old, so a shorter queue must be shorter by far.
		rank, weight, ok = rankQueue, 1, there+p.trip < wait/2
	}
	s := &e.services.rows[r.service]
	needed := there + p.trip + min(s.time.cautious(), s.deadline/2)
	return rank + p.tier, weight, ok && !now.Add(needed).After(r.deadline)
}

// peerOpen tells whether the request may go to the peer at all.
func (e *Engine) peerOpen(now time.Time, r *request, p *peer) bool {
	if !p.holder || p.leaving || now.Before(p.pausedUntil) || r.triedPeer(p.id) {
		return false
	}
	if p.region != e.region && now.Before(e.shift(r.service, p.region).pausedUntil) {
		return false
	}
	// The zone's other instances hold slots of the targets already tried.
	return p.tier > 0 || r.avoid.Empty()
}

func (r *request) triedPeer(id InstanceID) bool {
	for _, tried := range r.peers[:min(int(r.refusals), maxPeers)] {
		if tried == id {
			return true
		}
	}
	return false
}

func (e *Engine) uploadReady(now time.Time, r *request, p *peer) bool {
	return p.region == e.region || e.links.ready(now, p.region, r.bodyBytes, r.priority)
}

// forward starts an exchange with a peer; false if a budget does not allow it.
func (e *Engine) forward(now time.Time, row, to int32) bool {
	r := &e.requests.rows[row]
	p := &e.peers.rows[to]
	if !e.chargeAnswer(now, r, e.services.rows[r.service].answerBytes) {
		return false
	}
	if p.region != e.region && !e.links.charge(now, p.region, r.bodyBytes, r.priority) {
		return false
	}
	p.sent(e.groups.rows[r.group].id)
	r.state = statePeer
	r.attempt++
	r.peer, r.started = p.id, now
	e.emit(Forward{
		ID: r.id, Attempt: r.attempt, Peer: p.id, Deadline: r.deadline, ToOwner: r.toOwner,
		ShiftCharged: r.shiftCharged && p.region == e.region, Runs: r.runs,
	})
	return true
}

// forwardQueued sends queued requests to peers whose hints have improved.
func (e *Engine) forwardQueued(now time.Time, g int32) {
	for p := range document.Priority(document.Priorities) {
		row := e.groups.rows[g].queues[p].head
		for range forwardScan {
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

// abandonQueued refuses a queued request when the last own slot was lost and
// no peer can take it.
func (e *Engine) abandonQueued(now time.Time, row int32, linkFull bool) bool {
	r := &e.requests.rows[row]
	bar := e.barredHere(now, r)
	if bar != ReasonNoShard && bar != ReasonNoTarget {
		return false
	}
	e.dequeue(row)
	e.refuse(now, row, e.explain(r, bar, linkFull))
	return true
}

// movePlanned forwards the part of a service's work that its owners shift to
// another region, while that region has free slots.
func (e *Engine) movePlanned(now time.Time, row int32) bool {
	r := &e.requests.rows[row]
	if r.origin != e.region || !e.mayForward(r) {
		return false
	}
	for _, m := range e.services.rows[r.service].moves {
		if e.random.Float64() >= m.fraction {
			continue
		}
		best, _ := e.choosePeer(now, r, maxWait-1, int32(m.to))
		if best != none && e.hintsFree(best, r.group) && e.forward(now, row, best) {
			return true
		}
	}
	return false
}

func (e *Engine) hintsFree(to, group int32) bool {
	free, g := e.peers.rows[to].free, e.groups.rows[group].id
	return int(g) < len(free) && free[g] > 0
}
