package traffic

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/document"
	"pistachioford.example/core/idempotency"
)

// rig drives one Engine that holds both shards of zone a1, beside the peer p2
// in zone a2 and the peer p3 in region B.
type rig struct {
	*Engine
	now     time.Time
	doc     *document.Compiled
	counts  map[Count]int
	actions []Action
	id      RequestID
}

func newRig(change func(*document.Compiled)) *rig {
	r := &rig{now: time.Unix(1_700_000_000, 0), doc: testDocument(2), counts: map[Count]int{}}
	if change != nil {
		change(r.doc)
	}
	r.Engine = New(Config{Self: "p1", Zone: "a1", Keys: idempotency.Limits{Keys: 3, Bytes: 1 << 20}})
	r.do(DocumentChanged{r.doc})
	r.do(ShardsChanged{shardsOf(0, 0, 1)})
	return r
}

func (r *rig) do(ev Event) {
	r.take(r.Handle(r.now, ev))
}

func (r *rig) take(actions []Action) {
	for _, a := range actions {
		r.actions = append(r.actions, a)
		if c, ok := a.(Count); ok {
			r.counts[c]++
		}
	}
}

// tick lets time pass in steps of the daemon's tick.
func (r *rig) tick(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(10 * time.Millisecond)
		r.take(r.Tick(r.now))
	}
}

func (r *rig) peers() {
	r.do(PeersChanged{[]PeerInfo{
		{ID: "p2", Zone: 1, Shards: []document.ShardID{{Zone: 1}}},
		{ID: "p3", Zone: 2, Shards: []document.ShardID{{Zone: 2}}},
	}})
}

// hint says that a peer has free slots in all groups.
func (r *rig) hint(id InstanceID, free uint16) {
	r.now = r.now.Add(time.Millisecond)
	r.do(PeerLoad{Peer: id, At: r.now, Free: []uint16{free, free}, Wait: []time.Duration{time.Second, time.Second}})
}

// ask brings a request and returns its number.
func (r *rig) ask(ev RequestArrived) RequestID {
	r.id++
	ev.ID = r.id
	ev.Replayable = true
	if ev.HomeRegion == 0 {
		ev.HomeRegion = -1
	}
	r.do(ev)
	return ev.ID
}

func (r *rig) askTimes(n int, ev RequestArrived) {
	for range n {
		ev.Fingerprint++
		r.ask(ev)
	}
}

// end ends the current exchange of a request.
func (r *rig) end(id RequestID, result Result) {
	row, ok := r.requests.find(id)
	if !ok {
		return
	}
	r.do(ExchangeEnded{ID: id, Attempt: r.requests.rows[row].attempt, Result: result, Answer: testAnswer{}, Latency: time.Millisecond})
}

// endAll ends all exchanges in flight, and those that follow, for a while.
func (r *rig) endAll(d time.Duration, result Result) {
	for end := r.now.Add(d); r.now.Before(end); {
		for id := range r.id {
			r.end(id+1, result)
		}
		r.tick(10 * time.Millisecond)
	}
}

const (
	slotsOfGroup = 6 // 2 targets with 3 slots
	manyRequests = 60
)

// fromB is the way of a request that instance p3 of region B forwarded.
var fromB = &Forwarded{From: "p3", FromRegion: 1}

