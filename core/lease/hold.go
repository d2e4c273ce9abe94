package lease

import "time"

// interval is the time between two renewals of one shard.
func (k *Keeper) interval() time.Duration {
	held := 0
	for i := range k.slots {
		if k.slots[i].state == holding {
			held++
		}
	}
	return max(renewInterval, time.Duration(held)*renewPerShard)
}

func (k *Keeper) tickHolding(s *slot, now time.Time) {
	if k.view.Leaving && k.view.Drained.After(s.takenAt) {
		k.set(s, dropping, now, "leaving")
		return
	}
	if s.write.inFlight || s.uncertain {
		return
	}
	if now.Sub(s.write.sent) >= k.interval() {
		k.renew(s, now)
	}
}

// renew writes the row of a shard that this instance holds or held.
func (k *Keeper) renew(s *slot, now time.Time) {
	k.send(s, Row{
		Holder: k.self, Address: k.address, Epoch: s.epoch,
		ExpiryMillis: now.Add(Term).UnixMilli(),
	}, now)
}

func (k *Keeper) send(s *slot, row Row, now time.Time) {
	s.write = write{inFlight: true, sent: now, row: row}
	k.do(Output{Kind: WriteRow, Index: s.index, Row: row, Version: s.version})
}

// NotSent tells that the budget did not allow the last write of a shard.
func (k *Keeper) NotSent(index uint16, now time.Time) {
	s := &k.slots[index]
	s.write.inFlight = false
	if s.state == taking {
		k.set(s, idle, now, "no budget")
	}
}

// Written takes the answer to a write. The version is that of the new row; 0
// if the answer does not name it.
func (k *Keeper) Written(index uint16, conflict, failed bool, version uint64, now time.Time) {
	if int(index) >= len(k.slots) || !k.slots[index].write.inFlight {
		return
	}
	s := &k.slots[index]
	s.write.inFlight = false
	if conflict || failed || version == 0 {
		s.uncertain = true
		return
	}
	s.row, s.version, s.known = s.write.row, version, true
	k.applied(s, now)
}

// applied handles a write that certainly took effect and is the last one.
func (k *Keeper) applied(s *slot, now time.Time) {
	valid := !s.write.stale && now.Sub(s.write.sent) < Term
	switch s.state {
	case taking:
		if !valid {
			k.set(s, idle, now, "taken too late")
			return
		}
		s.epoch = s.write.row.Epoch
		s.takenAt = now
		k.set(s, holding, now, "taken")
	case resuming:
		if valid {
			k.set(s, holding, now, "confirmed by the platform")
		}
	case releasing:
		if s.write.row.Released {
			k.set(s, idle, now, "released")
		}
	}
}

// Rows takes the rows that a read returned; a missing row has version 0.
func (k *Keeper) Rows(index uint16, row Row, version uint64, sent, now time.Time) {
	if int(index) >= len(k.slots) {
		return
	}
	s := &k.slots[index]
	if version < s.version || s.write.inFlight || !sent.After(s.write.sent) && s.uncertain {
		return // Older than what is known.
	}
	s.row, s.version, s.known, s.readAt = row, version, true, sent
	wasUncertain := s.uncertain
	s.uncertain = false
	if s.state == idle {
		return
	}
	if wasUncertain && row == s.write.row {
		k.applied(s, now)
		return
	}
	if s.state == taking {
		k.set(s, idle, now, "not taken")
		return
	}
	if !k.mine(s) {
		k.set(s, idle, now, "lost")
	}
}

// ReadEnded tells that the read of the rows ended, also when it failed.
func (k *Keeper) ReadEnded() { k.reading = false }

// mine tells whether the row still is the one under which this instance holds
// the shard.
func (k *Keeper) mine(s *slot) bool {
	if s.row.Holder == k.self && s.row.Epoch == s.epoch {
		return !s.row.Released || s.state == releasing
	}
	if s.from != "" && s.row.Holder == s.from && s.row.Epoch < s.epoch {
		return !s.row.Released
	}
	return s.row.Holder == s.basis.Holder && s.row.Epoch == s.basis.Epoch &&
		s.basis.Holder != "" && !s.row.Released
}
