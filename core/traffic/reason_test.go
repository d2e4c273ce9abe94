package traffic

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/document"
	"pistachioford.example/core/idempotency"
)

// rig drives one Engine that holds both shards of zone a1, and records its
// actions. addPeers adds the peer p2 in zone a2 and the peer p3 in region B.
type rig struct {
	*Engine
	now     time.Time
	doc     *document.Compiled
	counts  map[IncrementCounter]int
	actions []Action
	lastID  RequestID
}

// newRig returns a rig whose document is testDocument(2), modified by change
// unless that is nil.
func newRig(change func(*document.Compiled)) *rig {
	r := &rig{now: time.Unix(1_700_000_000, 0), doc: testDocument(2), counts: map[IncrementCounter]int{}}
	if change != nil {
		change(r.doc)
	}
	r.Engine = New(Config{Self: "p1", Zone: "a1", Keys: idempotency.Limits{Keys: 3, Bytes: 1 << 20}})
	r.handle(DocumentChanged{r.doc})
	r.handle(ShardsChanged{shardsOf(0, 0, 1)})
	return r
}

func (r *rig) handle(ev Event) {
	r.record(r.Handle(r.now, ev))
}

func (r *rig) record(actions []Action) {
	for _, a := range actions {
		r.actions = append(r.actions, a)
		if c, ok := a.(IncrementCounter); ok {
			r.counts[c]++
		}
	}
}

// advance lets time pass in steps of the daemon's tick interval.
func (r *rig) advance(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(10 * time.Millisecond)
		r.record(r.Tick(r.now))
	}
}

func (r *rig) addPeers() {
	r.handle(PeersChanged{[]PeerInfo{
		{ID: "p2", Zone: 1, Shards: []document.ShardID{{Zone: 1}}},
		{ID: "p3", Zone: 2, Shards: []document.ShardID{{Zone: 2}}},
	}})
}

// hintFree delivers a load hint that a peer has the given number of free slots
// in each group.
func (r *rig) hintFree(id InstanceID, free uint16) {
	r.now = r.now.Add(time.Millisecond)
	r.handle(PeerLoad{Peer: id, At: r.now, Free: []uint16{free, free}, Wait: []time.Duration{time.Second, time.Second}})
}

// submit delivers a request and returns its ID. HomeRegion zero becomes
// unknown.
func (r *rig) submit(ev RequestArrived) RequestID {
	r.lastID++
	ev.ID = r.lastID
	ev.Replayable = true
	if ev.HomeRegion == 0 {
		ev.HomeRegion = -1
	}
	r.handle(ev)
	return ev.ID
}

func (r *rig) submitN(n int, ev RequestArrived) {
	for range n {
		ev.Fingerprint++
		r.submit(ev)
	}
}

// end ends the current exchange of a request.
func (r *rig) end(id RequestID, result Result) {
	row, ok := r.requests.find(id)
	if !ok {
		return
	}
	r.handle(ExchangeEnded{ID: id, Attempt: r.requests.rows[row].attempt, Result: result, Response: testResponse{}, Latency: time.Millisecond})
}

// endAll ends all exchanges in flight, and those that follow within the given
// time.
func (r *rig) endAll(d time.Duration, result Result) {
	for end := r.now.Add(d); r.now.Before(end); {
		for id := range r.lastID {
			r.end(id+1, result)
		}
		r.advance(10 * time.Millisecond)
	}
}

const (
	slotsPerGroup = 6 // 2 targets with 3 slots
	manyRequests  = 60
)

// forwardedFromB describes a request that instance p3 of region B forwarded.
var forwardedFromB = &Forwarded{From: "p3", FromRegion: 1}

