package scenario

import (
	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
)

// Fault is a fault injected into a run so that a test can show that a check
// detects it. The zero value injects nothing.
type Fault string

// The faults, each named after the check that detects it.
const (
	FaultSlots     = Fault(checkSlots)
	FaultShift     = Fault(checkShift)
	FaultLink      = Fault(checkLink)
	FaultDuplicate = Fault(checkDuplicate)
	FaultNotRun    = Fault(checkNotRun)
	FaultResponse  = Fault(checkResponse)
	FaultLeave     = Fault(checkLeave)
	FaultCut       = Fault(checkCut)
	FaultReply     = Fault(checkReply)
)

// alterDocument returns the document that the engines receive in place of the
// real one.
func (f Fault) alterDocument(doc *document.Compiled) *document.Compiled {
	altered := *doc
	altered.Shifts = append([]document.Shift(nil), doc.Shifts...)
	altered.Links = append([]document.Link(nil), doc.Links...)
	altered.Services = append([]document.Service(nil), doc.Services...)
	switch f {
	case FaultShift:
		for i := range altered.Shifts {
			altered.Shifts[i].CapPerSecond, altered.Shifts[i].StartPerSecond = 1e6, 1e6
		}
	case FaultLink:
		for i := range altered.Links {
			altered.Links[i].BytesPerSecond = 1 << 40
		}
	case FaultDuplicate:
		for i := range altered.Services {
			altered.Services[i].Idempotent = true
		}
	default:
		return doc
	}
	return &altered
}

// alterShards returns the shards that an instance is told it holds.
func (f Fault) alterShards(doc *document.Compiled, held []traffic.HeldShard) []traffic.HeldShard {
	if f != FaultSlots || len(held) == 0 {
		return held
	}
	all := []traffic.HeldShard{}
	zone := held[0].Shard.Zone
	for i := range doc.Zones[zone].Shards {
		all = append(all, traffic.HeldShard{Shard: document.ShardID{Zone: zone, Index: i}, OwnedSince: held[0].OwnedSince})
	}
	return all
}

// alterEvent returns the event that an engine receives in place of the real one,
// and whether it receives any.
func (f Fault) alterEvent(ev traffic.Event) (traffic.Event, bool) {
	if f != FaultLeave {
		return ev, true
	}
	if ended, ok := ev.(traffic.ExchangeEnded); ok {
		ended.Leaving = false
		return ended, true
	}
	_, leaving := ev.(traffic.TargetLeaving)
	return ev, !leaving
}

// alterReply returns the reply that an instance sends in place of the engine's.
func (f Fault) alterReply(in *instance, a traffic.Reply) traffic.Reply {
	if f == FaultNotRun && a.Outcome == traffic.Unknown {
		a.Outcome = traffic.NotRun
	}
	if f == FaultResponse && a.Response != nil {
		last := in.world.lastResponse
		in.world.lastResponse = a.Response
		if last != nil {
			a.Response = last
		}
	}
	if f == FaultReply {
		in.inbound[a.ID].reply(a)
	}
	return a
}
