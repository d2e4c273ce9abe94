package control

import (
	"errors"

	"pistachioford.example/core/member"
	"pistachioford.example/core/revision"
)

var errNoAnswer = errors.New("no answer from the platform")

// header returns the shared part of a message to an instance.
func (e *Engine) header(to InstanceID) Header {
	return Header{
		Sender:   e.members.Self(),
		Revision: e.store.Revision(),
		ZoneHash: e.members.ZoneHash(),
		Updates:  e.members.Updates(to, MaxUpdates),
	}
}

func (e *Engine) send(to InstanceID, address string, m Message) {
	*m.message() = e.header(to)
	e.do(SendMessage{To: to, Address: address, Message: m})
}

// reply answers the sender of a message.
func (e *Engine) reply(to *member.Record, m Message) {
	e.send(to.ID, to.Address, m)
}

func (e *Engine) sendPeer(to revision.Peer, m Message) {
	e.send(InstanceID(to.ID), to.Address, m)
}

func peerOf(r *member.Record) revision.Peer {
	return revision.Peer{ID: string(r.ID), Address: r.Address}
}