// TestReasons guards against counters that are never incremented, and against
// refusals that are reported with a wrong reason.
func TestReasons(t *testing.T) {
	read := RequestArrived{Service: readNormal}
	keyed := func(r *rig, age time.Duration, serial int) RequestArrived {
		return RequestArrived{Service: order, Key: keyAt("a1", 0, r.now.Add(-age), serial), Fingerprint: 7}
	}
	cases := map[IncrementCounter]func() *rig{
		{CountRefusal, ReasonNoDocument}: func() *rig {
			r := newRig(nil)
			r.Engine = New(Config{Zone: "a1"})
			r.submit(read)
			return r
		},
		{CountRefusal, ReasonNoService}: func() *rig {
			r := newRig(nil)
			r.submit(RequestArrived{Service: 99})
			return r
		},
		{CountRefusal, ReasonDeadline}: func() *rig {
			r := newRig(nil)
			r.submit(RequestArrived{Service: readNormal, Deadline: r.now.Add(-time.Second)})
			return r
		},
		{CountRefusal, ReasonQueueFull}: func() *rig {
			r := newRig(nil)
			r.groups.rows[0].serviceTime.mean = float64(time.Millisecond)
			r.submitN(queueLimit+slotsPerGroup+1, read)
			return r
		},
		{CountRefusal, ReasonNoTarget}: func() *rig {
			r := newRig(nil)
			r.handle(TargetLeaving{Target: 0})
			r.handle(TargetLeaving{Target: 1})
			r.submit(read)
			return r
		},
		{CountRefusal, ReasonNoShard}: func() *rig {
			r := newRig(nil)
			r.handle(ShardsChanged{})
			r.submit(read)
			return r
		},
		{CountRefusal, ReasonOwnerUnreachable}: func() *rig {
			r := newRig(nil)
			r.submit(RequestArrived{Service: order, Key: keyAt("a2", 0, r.now, 1)})
			return r
		},
		{CountRefusal, ReasonKeyMemoryFull}: func() *rig {
			r := newRig(nil)
			for i := range 4 {
				r.submit(keyed(r, 0, i))
			}
			return r
		},
		{CountRefusal, ReasonKeyExpired}: func() *rig {
			r := newRig(nil)
			r.submit(keyed(r, 2*time.Hour, 1))
			return r
		},
		{CountRefusal, ReasonKeyBeforeTakeover}: func() *rig {
			r := newRig(nil)
			held := shardsOf(0, 0)
			held[0].OwnedSince = r.now
			r.handle(ShardsChanged{held})
			r.submit(keyed(r, time.Second, 1))
			return r
		},
		{CountRefusal, ReasonKeyReused}: func() *rig {
			r := newRig(nil)
			r.submit(keyed(r, 0, 1))
			other := keyed(r, 0, 1)
			other.Fingerprint++
			r.submit(other)
			return r
		},
		{CountRefusal, ReasonBadKey}: func() *rig {
			r := newRig(nil)
			r.submit(RequestArrived{Service: order, Key: "a1.0.short"})
			return r
		},
		{CountRefusal, ReasonKeyUnknown}: func() *rig {
			r := newRig(nil)
			r.end(r.submit(keyed(r, 0, 1)), TimedOut)
			r.submit(keyed(r, 0, 1))
			return r
		},
		{CountRefusal, ReasonPoison}: func() *rig {
			r := newRig(nil)
			r.handle(PoisonSuspected{Fingerprint: 5, Target: 0, At: r.now})
			r.handle(PoisonSuspected{Fingerprint: 5, Target: 1, At: r.now, Repeated: true})
			r.submit(RequestArrived{Service: readNormal, Fingerprint: 5})
			return r
		},
		{CountRefusal, ReasonLinkBudget}: func() *rig {
			r := newRig(func(c *document.Compiled) { c.Links = nil })
			r.submit(RequestArrived{Service: readNormal, Forwarded: forwardedFromB})
			return r
		},
		{CountRefusal, ReasonShiftCap}: func() *rig {
			r := newRig(nil)
			r.submitN(manyRequests, RequestArrived{Service: readNormal, HomeRegion: 1})
			return r
		},
		{CountRefusal, ReasonShed}: func() *rig {
			r := newRig(nil)
			r.end(r.submit(read), Shed)
			r.handle(Draining{})
			r.submit(RequestArrived{Service: readNormal, Forwarded: &Forwarded{From: "p2"}})
			return r
		},
		{CountRefusal, ReasonRetryBudget}: func() *rig {
			r := newRig(nil)
			for range manyRequests {
				r.submit(read)
				r.endAll(10*time.Millisecond, Failed)
			}
			return r
		},
		{CountRefusal, ReasonAttempts}: func() *rig {
			r := newRig(nil)
			r.submit(read)
			r.endAll(time.Second, Failed)
			return r
		},
		{CountRefusal, ReasonBroken}: func() *rig {
			r := newRig(nil)
			r.end(r.submit(RequestArrived{Service: order}), Broken)
			r.advance(time.Second)
			return r
		},
		{CountRefusal, ReasonMalformed}: func() *rig {
			r := newRig(nil)
			r.end(r.submit(read), Malformed)
			return r
		},
		{CountRefusal, ReasonTimeout}: func() *rig {
			r := newRig(nil)
			r.end(r.submit(RequestArrived{Service: order}), TimedOut)
			return r
		},
		{CountRefusal, ReasonNotSent}: func() *rig {
			r := newRig(nil)
			id := r.submit(read)
			r.requests.rows[0].replayable = false
			r.requests.rows[0].bodyConsumed = true
			r.end(id, NotSent)
			return r
		},
		{CountRefusal, ReasonPeerUnknown}: func() *rig {
			r := newRig(nil)
			r.addPeers()
			r.end(r.submit(RequestArrived{Service: order, Key: keyAt("a2", 0, r.now, 1)}), UnknownAtPeer)
			return r
		},
		{CountRetry, ReasonUpstreamError}: func() *rig {
			r := newRig(nil)
			r.end(r.submit(read), Failed)
			return r
		},
		{CountRetry, ReasonNotSent}: func() *rig {
			r := newRig(nil)
			r.end(r.submit(RequestArrived{Service: order}), NotSent)
			return r
		},
		{CountRetry, ReasonShed}: func() *rig {
			r := newRig(nil)
			r.end(r.submit(read), Shed)
			return r
		},
		{CountRetry, ReasonTimeout}: func() *rig {
			r := newRig(nil)
			r.end(r.submit(read), TimedOut)
			return r
		},
		{CountRetry, ReasonBroken}: func() *rig {
			r := newRig(nil)
			r.end(r.submit(read), Broken)
			r.advance(200 * time.Millisecond)
			return r
		},
		{CountRetry, ReasonPeerUnknown}: func() *rig {
			r := newRig(nil)
			r.addPeers()
			r.submitN(2*slotsPerGroup, read)
			r.hintFree("p2", 9)
			id := r.submit(read)
			row, _ := r.requests.find(id)
			r.handle(ExchangeEnded{ID: id, Attempt: r.requests.rows[row].attempt, Result: UnknownAtPeer, Attempts: 1})
			return r
		},
		{CountRetry, ReasonPreempted}: func() *rig {
			r := newRig(nil)
			for range manyRequests {
				r.submitN(2*slotsPerGroup, RequestArrived{Service: readBackground})
				r.now = r.now.Add(time.Millisecond)
				r.submit(RequestArrived{Service: readUrgent})
				r.advance(50 * time.Millisecond)
				for id := range r.lastID {
					r.end(id+1, r.resultUnlessCanceled(id+1, Completed))
				}
			}
			return r
		},
		{CountEjection, ReasonErrors}:  func() *rig { return runWithOutlier(Failed, time.Millisecond) },
		{CountEjection, ReasonLatency}: func() *rig { return runWithOutlier(Completed, 500*time.Millisecond) },
	}
	seen := map[Reason]bool{}
	for want, run := range cases {
		seen[want.Reason] = true
		t.Run(want.Reason.String(), func(t *testing.T) {
			is := is.New(t)
			r := run()
			is.True(r.counts[want] > 0) // counter did not rise
			if want.Kind == CountRefusal && want.Reason != ReasonRetryBudget && want.Reason != ReasonAttempts {
				is.True(r.repliedWith(want.Reason)) // no reply names the reason
			}
		})
	}
	for reason := ReasonNone + 1; reason < reasonCount; reason++ {
		if !seen[reason] {
			t.Errorf("no case for %s", reason)
		}
	}
}

