package lease

import "time"

// renewalInterval returns the time between two renewals of one shard.
func (m *Manager) renewalInterval() time.Duration {
	held := 0
	for i := range m.shards {
		if m.shards[i].state == holding {
			held++
		}
	}
	return max(renewInterval, time.Duration(held)*renewPerShard)
}

func (m *Manager) tickHolding(s *shard, now time.Time) {
	if m.view.Leaving && m.view.Drained.After(s.takenAt) {
		m.setState(s, draining, now, "leaving")
		return
	}
	if s.lastWrite.inFlight || s.outcomeUnknown {
		return
	}
	if now.Sub(s.lastWrite.sentAt) >= m.renewalInterval() {
		m.renew(s, now)
	}
}

// renew extends the lease of a shard that this instance holds, or held before
// a pause.
func (m *Manager) renew(s *shard, now time.Time) {
	m.sendWrite(s, Row{
		Holder: m.self, Address: m.address, Epoch: s.epoch,
		ExpiryMillis: now.Add(Term).UnixMilli(),
	}, now)
}

func (m *Manager) sendWrite(s *shard, row Row, now time.Time) {
	s.lastWrite = rowWrite{inFlight: true, sentAt: now, row: row}
	m.emit(Output{Kind: WriteRow, Index: s.index, Row: row, Version: s.version})
}

// WriteNotSent handles a write that was not sent because the budget did not
// allow it.
func (m *Manager) WriteNotSent(index uint16, now time.Time) {
	s := &m.shards[index]
	s.lastWrite.inFlight = false
	if s.state == taking {
		m.setState(s, notHeld, now, "no budget for the write")
	}
}

// WriteFinished handles the response to a write. The version is that of the
// new row, or 0 if the response does not state it.
func (m *Manager) WriteFinished(index uint16, conflict, failed bool, version uint64, now time.Time) {
	if int(index) >= len(m.shards) || !m.shards[index].lastWrite.inFlight {
		return
	}
	s := &m.shards[index]
	s.lastWrite.inFlight = false
	if conflict || failed || version == 0 {
		s.outcomeUnknown = true
		return
	}
	s.row, s.version, s.known = s.lastWrite.row, version, true
	m.writeApplied(s, now)
}

// writeApplied handles the last write of a row once it is known that it took
// effect.
func (m *Manager) writeApplied(s *shard, now time.Time) {
	valid := !s.lastWrite.stale && now.Sub(s.lastWrite.sentAt) < Term
	switch s.state {
	case taking:
		if !valid {
			m.setState(s, notHeld, now, "write confirmed too late")
			return
		}
		s.epoch = s.lastWrite.row.Epoch
		s.takenAt = now
		m.setState(s, holding, now, "taken")
	case resuming:
		if valid {
			m.setState(s, holding, now, "confirmed by the platform")
		}
	case releasing:
		if s.lastWrite.row.Released {
			m.setState(s, notHeld, now, "released")
		}
	}
}

// RowRead handles one row that a read returned; a missing row has version 0.
func (m *Manager) RowRead(index uint16, row Row, version uint64, sent, now time.Time) {
	if int(index) >= len(m.shards) {
		return
	}
	s := &m.shards[index]
	if version < s.version || s.lastWrite.inFlight || !sent.After(s.lastWrite.sentAt) && s.outcomeUnknown {
		return // Older than the known row, or too early to show the last write.
	}
	s.row, s.version, s.known, s.readAt = row, version, true, sent
	wasUnknown := s.outcomeUnknown
	s.outcomeUnknown = false
	if s.state == notHeld {
		return
	}
	if wasUnknown && row == s.lastWrite.row {
		m.writeApplied(s, now)
		return
	}
	if s.state == taking {
		m.setState(s, notHeld, now, "not taken")
		return
	}
	if !m.stillHeld(s) {
		m.setState(s, notHeld, now, "lost")
	}
}

// ReadEnded records that the read of the rows ended, successfully or not.
func (m *Manager) ReadEnded() { m.reading = false }

// stillHeld reports whether the last known row allows this instance to hold
// the shard: it is its own row, one of the zone peer that handed the shard
// over, or the baseRow.
func (m *Manager) stillHeld(s *shard) bool {
	if s.row.Holder == m.self && s.row.Epoch == s.epoch {
		return !s.row.Released || s.state == releasing
	}
	if s.handedBy != "" && s.row.Holder == s.handedBy && s.row.Epoch < s.epoch {
		return !s.row.Released
	}
	return s.row.Holder == s.baseRow.Holder && s.row.Epoch == s.baseRow.Epoch &&
		s.baseRow.Holder != "" && !s.row.Released
}