// TestReasons guards against counters that cannot rise, and against a refusal
// that is told under a wrong name.
func TestReasons(t *testing.T) {
	read := RequestArrived{Service: readNormal}
	keyed := func(r *rig, age time.Duration, serial int) RequestArrived {
		return RequestArrived{Service: order, Key: keyAt("a1", 0, r.now.Add(-age), serial), Fingerprint: 7}
	}
	cases := map[Count]func() *rig{
		{CountRefusal, ReasonNoDocument}: func() *rig {
			r := newRig(nil)
			r.Engine = New(Config{Zone: "a1"})
			r.ask(read)
			return r
		},
		{CountRefusal, ReasonNoService}: func() *rig {
			r := newRig(nil)
			r.ask(RequestArrived{Service: 99})
			return r
		},
		{CountRefusal, ReasonDeadline}: func() *rig {
			r := newRig(nil)
			r.ask(RequestArrived{Service: readNormal, Deadline: r.now.Add(-time.Second)})
			return r
		},
		{CountRefusal, ReasonQueueFull}: func() *rig {
			r := newRig(nil)
			r.groups.rows[0].service.mean = float64(time.Millisecond)
			r.askTimes(queueLimit+slotsOfGroup+1, read)
			return r
		},
		{CountRefusal, ReasonNoTarget}: func() *rig {
			r := newRig(nil)
			r.do(TargetLeaving{Target: 0})
			r.do(TargetLeaving{Target: 1})
			r.ask(read)
			return r
		},
		{CountRefusal, ReasonNoShard}: func() *rig {
			r := newRig(nil)
			r.do(ShardsChanged{})
			r.ask(read)
			return r
		},
		{CountRefusal, ReasonOwnerUnreachable}: func() *rig {
			r := newRig(nil)
			r.ask(RequestArrived{Service: order, Key: keyAt("a2", 0, r.now, 1)})
			return r
		},
		{CountRefusal, ReasonKeyMemoryFull}: func() *rig {
			r := newRig(nil)
			for i := range 4 {
				r.ask(keyed(r, 0, i))
			}
			return r
		},
		{CountRefusal, ReasonKeyExpired}: func() *rig {
			r := newRig(nil)
			r.ask(keyed(r, 2*time.Hour, 1))
			return r
		},
		{CountRefusal, ReasonKeyBeforeTakeover}: func() *rig {
			r := newRig(nil)
			held := shardsOf(0, 0)
			held[0].TakenAt = r.now
			r.do(ShardsChanged{held})
			r.ask(keyed(r, time.Second, 1))
			return r
		},
		{CountRefusal, ReasonKeyReused}: func() *rig {
			r := newRig(nil)
			r.ask(keyed(r, 0, 1))
			other := keyed(r, 0, 1)
			other.Fingerprint++
			r.ask(other)
			return r
		},
		{CountRefusal, ReasonBadKey}: func() *rig {
			r := newRig(nil)
			r.ask(RequestArrived{Service: order, Key: "a1.0.short"})
			return r
		},
		{CountRefusal, ReasonKeyUnknown}: func() *rig {
			r := newRig(nil)
			r.end(r.ask(keyed(r, 0, 1)), TimedOut)
			r.ask(keyed(r, 0, 1))
			return r
		},
		{CountRefusal, ReasonPoison}: func() *rig {
			r := newRig(nil)
			r.do(PoisonSuspected{Fingerprint: 5, Target: 0, At: r.now})
			r.do(PoisonSuspected{Fingerprint: 5, Target: 1, At: r.now, Repeated: true})
			r.ask(RequestArrived{Service: readNormal, Fingerprint: 5})
			return r
		},
		{CountRefusal, ReasonLinkBudget}: func() *rig {
			r := newRig(func(c *document.Compiled) { c.Links = nil })
			r.ask(RequestArrived{Service: readNormal, Forwarded: fromB})
			return r
		},
		{CountRefusal, ReasonShiftCap}: func() *rig {
			r := newRig(nil)
			r.askTimes(manyRequests, RequestArrived{Service: readNormal, HomeRegion: 1})
			return r
		},
		{CountRefusal, ReasonShed}: func() *rig {
			r := newRig(nil)
			r.end(r.ask(read), Shed)
			r.do(Draining{})
			r.ask(RequestArrived{Service: readNormal, Forwarded: &Forwarded{From: "p2"}})
			return r
		},
		{CountRefusal, ReasonRetryBudget}: func() *rig {
			r := newRig(nil)
			for range manyRequests {
				r.ask(read)
				r.endAll(10*time.Millisecond, Failed)
			}
			return r
		},
		{CountRefusal, ReasonAttempts}: func() *rig {
			r := newRig(nil)
			r.ask(read)
			r.endAll(time.Second, Failed)
			return r
		},
		{CountRefusal, ReasonBroken}: func() *rig {
			r := newRig(nil)
			r.end(r.ask(RequestArrived{Service: order}), Broken)
			r.tick(time.Second)
			return r
		},
		{CountRefusal, ReasonTimeout}: func() *rig {
			r := newRig(nil)
			r.end(r.ask(RequestArrived{Service: order}), TimedOut)
			return r
		},
		{CountRefusal, ReasonNotSent}: func() *rig {
			r := newRig(nil)
			id := r.ask(read)
			r.requests.rows[0].replayable = false
			r.requests.rows[0].bodyGone = true
			r.end(id, NotSent)
			return r
		},
		{CountRefusal, ReasonPeerUnknown}: func() *rig {
			r := newRig(nil)
			r.peers()
			r.end(r.ask(RequestArrived{Service: order, Key: keyAt("a2", 0, r.now, 1)}), UnknownAtPeer)
			return r
		},
		{CountRetry, ReasonUpstreamError}: func() *rig {
			r := newRig(nil)
			r.end(r.ask(read), Failed)
			return r
		},
		{CountRetry, ReasonNotSent}: func() *rig {
			r := newRig(nil)
			r.end(r.ask(RequestArrived{Service: order}), NotSent)
			return r
		},
		{CountRetry, ReasonShed}: func() *rig {
			r := newRig(nil)
			r.end(r.ask(read), Shed)
			return r
		},
		{CountRetry, ReasonTimeout}: func() *rig {
			r := newRig(nil)
			r.end(r.ask(read), TimedOut)
			return r
		},
		{CountRetry, ReasonBroken}: func() *rig {
			r := newRig(nil)
			r.end(r.ask(read), Broken)
			r.tick(200 * time.Millisecond)
			return r
		},
		{CountRetry, ReasonPeerUnknown}: func() *rig {
			r := newRig(nil)
			r.peers()
			r.askTimes(2*slotsOfGroup, read)
			r.hint("p2", 9)
			id := r.ask(read)
			row, _ := r.requests.find(id)
			r.do(ExchangeEnded{ID: id, Attempt: r.requests.rows[row].attempt, Result: UnknownAtPeer, Runs: 1})
			return r
		},
		{CountRetry, ReasonRecalled}: func() *rig {
			r := newRig(nil)
			for range manyRequests {
				r.askTimes(2*slotsOfGroup, RequestArrived{Service: readBackground})
				r.now = r.now.Add(time.Millisecond)
				r.ask(RequestArrived{Service: readUrgent})
				r.tick(50 * time.Millisecond)
				for id := range r.id {
					r.end(id+1, r.canceledOr(id+1, Completed))
				}
			}
			return r
		},
		{CountEjection, ReasonErrors}:  func() *rig { return ejecting(Failed, time.Millisecond) },
		{CountEjection, ReasonLatency}: func() *rig { return ejecting(Completed, 500*time.Millisecond) },
	}
	seen := map[Reason]bool{}
	for want, run := range cases {
		seen[want.Reason] = true
		t.Run(want.Reason.String(), func(t *testing.T) {
			is := is.New(t)
			r := run()
			is.True(r.counts[want] > 0) // counter did not rise
			if want.Kind == CountRefusal && want.Reason != ReasonRetryBudget && want.Reason != ReasonAttempts {
				is.True(r.told(want.Reason)) // no reply names the reason
			}
		})
	}
	for reason := ReasonNone + 1; reason < reasonCount; reason++ {
		if !seen[reason] {
			t.Errorf("no case for %s", reason)
		}
	}
}

