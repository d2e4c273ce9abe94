package fleet

import (
	"reflect"
	"time"

	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
	"pistachioford.example/core/revision"
	"pistachioford.example/pistachioford/tables"
)

// fault is a fault injected into a run so that a test can show that a check
// detects it. It is named after that check. The zero value injects nothing.
type fault string

const (
	// faultRevert makes processes that start later read the head of revision 1.
	faultRevert = fault(checkRevert)
	// faultContents and faultLost make editors commit without conditions.
	faultContents = fault(checkContents)
	faultLost     = fault(checkLost)
	// faultOutcome makes editors treat an unknown outcome as a refusal.
	faultOutcome = fault(checkOutcome)
	// faultGuess makes all senders appear to be in the zone of the receiver.
	faultGuess = fault(checkGuess)
	// faultTwoHolders stops the clock of an instance while it is paused.
	faultTwoHolders = fault(checkTwoHolders)
	// faultQuarantine gives the engines documents with a short quarantine.
	faultQuarantine = fault(checkQuarantine)
	// faultFalseDeath drops all messages from and to the first instance, from
	// messageLossStart on.
	faultFalseDeath = fault(checkFalseDeath)
)

const (
	// unconditionalCommitDelay is the time between two commits without
	// conditions, so that the first is active before the second.
	unconditionalCommitDelay = 3 * time.Second
	// shortQuarantine is shorter than the time for which requests of a dead
	// holder may run.
	shortQuarantine = 10 * time.Second
	// messageLossStart is the time from the start of the run after which the
	// messages of the first instance are dropped.
	messageLossStart = 5 * time.Second
)

// dropsMessage reports whether a message between two instances is lost.
func (f fault) dropsMessage(w *world, from, to *instance) bool {
	first := w.instances[0]
	return f == faultFalseDeath && w.since() >= messageLossStart && (from == first || to == first)
}

// alterMessage returns the message that the receiver gets in place of the one
// sent.
func (f fault) alterMessage(m control.Message, to *instance) control.Message {
	if f != faultGuess {
		return m
	}
	clone := reflect.New(reflect.TypeOf(m).Elem())
	clone.Elem().Set(reflect.ValueOf(m).Elem())
	altered := clone.Interface().(control.Message)
	control.HeaderOf(altered).Sender.Zone = to.world.doc.Zones[to.zone].Name
	return altered
}

// alterValue returns the value that an instance reads in place of that of a row.
func (f fault) alterValue(s *store, in *instance, row tables.Row) []byte {
	if f == faultRevert && row.Key == revision.HeadKey && in.startedAt.After(epoch) {
		return s.firstHead
	}
	return row.Value
}

// alterCommit returns the commit that the store receives in place of that of an
// editor.
func (f fault) alterCommit(client *platformClient, c tables.Commit) tables.Commit {
	if f == faultContents || f == faultLost {
		client.await(func(resume func()) {
			client.store.world.After(time.Duration(client.edit.number-1)*unconditionalCommitDelay, resume)
		})
		c.Conditions = nil
	}
	return c
}

// alterDocument changes a compiled document before the engines receive it.
func (f fault) alterDocument(doc *document.Compiled) {
	if f == faultQuarantine {
		doc.Quarantine = shortQuarantine
	}
}
