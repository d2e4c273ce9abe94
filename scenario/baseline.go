package scenario

import (
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
)

// baselineRetries is the number of immediate retries after any failure.
const baselineRetries = 3

// baseline is the Decider that the engine is compared with: plain round robin
// over the zone's targets with three immediate retries after any failure and
// one FIFO queue for each group.
type baseline struct {
	zone     document.ZoneID
	doc      *document.Compiled
	groups   []baselineGroup
	requests map[traffic.RequestID]*baselineRequest
	actions  []traffic.Action
}

type baselineGroup struct {
	targets  []document.TargetID
	limit    int // the instance's share of the zone's slots
	inFlight int
	next     int
	queue    []*baselineRequest
}

type baselineRequest struct {
	id       traffic.RequestID
	group    *baselineGroup
	deadline time.Time
	attempts traffic.Attempt
	sent     bool
	canceled bool
}

func newBaseline(zone document.ZoneID) *baseline {
	return &baseline{zone: zone, requests: map[traffic.RequestID]*baselineRequest{}}
}

// Handle processes one event.
func (b *baseline) Handle(now time.Time, ev traffic.Event) []traffic.Action {
	b.actions = nil
	switch ev := ev.(type) {
	case traffic.DocumentChanged:
		b.configure(ev.Document)
	case traffic.RequestArrived:
		b.enqueue(ev)
	case traffic.RequestCanceled:
		b.cancel(ev.ID)
	case traffic.ExchangeEnded:
		b.exchangeEnded(now, ev)
	}
	return b.actions
}

// Tick does nothing: the baseline has no timers.
func (b *baseline) Tick(time.Time) []traffic.Action { return nil }

// LoadHint returns an empty report, since the baseline does not forward to
// peers.
func (b *baseline) LoadHint(time.Time) traffic.PeerLoad { return traffic.PeerLoad{} }

// Idle reports whether no request is left.
func (b *baseline) Idle() bool { return len(b.requests) == 0 }

func (b *baseline) configure(doc *document.Compiled) {
	b.doc = doc
	b.groups = make([]baselineGroup, len(doc.Groups))
	for g := range b.groups {
		b.groups[g].targets = doc.Groups[g].Targets[b.zone]
		slots := 0
		for _, id := range b.groups[g].targets {
			slots += int(doc.Targets[id].Slots)
		}
		b.groups[g].limit = max(slots/int(doc.Zones[b.zone].Shards), 1)
	}
}

func (b *baseline) enqueue(ev traffic.RequestArrived) {
	r := &baselineRequest{id: ev.ID, group: &b.groups[b.doc.Services[ev.Service].Group], deadline: ev.Deadline}
	b.requests[ev.ID] = r
	if len(r.group.targets) == 0 {
		b.reply(r, traffic.Reply{ID: r.id, Outcome: traffic.NotRun, Reason: traffic.ReasonNoTarget})
		return
	}
	r.group.queue = append(r.group.queue, r)
	b.dispatch(r.group)
}

func (b *baseline) dispatch(g *baselineGroup) {
	for len(g.queue) > 0 && g.inFlight < g.limit {
		r := g.queue[0]
		g.queue = g.queue[1:]
		if r.canceled {
			continue
		}
		g.inFlight++
		b.send(r)
	}
}

func (b *baseline) send(r *baselineRequest) {
	g := r.group
	g.next = (g.next + 1) % len(g.targets)
	r.attempts++
	r.sent = true
	b.actions = append(b.actions, traffic.Send{ID: r.id, Attempt: r.attempts, Target: g.targets[g.next], Deadline: r.deadline})
}

func (b *baseline) cancel(id traffic.RequestID) {
	r, ok := b.requests[id]
	if !ok {
		return
	}
	r.canceled = true
	if r.sent {
		b.actions = append(b.actions, traffic.CancelExchange{ID: id, Attempt: r.attempts})
		return
	}
	b.release(r)
}

func (b *baseline) exchangeEnded(now time.Time, ev traffic.ExchangeEnded) {
	r := b.requests[ev.ID]
	if ev.Result != traffic.Completed && !r.canceled && r.attempts <= baselineRetries && now.Before(r.deadline) {
		b.send(r)
		return
	}
	r.group.inFlight--
	b.finish(r, ev)
	b.dispatch(r.group)
}

func (b *baseline) finish(r *baselineRequest, ev traffic.ExchangeEnded) {
	reply := traffic.Reply{ID: r.id, Outcome: traffic.Unknown}
	switch {
	case r.canceled:
		b.release(r)
		return
	case ev.Response != nil:
		reply.Outcome, reply.Response = traffic.Responded, ev.Response
	case ev.Result == traffic.Shed || ev.Result == traffic.NotSent:
		reply.Outcome = traffic.NotRun
	}
	b.reply(r, reply)
}

func (b *baseline) reply(r *baselineRequest, reply traffic.Reply) {
	b.actions = append(b.actions, reply)
	b.release(r)
}

func (b *baseline) release(r *baselineRequest) {
	delete(b.requests, r.id)
	b.actions = append(b.actions, traffic.Release{ID: r.id})
}