// canceledOr is the result of an exchange that ends now.
func (r *rig) canceledOr(id RequestID, result Result) Result {
	for _, a := range r.actions {
		if c, ok := a.(CancelExchange); ok && c.ID == id {
			return CanceledByCaller
		}
	}
	return result
}

func (r *rig) told(reason Reason) bool {
	for _, a := range r.actions {
		if reply, ok := a.(Reply); ok && reply.Reason == reason {
			return true
		}
	}
	return false
}

// ejecting runs a group in which target 0 ends exchanges as given.
func ejecting(result Result, latency time.Duration) *rig {
	r := newRig(func(c *document.Compiled) {
		c.Services[readUrgent].Idempotent = false
	})
	for range 30 {
		first := r.id + 1
		r.askTimes(slotsOfGroup, RequestArrived{Service: readUrgent})
		for id := first; id <= r.id; id++ {
			row, _ := r.requests.find(id)
			target, _ := r.targets.ID(r.requests.rows[row].row)
			ev := ExchangeEnded{ID: id, Attempt: 1, Result: Completed, Answer: testAnswer{}, Latency: time.Millisecond}
			if target == 0 {
				ev.Result, ev.Latency = result, latency
			}
			r.do(ev)
		}
		r.tick(20 * time.Millisecond)
	}
	return r
}
