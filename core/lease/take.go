package lease

import (
	"hash/fnv"
	"time"
)

const (
	probeInterval = 1 * time.Second
	// maxRowAge is the maximum age of a read row for taking a shard. A write
	// based on an outdated row fails, but while it is pending this instance
	// denies the confirmation to a paused holder.
	maxRowAge = readInterval + 5*time.Second
)

// tryTake takes a shard that nobody uses, after a delay that depends on the
// rank of this instance.
func (m *Manager) tryTake(s *shard, now time.Time) {
	recent := s.known && now.Sub(s.readAt) < maxRowAge
	if m.view.Leaving || !m.view.Fresh || !recent || s.outcomeUnknown || s.lastWrite.inFlight || m.takeInProgress() {
		s.takeableSince = time.Time{}
		return
	}
	if m.claimedByPeer(s) {
		s.silentSince = time.Time{}
		s.takeableSince = time.Time{}
		return
	}
	rank, peerHasFewer := m.rank(s.index)
	if !m.takeable(s, rank, now) {
		s.takeableSince = time.Time{}
		return
	}
	if s.takeableSince.IsZero() {
		s.takeableSince = now
	}
	delay := time.Duration(min(rank, 4)) * rankDelay
	if peerHasFewer {
		delay += fairnessDelay
	}
	if now.Sub(s.takeableSince) < delay {
		return
	}
	m.setState(s, taking, now, "taking")
	m.sendWrite(s, Row{
		Holder: m.self, Address: m.address, Epoch: max(s.row.Epoch, s.lastHandoverEpoch) + 1,
		ExpiryMillis: now.Add(Term).UnixMilli(),
	}, now)
}

// takeInProgress reports whether a shard is being taken. Shards are taken one
// at a time, so that the ranks that the zone peers compute stay correct.
func (m *Manager) takeInProgress() bool {
	for i := range m.shards {
		if m.shards[i].state == taking {
			return true
		}
	}
	return false
}

// rank counts the live zone peers that should take the shard first: those that
// hold fewer shards, and among equals those with a lower hash. It also reports
// whether any holds fewer.
func (m *Manager) rank(index uint16) (rank int, peerHasFewer bool) {
	own := len(m.Claims())
	ownHash := rankHash(m.self, index)
	for i := range m.view.ZonePeers {
		p := &m.view.ZonePeers[i]
		if p.Removed || p.Leaving {
			continue
		}
		theirs := len(p.Shards)
		peerHasFewer = peerHasFewer || theirs < own
		if theirs < own || theirs == own && rankHash(p.ID, index) < ownHash {
			rank++
		}
	}
	return rank, peerHasFewer
}

// rankHash orders instances with equally many shards, differently for each
// shard.
func rankHash(id string, index uint16) uint64 {
	h := fnv.New64a()
	h.Write([]byte{byte(index), byte(index >> 8)})
	h.Write([]byte(id))
	return h.Sum64()
}

// takeable reports whether the shard may be taken: its row is missing or
// released, or the previous holder can no longer use it.
func (m *Manager) takeable(s *shard, rank int, now time.Time) bool {
	if s.version == 0 || s.row.Released {
		return true
	}
	if rank > 1 {
		return false // More than two probing candidates would only add traffic.
	}
	return m.quarantineElapsed(s, now)
}

// quarantineElapsed reports whether the previous holder can no longer use the
// shard. Besides the expiry and the quarantine it requires a whole quarantine
// without a sign of use, and that all zone peers deny the use at its end. A
// holder that cannot reach the platform uses the shard beyond the expiry, so
// the expiry may be long past when the holder dies; and a holder that is paused
// for less than MaxPause uses the shard again without confirmation.
func (m *Manager) quarantineElapsed(s *shard, now time.Time) bool {
	if s.silentSince.IsZero() {
		s.silentSince = m.silenceStart(s, now)
		s.unusedAt = map[string]time.Time{}
	}
	windowElapsed := now.Sub(s.silentSince) >= m.view.Quarantine
	m.sendProbes(s, windowElapsed, now)
	if !windowElapsed || now.Before(s.row.Expiry().Add(m.view.Quarantine+maxClockSkew)) {
		return false
	}
	return m.allDenyUse(s, now)
}

// silenceStart returns the start of a window without signs of use: the death
// of the last instance that used the shard if this instance saw it, otherwise
// now.
func (m *Manager) silenceStart(s *shard, now time.Time) time.Time {
	since := time.Time{}
	for i := range m.view.ZonePeers {
		p := &m.view.ZonePeers[i]
		if p.claims(s.index) && p.RemovedAt.After(since) {
			since = p.RemovedAt
		}
	}
	if since.Before(m.observingSince) {
		return now
	}
	return since
}

// sendProbes asks the previous holder during the window whether it uses the
// shard, and all zone peers at the end of the window.
func (m *Manager) sendProbes(s *shard, windowElapsed bool, now time.Time) {
	if now.Sub(s.probedAt) < probeInterval {
		return
	}
	s.probedAt = now
	if s.row.Holder != m.self {
		m.emit(Output{Kind: SendProbe, Index: s.index, To: s.row.Holder, Address: s.row.Address, Epoch: s.row.Epoch})
	}
	if !windowElapsed {
		return
	}
	for i := range m.view.ZonePeers {
		p := &m.view.ZonePeers[i]
		if !p.Removed && p.ID != s.row.Holder && now.Sub(s.unusedAt[p.ID]) > maxResponseAge/2 {
			m.emit(Output{Kind: SendProbe, Index: s.index, To: p.ID, Address: p.Address, Epoch: s.row.Epoch})
		}
	}
}

// maxResponseAge is how long a zone peer's response that it does not use a
// shard is valid.
const maxResponseAge = 5 * time.Second

// allDenyUse reports whether all live zone peers recently answered that they do
// not use the shard.
func (m *Manager) allDenyUse(s *shard, now time.Time) bool {
	for i := range m.view.ZonePeers {
		p := &m.view.ZonePeers[i]
		if !p.Removed && now.Sub(s.unusedAt[p.ID]) > maxResponseAge {
			return false
		}
	}
	return true
}

// InUse answers a probe: it reports whether this instance uses the shard or
// may use it.
func (m *Manager) InUse(index uint16) bool {
	if int(index) >= len(m.shards) {
		return false
	}
	s := &m.shards[index]
	return s.state != notHeld && !s.yielded
}

// ProbeAnswered handles the response of an instance to a probe.
func (m *Manager) ProbeAnswered(index uint16, from string, used bool, now time.Time) {
	if int(index) >= len(m.shards) {
		return
	}
	s := &m.shards[index]
	if used {
		s.silentSince = time.Time{}
		s.unusedAt = nil
		return
	}
	if s.unusedAt != nil {
		s.unusedAt[from] = now
	}
}
