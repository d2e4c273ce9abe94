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
// instance may write the row between a read and its answer.
func (k *Manager) tickResuming(s *shard, now time.Time) {
	if now.Sub(s.changedAt) >= claimTimeout && !s.yielded {
		s.yielded = true
		k.logEvent(s, "not confirmed")
		k.emit(Output{Kind: ShardsChanged})
	}
	if !s.lastWrite.inFlight && !s.outcomeUnknown && now.Sub(s.lastWrite.sentAt) >= retryInterval {
		k.renew(s, now)
	}
	if k.view.Down {
		k.requestConfirmations(s, now)
	}
}

// requestConfirmations asks all live zone peers to confirm the shard while the
// platform is down. This is safe only as long as no candidate can have seen a
// whole quarantine without a sign of use.
func (k *Manager) requestConfirmations(s *shard, now time.Time) {
	if !k.confirmable(s, now) || now.Sub(s.confirmSentAt) < confirmInterval {
		return
	}
	s.confirmSentAt = now
	s.confirmRound++
	s.confirmedBy = map[string]bool{}
	for i := range k.view.ZonePeers {
		m := &k.view.ZonePeers[i]
		if !m.Gone {
			k.emit(Output{Kind: SendConfirm, Index: s.index, To: m.ID, Address: m.Address, Epoch: s.epoch, Round: s.confirmRound})
		}
	}
}

// confirmable reports whether zone peers may still confirm the shard.
func (k *Manager) confirmable(s *shard, now time.Time) bool {
	return k.view.Fresh && now.Sub(s.pausedAt) < k.view.Quarantine-2*maxClockSkew
}

// AnswerConfirm answers a paused holder that asks for confirmation. It reports
// whether this instance is not taking the shard and knows of no higher epoch
// and no other user. If so, its own window without signs of use starts again.
func (k *Manager) AnswerConfirm(index uint16, epoch uint64, from string) bool {
	if int(index) >= len(k.shards) {
		return false
	}
	s := &k.shards[index]
	if s.state != notHeld || s.lastWrite.inFlight || s.outcomeUnknown || s.lastHandoverEpoch > epoch {
		return false
	}
	if s.known && s.row.Epoch > epoch {
		return false
	}
	for i := range k.view.ZonePeers {
		m := &k.view.ZonePeers[i]
		if m.ID != from && m.claims(index) {
			return false
		}
	}
	s.silentSince = time.Time{}
	s.takeableSince = time.Time{}
	return true
}

// ConfirmAnswered handles the answer of a zone peer to a request for confirmation;
// all live zone peers have to agree.
func (k *Manager) ConfirmAnswered(index uint16, epoch, round uint64, from string, unchanged bool, now time.Time) {
	if int(index) >= len(k.shards) {
		return
	}
	s := &k.shards[index]
	if s.state != resuming || s.epoch != epoch || s.confirmRound != round || !unchanged || s.confirmedBy == nil {
		return
	}
	s.confirmedBy[from] = true
	asked := 0
	for i := range k.view.ZonePeers {
		m := &k.view.ZonePeers[i]
		if m.Gone {
			continue
		}
		asked++
		if !s.confirmedBy[m.ID] {
			return
		}
	}
	if asked > 0 && k.confirmable(s, now) {
		k.setState(s, holding, now, "confirmed by the zone")
	}
}
