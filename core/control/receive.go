package control

import (
	"time"

	"pistachioford.example/core/member"
)

// receive handles a message from a peer.
func (e *Engine) receive(now time.Time, r MessageReceived) {
	if r.Message == nil {
		return
	}
	h := r.Message.header()
	if h == nil || h.Sender.ID == e.config.ID || r.From != "" && r.From != h.Sender.ID {
		return
	}
	e.members.SenderReceived(h.Sender, now)
	e.members.Merge(h.Updates[:min(len(h.Updates), MaxUpdates)], now)
	if e.members.TakeDeclaredDead() {
		e.log("declared dead by others")
		e.resync(now)
	}
	e.recordPeerRevision(now, h)
	e.compareZoneHash(now, h)
	e.dispatch(now, &h.Sender, r.Message)
}

func (e *Engine) dispatch(now time.Time, from *member.Record, message Message) {
	switch m := message.(type) {
	case *Ping, *Ack, *PingRequest, *Digest, *MembersFetch, *MembersAnswer:
		e.handleMemberMessage(now, from, m)
	case *HeadFetch, *HeadAnswer, *Offer, *Acknowledgement, *SectionFetch, *SectionAnswer:
		e.handleDocumentMessage(now, from, m)
	case *LeaseProbe, *LeaseProbeAnswer, *LeaseConfirm, *LeaseConfirmAnswer,
		*LeaseHandover, *LeaseHandoverAnswer:
		e.handleLeaseMessage(now, from, m)
	case *BlockFetch, *BlockAnswer:
		e.handleBlockMessage(now, from, m)
	}
}
