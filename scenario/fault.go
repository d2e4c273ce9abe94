package scenario

import (
	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
)

// Fault is a deliberately broken decision. Tests switch it on to show that a
// check finds it; the zero value breaks nothing.
type Fault string

// Broken decisions, each named by the check that finds it.
const (
	FaultSlots     = Fault(checkSlots)
	FaultShift     = Fault(checkShift)
	FaultLink      = Fault(checkLink)
	FaultDuplicate = Fault(checkDuplicate)
	FaultNotRun    = Fault(checkNotRun)
	FaultAnswer    = Fault(checkAnswer)
	FaultLeave     = Fault(checkLeave)
	FaultCut       = Fault(checkCut)
	FaultReply     = Fault(checkReply)
)

// document returns what the engines are given in place of the real document.
func (f Fault) document(doc *document.Compiled) *document.Compiled {
	wrong := *doc
	wrong.Shifts = append([]document.Shift(nil), doc.Shifts...)
	wrong.Links = append([]document.Link(nil), doc.Links...)
	wrong.Services = append([]document.Service(nil), doc.Services...)
	switch f {
	case FaultShift:
		for i := range wrong.Shifts {
			wrong.Shifts[i].CapPerSecond, wrong.Shifts[i].StartPerSecond = 1e6, 1e6
		}
	case FaultLink:
		for i := range wrong.Links {
			wrong.Links[i].BytesPerSecond = 1 << 40
		}
	case FaultDuplicate:
		for i := range wrong.Services {
			wrong.Services[i].Idempotent = true
		}
	default:
		return doc
	}
	return &wrong
}

// shards returns what an instance believes to hold.
func (f Fault) shards(doc *document.Compiled, held []traffic.HeldShard) []traffic.HeldShard {
	if f != FaultSlots || len(held) == 0 {
		return held
	}
	all := []traffic.HeldShard{}
	zone := held[0].Shard.Zone
	for i := range doc.Zones[zone].Shards {
		all = append(all, traffic.HeldShard{Shard: document.ShardID{Zone: zone, Index: i}, TakenAt: held[0].TakenAt})
	}
	return all
}

// event returns what an engine sees of an event, and whether it sees it.
func (f Fault) event(ev traffic.Event) (traffic.Event, bool) {
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

// reply returns what an instance replies in place of the decision.
func (f Fault) reply(in *instance, a traffic.Reply) traffic.Reply {
	if f == FaultNotRun && a.Outcome == traffic.Unknown {
		a.Outcome = traffic.NotRun
	}
	if f == FaultAnswer && a.Answer != nil {
		last := in.world.lastAnswer
		in.world.lastAnswer = a.Answer
		if last != nil {
			a.Answer = last
		}
	}
	if f == FaultReply {
		in.inbound[a.ID].reply(a)
	}
	return a
}
