// Package telemetry holds the counters and the event log of the daemon.
package telemetry

import (
	"expvar"

	"pistachioford.example/core/traffic"
)

// Names of the published counter maps. Events holds one counter per event name,
// the others one per reason.
const (
	RefusalsName  = "pistachioford.refusals"
	RetriesName   = "pistachioford.retries"
	EjectionsName = "pistachioford.ejections"
	EventsName    = "pistachioford.events"
)

// expvar is global to the process, so all instances in one process share the
// counters.
var (
	refusals  = expvar.NewMap(RefusalsName)
	retries   = expvar.NewMap(RetriesName)
	ejections = expvar.NewMap(EjectionsName)
	events    = expvar.NewMap(EventsName)
)

func init() {
	for _, reason := range Reasons() {
		for _, counters := range []*expvar.Map{refusals, retries, ejections} {
			counters.Add(reason.String(), 0)
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

// Count increments the counter of a refusal, retry or ejection by its reason. It
// is safe for concurrent use.
func Count(c traffic.IncrementCounter) {
	switch c.Kind {
	case traffic.CountRefusal:
		refusals.Add(c.Reason.String(), 1)
	case traffic.CountRetry:
		retries.Add(c.Reason.String(), 1)
	case traffic.CountEjection:
		ejections.Add(c.Reason.String(), 1)
	}
}

// CountEvent increments the counter of an event outside the engines, such as a
// dropped message. It is safe for concurrent use.
func CountEvent(name string) { events.Add(name, 1) }
