// Package telemetry holds the counters and the event log of the daemon.
package telemetry

import (
	"expvar"

	"pistachioford.example/core/traffic"
)

// Names of the published maps; each holds one counter per reason.
const (
	RefusalsName  = "pistachioford.refusals"
	RetriesName   = "pistachioford.retries"
	EjectionsName = "pistachioford.ejections"
	EventsName    = "pistachioford.events"
)

// expvar is global per process, so several instances in one process share the
// counters.
var (
	refusals  = expvar.NewMap(RefusalsName)
	retries   = expvar.NewMap(RetriesName)
	ejections = expvar.NewMap(EjectionsName)
	events    = expvar.NewMap(EventsName)
)

func init() {
	for _, reason := range Reasons() {
		for _, family := range []*expvar.Map{refusals, retries, ejections} {
			family.Add(reason.String(), 0)
		}
	}
}

// Reasons returns all reasons of the traffic engine.
func Reasons() []traffic.Reason {
	var reasons []traffic.Reason
	for r := traffic.ReasonNone + 1; r.String() != "invalid"; r++ {
		reasons = append(reasons, r)
	}
	return reasons
}

// Count raises the counter of a decision. Any goroutine may call it.
func Count(c traffic.Count) {
	switch c.Kind {
	case traffic.CountRefusal:
		refusals.Add(c.Reason.String(), 1)
	case traffic.CountRetry:
		retries.Add(c.Reason.String(), 1)
	case traffic.CountEjection:
		ejections.Add(c.Reason.String(), 1)
	}
}

// CountEvent raises the counter of an event of an adapter. Any goroutine may
// call it.
func CountEvent(name string) { events.Add(name, 1) }
