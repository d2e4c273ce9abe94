package lease

import "time"

// Timing of handovers.
const (
	// handoverInterval is the time between two offers of a shard to its
	// successor.
	handoverInterval = 300 * time.Millisecond
	// maxHandoverAge is the maximum age of a handover on arrival. The sender may
	// have given up since, and another instance may take the shard after the
	// quarantine.
	maxHandoverAge = 5 * time.Second
	// rebalanceDelay is how long the shards must be unbalanced before one moves.
	rebalanceDelay = 5 * time.Second
)

// tickDraining hands the shard over or releases it once no request is in
// flight, after the quarantine at the latest. A handover does not need the
// platform, so the shards stay in use when all instances are replaced during
// an outage.
func (m *Manager) tickDraining(s *shard, now time.Time) {
	// Requests may have started after a report from before the draining, so
	// only a later report shows that none is in flight.
	if m.view.Drained.After(s.changedAt) || now.Sub(s.changedAt) >= m.view.Quarantine {
		m.handOverOrRelease(s, now)
	}
}

// handOverOrRelease hands the shard to a zone peer. If there is none, it
// releases the shard when this instance is leaving, and keeps it otherwise. A
// renewal with an unknown outcome does not matter to the successor: the row
// then names this instance with an epoch that the successor accepts.
func (m *Manager) handOverOrRelease(s *shard, now time.Time) {
	successor := m.successor(s)
	switch {
	case successor != nil:
		s.successor = successor.ID
		s.handoverSentAt = time.Time{}
		m.setState(s, handingOver, now, "handing over")
		m.tickHandingOver(s, now)
	case m.view.Leaving:
		m.setState(s, releasing, now, "releasing")
		m.tickReleasing(s, now)
	default:
		s.refusedBy = nil
		m.setState(s, holding, now, "kept")
	}
}

// successor returns the live zone peer with the fewest shards, without those
// that are leaving or refused the shard. It returns nil if there is none.
func (m *Manager) successor(s *shard) *ZonePeer {
	var best *ZonePeer
	for i := range m.view.ZonePeers {
		p := &m.view.ZonePeers[i]
		if p.Removed || p.Leaving || s.refusedBy[p.ID] {
			continue
		}
		if best == nil || len(p.Shards) < len(best.Shards) {
			best = p
		}
	}
	return best
}

func (m *Manager) tickHandingOver(s *shard, now time.Time) {
	p := m.zonePeer(s.successor)
	if p == nil || p.Removed {
		// The successor may have accepted the shard before it died, so this
		// instance gives it up and lets the lease expire.
		m.setState(s, notHeld, now, "successor is gone")
		return
	}
	if now.Sub(s.handoverSentAt) < handoverInterval {
		return
	}
	s.handoverSentAt = now
	m.emit(Output{
		Kind: SendHandover, Index: s.index, To: p.ID, Address: p.Address,
		Row: s.row, Version: s.version, Epoch: s.epoch + 1,
	})
}

func (m *Manager) zonePeer(id string) *ZonePeer {
	for i := range m.view.ZonePeers {
		if m.view.ZonePeers[i].ID == id {
			return &m.view.ZonePeers[i]
		}
	}
	return nil
}

// HandoverAnswered handles the successor's response to a handover.
func (m *Manager) HandoverAnswered(index uint16, epoch uint64, from string, accepted bool, now time.Time) {
	if int(index) >= len(m.shards) {
		return
	}
	s := &m.shards[index]
	if s.state != handingOver || s.successor != from || epoch != s.epoch+1 {
		return
	}
	s.lastHandoverEpoch = max(s.lastHandoverEpoch, epoch)
	if accepted {
		s.refusedBy = nil
		s.known = false
		m.setState(s, notHeld, now, "handed over")
		return
	}
	// A refusal is final for its epoch, so the next attempt uses a new one.
	s.epoch++
	if s.refusedBy == nil {
		s.refusedBy = map[string]bool{}
	}
	s.refusedBy[from] = true
	s.baseRow = s.row
	m.handOverOrRelease(s, now)
}

// ReceiveHandover handles a shard that a zone peer hands over, and reports
// whether this instance accepts it. The result is final for the epoch: a
// handover that arrives again gets the same one.
func (m *Manager) ReceiveHandover(index uint16, epoch uint64, from string, row Row, version uint64, sent, now time.Time) bool {
	if int(index) >= len(m.shards) {
		return false
	}
	s := &m.shards[index]
	if epoch <= s.lastHandoverEpoch {
		return epoch == s.acceptedEpoch
	}
	s.lastHandoverEpoch = epoch
	age := now.Sub(sent)
	refused := s.state != notHeld || s.lastWrite.inFlight || s.outcomeUnknown || m.view.Leaving || !m.view.Fresh ||
		age > maxHandoverAge || age < -maxClockSkew
	if refused {
		return false
	}
	s.acceptedEpoch = epoch
	s.baseRow = row
	s.handedBy = from
	s.row, s.version, s.known = row, version, true
	s.epoch = epoch
	s.takenAt = now
	s.lastWrite = rowWrite{}
	m.setState(s, holding, now, "accepted from a zone peer")
	return true
}

// tickReleasing writes the row as released, and again if an earlier attempt
// did not take effect.
func (m *Manager) tickReleasing(s *shard, now time.Time) {
	if s.lastWrite.inFlight || s.outcomeUnknown || now.Sub(s.lastWrite.sentAt) < retryInterval && s.lastWrite.row.Released {
		return
	}
	m.sendWrite(s, Row{
		Holder: m.self, Address: m.address, Epoch: s.epoch,
		ExpiryMillis: now.UnixMilli(), Released: true,
	}, now)
}

// rebalance starts to hand a shard over when a zone peer has held at least two
// fewer for rebalanceDelay.
func (m *Manager) rebalance(now time.Time) {
	own := len(m.Claims())
	fewest := -1
	for i := range m.view.ZonePeers {
		p := &m.view.ZonePeers[i]
		if !p.Removed && !p.Leaving && (fewest < 0 || len(p.Shards) < fewest) {
			fewest = len(p.Shards)
		}
	}
	unbalanced := fewest >= 0 && own-fewest >= 2 && !m.view.Leaving && m.view.Fresh && m.allSettled()
	if !unbalanced {
		m.unbalancedSince = time.Time{}
		return
	}
	if m.unbalancedSince.IsZero() {
		m.unbalancedSince = now
	}
	if now.Sub(m.unbalancedSince) < rebalanceDelay {
		return
	}
	m.unbalancedSince = time.Time{}
	for i := len(m.shards) - 1; i >= 0; i-- {
		if s := &m.shards[i]; s.state == holding && !s.lastWrite.inFlight && !s.outcomeUnknown {
			m.setState(s, draining, now, "a zone peer has fewer shards")
			return
		}
	}
}

// allSettled reports whether no shard is being taken, confirmed or given up.
func (m *Manager) allSettled() bool {
	for i := range m.shards {
		if st := m.shards[i].state; st != holding && st != notHeld {
			return false
		}
	}
	return true
}
