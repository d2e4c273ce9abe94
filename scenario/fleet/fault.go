package fleet

import (
	"reflect"
	"time"

	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
	"pistachioford.example/core/revision"
	"pistachioford.example/pistachioford/tables"
)

// fault is a deliberately broken rule, named by the check that finds it. The
// zero value breaks nothing.
type fault string

const (
	// faultRevert shows the first head to processes that start later.
	faultRevert = fault(checkRevert)
	// faultContents and faultLost let editors commit without conditions.
	faultContents = fault(checkContents)
	faultLost     = fault(checkLost)
	// faultOutcome takes an unknown outcome as a refusal.
	faultOutcome = fault(checkOutcome)
	// faultGuess makes all senders look like instances of the own zone.
	faultGuess = fault(checkGuess)
	// faultTwoHolders stops the clock of an instance while it is paused.
	faultTwoHolders = fault(checkTwoHolders)
	// faultQuarantine shows a short quarantine to the engines.
	faultQuarantine = fault(checkQuarantine)
	// faultFalseDeath loses all messages of the first instance.
	faultFalseDeath = fault(checkFalseDeath)
)

const (
	// blindDelay is the time between two commits without conditions, so that
	// the first is active before the second.
	blindDelay = 3 * time.Second
	// shortQuarantine is less than the requests of a dead holder may run.
	shortQuarantine = 10 * time.Second
	// mutedFrom is when the messages of the first instance get lost.
	mutedFrom = 5 * time.Second
)

func (f fault) drops(w *world, from, to *instance) bool {
	first := w.instances[0]
	return f == faultFalseDeath && w.since() >= mutedFrom && (from == first || to == first)
}

// message returns what the receiver gets of a message.
func (f fault) message(m control.Message, to *instance) control.Message {
	if f != faultGuess {
		return m
	}
	copied := reflect.New(reflect.TypeOf(m).Elem())
	copied.Elem().Set(reflect.ValueOf(m).Elem())
	wrong := copied.Interface().(control.Message)
	control.HeaderOf(wrong).Sender.Zone = to.w.doc.Zones[to.zone].Name
	return wrong
}

// value returns what an instance reads of a row.
func (f fault) value(s *store, in *instance, row tables.Row) []byte {
	if f == faultRevert && row.Key == revision.HeadKey && in.startedAt.After(epoch) {
		return s.first
	}
	return row.Value
}

// commit returns what the store gets of a commit of an editor.
func (f fault) commit(r *remote, c tables.Commit) tables.Commit {
	if f == faultContents || f == faultLost {
		r.wait(func(resume func()) {
			r.store.w.After(time.Duration(r.edit.number-1)*blindDelay, resume)
		})
		c.Conditions = nil
	}
	return c
}

func (f fault) document(c *document.Compiled) {
	if f == faultQuarantine {
		c.Quarantine = shortQuarantine
	}
}
