package lease

import "time"

// renewalInterval returns the time between two renewals of one shard.
func (k *Manager) renewalInterval() time.Duration {
	held := 0
	for i := range k.shards {
		if k.shards[i].state == holding {
			held++
		}
	}
	return max(renewInterval, time.Duration(held)*renewPerShard)
}

func (k *Manager) tickHolding(s *shard, now time.Time) {
	if k.view.Leaving && k.view.Drained.After(s.takenAt) {
		k.setState(s, draining, now, "leaving")
		return
	}
	if s.lastWrite.inFlight || s.outcomeUnknown {
		return
	}
	if now.Sub(s.lastWrite.sentAt) >= k.renewalInterval() {
		k.renew(s, now)
	}
}

// renew extends the lease of a shard that this instance holds, or held before
// a pause.
func (k *Manager) renew(s *shard, now time.Time) {
	k.sendWrite(s, Row{
		Holder: k.self, Address: k.address, Epoch: s.epoch,
		ExpiryMillis: now.Add(Term).UnixMilli(),
	}, now)
}

func (k *Manager) sendWrite(s *shard, row Row, now time.Time) {
	s.lastWrite = rowWrite{inFlight: true, sentAt: now, row: row}
	k.emit(Output{Kind: WriteRow, Index: s.index, Row: row, Version: s.version})
}

// WriteNotSent handles a write that was not sent because the budget did not allow
// it.
func (k *Manager) WriteNotSent(index uint16, now time.Time) {
	s := &k.shards[index]
	s.lastWrite.inFlight = false
	if s.state == taking {
		k.setState(s, notHeld, now, "no budget for the write")
	}
}

// WriteFinished handles the answer to a write. The version is that of the new row,
// or 0 if the answer does not state it.
func (k *Manager) WriteFinished(index uint16, conflict, failed bool, version uint64, now time.Time) {
	if int(index) >= len(k.shards) || !k.shards[index].lastWrite.inFlight {
		return
	}
	s := &k.shards[index]
	s.lastWrite.inFlight = false
	if conflict || failed || version == 0 {
		s.outcomeUnknown = true
		return
	}
	s.row, s.version, s.known = s.lastWrite.row, version, true
	k.writeApplied(s, now)
}

// writeApplied handles the last write of a row once it is known that it took
// effect.
func (k *Manager) writeApplied(s *shard, now time.Time) {
	valid := !s.lastWrite.stale && now.Sub(s.lastWrite.sentAt) < Term
	switch s.state {
	case taking:
		if !valid {
			k.setState(s, notHeld, now, "write confirmed too late")
			return
		}
		s.epoch = s.lastWrite.row.Epoch
		s.takenAt = now
		k.setState(s, holding, now, "taken")
	case resuming:
		if valid {
			k.setState(s, holding, now, "confirmed by the platform")
		}
	case releasing:
		if s.lastWrite.row.Released {
			k.setState(s, notHeld, now, "released")
		}
	}
}

// RowRead handles one row that a read returned; a missing row has version 0.
func (k *Manager) RowRead(index uint16, row Row, version uint64, sent, now time.Time) {
	if int(index) >= len(k.shards) {
		return
	}
	s := &k.shards[index]
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
		k.writeApplied(s, now)
		return
	}
	if s.state == taking {
		k.setState(s, notHeld, now, "not taken")
		return
	}
	if !k.stillHeld(s) {
		k.setState(s, notHeld, now, "lost")
	}
}

// ReadEnded records that the read of the rows ended, successfully or not.
func (k *Manager) ReadEnded() { k.reading = false }

// stillHeld reports whether the last known row allows this instance to hold
// the shard: it is its own row, one of the zone peer that handed the shard
// over, or the baseRow.
func (k *Manager) stillHeld(s *shard) bool {
	if s.row.Holder == k.self && s.row.Epoch == s.epoch {
		return !s.row.Released || s.state == releasing
	}
	if s.handedBy != "" && s.row.Holder == s.handedBy && s.row.Epoch < s.epoch {
		return !s.row.Released
	}
	return s.row.Holder == s.baseRow.Holder && s.row.Epoch == s.baseRow.Epoch &&
		s.baseRow.Holder != "" && !s.row.Released
}
