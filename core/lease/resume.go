package lease

import "time"

// Timing of the confirmation after a pause.
const (
	confirmInterval = 500 * time.Millisecond
	// claimTimeout is how long a paused holder claims its shard. Afterwards
	// others may take the shard, and the holder gets it back only if none did.
	claimTimeout = 30 * time.Second
)

// tickResuming tries to confirm a shard that this instance held before a
// pause. At the platform only a conditional write confirms it: another
// instance may write the row between a read and its response.
func (m *Manager) tickResuming(s *shard, now time.Time) {
	if now.Sub(s.changedAt) >= claimTimeout && !s.yielded {
		s.yielded = true
		m.logEvent(s, "not confirmed")
		m.emit(Output{Kind: ShardsChanged})
	}
	if !s.lastWrite.inFlight && !s.outcomeUnknown && now.Sub(s.lastWrite.sentAt) >= retryInterval {
		m.renew(s, now)
	}
	if m.view.Down {
		m.requestConfirmations(s, now)
	}
}

// requestConfirmations asks all live zone peers to confirm the shard while the
// platform is down. This is safe only as long as no candidate can have seen a
// whole quarantine without a sign of use.
func (m *Manager) requestConfirmations(s *shard, now time.Time) {
	if !m.confirmable(s, now) || now.Sub(s.confirmSentAt) < confirmInterval {
		return
	}
	s.confirmSentAt = now
	s.confirmRound++
	s.confirmedBy = map[string]bool{}
	for i := range m.view.ZonePeers {
		p := &m.view.ZonePeers[i]
		if !p.Removed {
			m.emit(Output{Kind: SendConfirm, Index: s.index, To: p.ID, Address: p.Address, Epoch: s.epoch, Round: s.confirmRound})
		}
	}
}

// confirmable reports whether zone peers may still confirm the shard.
func (m *Manager) confirmable(s *shard, now time.Time) bool {
	return m.view.Fresh && now.Sub(s.pausedAt) < m.view.Quarantine-2*maxClockSkew
}

// AnswerConfirm answers a paused holder that asks for confirmation. It reports
// whether this instance is not taking the shard and knows of no higher epoch
// and no other user. If so, its own window without signs of use starts again.
func (m *Manager) AnswerConfirm(index uint16, epoch uint64, from string) bool {
	if int(index) >= len(m.shards) {
		return false
	}
	s := &m.shards[index]
	if s.state != notHeld || s.lastWrite.inFlight || s.outcomeUnknown || s.lastHandoverEpoch > epoch {
		return false
	}
	if s.known && s.row.Epoch > epoch {
		return false
	}
	for i := range m.view.ZonePeers {
		p := &m.view.ZonePeers[i]
		if p.ID != from && p.claims(index) {
			return false
		}
	}
	s.silentSince = time.Time{}
	s.takeableSince = time.Time{}
	return true
}

// ConfirmAnswered handles the response of a zone peer to a request for
// confirmation; all live zone peers have to agree.
func (m *Manager) ConfirmAnswered(index uint16, epoch, round uint64, from string, unchanged bool, now time.Time) {
	if int(index) >= len(m.shards) {
		return
	}
	s := &m.shards[index]
	if s.state != resuming || s.epoch != epoch || s.confirmRound != round || !unchanged || s.confirmedBy == nil {
		return
	}
	s.confirmedBy[from] = true
	asked := 0
	for i := range m.view.ZonePeers {
		p := &m.view.ZonePeers[i]
		if p.Removed {
			continue
		}
		asked++
		if !s.confirmedBy[p.ID] {
			return
		}
	}
	if asked > 0 && m.confirmable(s, now) {
		m.setState(s, holding, now, "confirmed by the zone")
	}
}