// resultUnlessCanceled returns Canceled if an exchange of the request was
// canceled, and the given result otherwise.
func (r *rig) resultUnlessCanceled(id RequestID, result Result) Result {
	for _, a := range r.actions {
		if c, ok := a.(CancelExchange); ok && c.ID == id {
			return Canceled
		}
	}
	return result
}

func (r *rig) repliedWith(reason Reason) bool {
	for _, a := range r.actions {
		if reply, ok := a.(Reply); ok && reply.Reason == reason {
			return true
		}
	}
	return false
}

// runWithOutlier runs requests on a group whose target 0 ends its exchanges
// with the given result and latency.
func runWithOutlier(result Result, latency time.Duration) *rig {
	r := newRig(func(c *document.Compiled) {
		c.Services[readUrgent].Idempotent = false
	})
	for range 30 {
		first := r.lastID + 1
		r.submitN(slotsPerGroup, RequestArrived{Service: readUrgent})
		for id := first; id <= r.lastID; id++ {
			row, _ := r.requests.find(id)
			target, _ := r.targets.TargetID(r.requests.rows[row].target)
			ev := ExchangeEnded{ID: id, Attempt: 1, Result: Completed, Response: testResponse{}, Latency: time.Millisecond}
			if target == 0 {
				ev.Result, ev.Latency = result, latency
			}
			r.handle(ev)
		}
		r.advance(20 * time.Millisecond)
	}
	return r
}
