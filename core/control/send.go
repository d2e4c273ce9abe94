package control

import (
	"errors"

	"pistachioford.example/core/member"
	"pistachioford.example/core/revision"
)

var errNoResponse = errors.New("no response from the platform")

// newHeader returns the header of a message to an instance.
func (e *Engine) newHeader(to InstanceID) Header {
	return Header{
		Sender:   e.members.Self(),
		Revision: e.store.Revision(),
		ZoneHash: e.members.ZoneHash(),
		Updates:  e.members.Updates(to, MaxUpdates),
	}
}

func (e *Engine) send(to InstanceID, address string, m Message) {
	*m.header() = e.newHeader(to)
	e.emit(SendMessage{To: to, Address: address, Message: m})
}

// sendToMember sends a message to the instance that a record describes.
func (e *Engine) sendToMember(to *member.Record, m Message) {
	e.send(to.ID, to.Address, m)
}

func (e *Engine) sendToPeer(to revision.Peer, m Message) {
	e.send(InstanceID(to.ID), to.Address, m)
}

func revisionPeer(r *member.Record) revision.Peer {
	return revision.Peer{ID: string(r.ID), Address: r.Address}
}
