package traffic

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/document"
)

// actionsOf returns the recorded actions of one type, in order.
func actionsOf[T Action](r *rig) []T {
	var found []T
	for _, a := range r.actions {
		if a, ok := a.(T); ok {
			found = append(found, a)
		}
	}
	return found
}

// TestNotResent guards against a second run of a request that is not
// idempotent. It may be sent again only if the attempt certainly did not run,
// and after a shed only with a key.
func TestNotResent(t *testing.T) {
	cases := map[string]struct {
		result  Result
		keyed   bool
		sends   int
		outcome Outcome
	}{
		"refused connection": {NotSent, false, 2, Responded},
		"shed":               {Shed, false, 1, NotRun},
		"shed, with a key":   {Shed, true, 2, Responded},
		"failed":             {Failed, true, 1, Responded},
		"broken":             {Broken, true, 1, Unknown},
		"malformed":          {Malformed, true, 1, Unknown},
		"timed out":          {TimedOut, true, 1, Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(nil)
			ev := RequestArrived{Service: order}
			if c.keyed {
				ev.Key = keyAt("a1", 0, r.now, 1)
			}
			id := r.submit(ev)
			r.end(id, c.result)
			r.advance(200 * time.Millisecond)
			r.end(id, Completed)
			is.Equal(len(actionsOf[Send](r)), c.sends)
			replies := actionsOf[Reply](r)
			is.Equal(len(replies), 1)
			is.Equal(replies[0].Outcome, c.outcome)
			is.Equal(len(actionsOf[Release](r)), 1)
			is.True(r.Idle())
		})
	}
}

// TestMalformedResponseIsNotRetried guards against a success of another upstream
// or zone after an upstream sent bytes that cannot be its response, and against
// a target, or a request, that counts as crashed since.
func TestMalformedResponseIsNotRetried(t *testing.T) {
	check := func(is *is.I, r *rig, sends int) {
		is.Helper()
		r.advance(200 * time.Millisecond)
		is.Equal(len(actionsOf[Send](r))+len(actionsOf[Forward](r)), sends)
		replies := actionsOf[Reply](r)
		is.Equal(len(replies), 1)
		is.Equal(replies[0].Outcome, Unknown)
		is.Equal(replies[0].Reason, ReasonMalformed)
		is.Equal(len(actionsOf[BroadcastPoison](r)), 0)
		is.True(r.Idle())
	}
	for _, service := range []document.ServiceID{readUrgent, readNormal, readBackground, order, upload} {
		t.Run(fmt.Sprintf("service %d", service), func(t *testing.T) {
			r := newRig(nil)
			r.end(r.submit(RequestArrived{Service: service}), Malformed)
			check(is.New(t), r, 1)
		})
	}
	for name, ev := range map[string]ExchangeEnded{
		"from a peer":              {Result: Malformed},
		"from an upstream of peer": {Result: UnknownAtPeer, Reason: ReasonMalformed, Attempts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(func(c *document.Compiled) { c.Groups[0].Targets[0] = nil })
			r.addPeers()
			r.hintFree("p2", 9)
			r.hintFree("p3", 9)
			id := r.submit(RequestArrived{Service: readNormal})
			is.New(t).Equal(len(actionsOf[Forward](r)), 1)
			row, _ := r.requests.find(id)
			ev.ID, ev.Attempt = id, r.requests.rows[row].attempt
			r.handle(ev)
			check(is.New(t), r, 1)
		})
	}
}

// TestOnlyOwnerSaysNotRun guards against the outcome NotRun from an instance
// that does not own the key, since an earlier attempt through another instance
// may have run.
func TestOnlyOwnerSaysNotRun(t *testing.T) {
	remoteKey := func(r *rig) string { return keyAt("a2", 0, r.now, 1) }
	toOwner := func(result Result, reason Reason) func(*rig) {
		return func(r *rig) {
			r.addPeers()
			id := r.submit(RequestArrived{Service: order, Key: remoteKey(r)})
			r.handle(ExchangeEnded{ID: id, Attempt: 1, Result: result, Reason: reason})
		}
	}
	cases := map[string]struct {
		run     func(*rig)
		outcome Outcome
		reason  Reason
	}{
		"owner unknown":      {func(r *rig) { r.submit(RequestArrived{Service: order, Key: remoteKey(r)}) }, Unknown, ReasonOwnerUnreachable},
		"owner not reached":  {toOwner(NotSent, ReasonNone), Unknown, ReasonOwnerUnreachable},
		"owner refused":      {toOwner(Shed, ReasonDeadline), NotRun, ReasonDeadline},
		"service not listed": {func(r *rig) { r.submit(RequestArrived{Service: 99, Key: remoteKey(r)}) }, Unknown, ReasonNoService},
		"lease has moved": {func(r *rig) {
			r.submit(RequestArrived{Service: order, Key: remoteKey(r), Forwarded: &Forwarded{From: "p2", ToOwner: true}})
		}, Unknown, ReasonOwnerUnreachable},
		"no key": {func(r *rig) { r.submit(RequestArrived{Service: 99}) }, NotRun, ReasonNoService},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(nil)
			c.run(r)
			replies := actionsOf[Reply](r)
			is.Equal(len(replies), 1)
			is.Equal(replies[0].Outcome, c.outcome)
			is.Equal(replies[0].Reason, c.reason)
			is.True(replies[0].RetryAfter > 0)
		})
	}
}

// TestDuplicatesGetTheSameResponse guards against a second run for a duplicate
// that arrives during or after the first request, also when the first caller
// has disconnected.
func TestDuplicatesGetTheSameResponse(t *testing.T) {
	is := is.New(t)
	r := newRig(nil)
	ev := RequestArrived{Service: order, Key: keyAt("a1", 0, r.now, 1), Fingerprint: 3}
	first := r.submit(ev)
	r.submit(ev)
	canceled := r.submit(ev)
	r.handle(RequestCanceled{canceled})
	r.handle(RequestCanceled{first})
	r.end(first, Completed)
	r.submit(ev)
	is.Equal(len(actionsOf[Send](r)), 1)
	is.Equal(len(actionsOf[CancelExchange](r)), 0)
	replies := actionsOf[Reply](r)
	is.Equal(len(replies), 2) // the waiting and the later duplicate
	is.True(replies[0].Replayed && replies[1].Replayed)
	is.True(r.Idle())
}

// TestRetriesLeaveTheZone guards against a request that fails because all
// targets of its zone failed it, and against attempts that are not reported to
// the peer.
func TestRetriesLeaveTheZone(t *testing.T) {
	is := is.New(t)
	r := newRig(nil)
	r.addPeers()
	r.hintFree("p2", 9)
	id := r.submit(RequestArrived{Service: readNormal})
	r.endAll(300*time.Millisecond, Failed)
	sends, forwards := actionsOf[Send](r), actionsOf[Forward](r)
	is.Equal(len(sends), 2)
	is.True(sends[0].Target != sends[1].Target)
	is.Equal(len(forwards), 1)
	is.Equal(forwards[0].Attempts, uint8(2))
	is.Equal(actionsOf[Reply](r)[0], Reply{ID: id, Outcome: Responded, Response: testResponse{}, Attempts: 2})
}

// TestRequestsOfOtherRegion guards against requests of another region that are
// counted twice or not at all against the shift cap, and against forwarded
// requests that are forwarded again.
func TestRequestsOfOtherRegion(t *testing.T) {
	is := is.New(t)
	r := newRig(func(c *document.Compiled) { c.Shifts = nil })
	r.handle(ShardsChanged{shardsOf(0, 0)}) // a third of the default, which starts at 20/s
	r.addPeers()
	fromPeer := RequestArrived{Service: readNormal, HomeRegion: 1, Forwarded: &Forwarded{From: "p2", ShiftCharged: true}}
	for range 3 {
		r.end(r.submit(fromPeer), Completed)
	}
	is.Equal(len(actionsOf[Send](r)), 3) // already counted by the peer
	fromPeer.Forwarded = &Forwarded{From: "p2"}
	for range 3 {
		r.end(r.submit(fromPeer), Completed)
	}
	is.Equal(len(actionsOf[Send](r)), 4) // the cap allows one request, the others are refused
	is.Equal(len(actionsOf[Forward](r)), 0)
	is.Equal(r.counts[IncrementCounter{CountRefusal, ReasonShiftCap}], 2)
	r.handle(ShardsChanged{})
	r.submit(RequestArrived{Service: readNormal, HomeRegion: 1})
	is.Equal(actionsOf[Forward](r)[0].ShiftCharged, false) // the peer, which holds a shard, counts it
}

// TestLeavingTarget guards against new work to a leaving target, against
// canceled exchanges in flight, and against notices that are not broadcast or
// broadcast more than once.
func TestLeavingTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(nil)
	id := r.submit(RequestArrived{Service: readNormal})
	target := actionsOf[Send](r)[0].Target
	r.handle(ExchangeEnded{ID: id, Attempt: 1, Response: testResponse{}, Leaving: true})
	r.handle(TargetLeaving{Target: target, Seen: r.now})
	is.Equal(len(actionsOf[BroadcastLeaving](r)), 1)
	r.submitN(slotsPerGroup, RequestArrived{Service: readNormal})
	for _, s := range actionsOf[Send](r)[1:] {
		is.True(s.Target != target)
	}
	is.Equal(len(actionsOf[CancelExchange](r)), 0)
	r.handle(TargetReturned{Target: target})
	r.endAll(time.Second, Completed)
	before := len(actionsOf[Send](r))
	r.submitN(slotsPerGroup, RequestArrived{Service: readNormal})
	returned := false
	for _, s := range actionsOf[Send](r)[before:] {
		returned = returned || s.Target == target
	}
	is.True(returned)
}

// TestStreamedResponse guards against a retry or a preemption that truncates a
// response of which the caller already has a part.
func TestStreamedResponse(t *testing.T) {
	is := is.New(t)
	r := newRig(nil)
	id := r.submit(RequestArrived{Service: readBackground})
	r.handle(ResponseStarted{ID: id, Attempt: 1, Response: testResponse{size: 2 << 20}})
	is.Equal(len(actionsOf[Reply](r)), 1)
	is.Equal(r.groups.rows[0].preemptible.length, 0)
	r.end(id, Broken)
	is.Equal(len(actionsOf[Send](r))+len(actionsOf[Reply](r)), 2)
	is.Equal(len(actionsOf[BroadcastPoison](r)), 0)

	preempted := r.submit(RequestArrived{Service: readBackground})
	r.requests.rows[0].preempting = true
	r.handle(ResponseStarted{ID: preempted, Attempt: 1, Response: testResponse{size: 2 << 20}})
	is.Equal(len(actionsOf[Reply](r)), 1)
}

// TestSameSeedSameActions guards against decisions that depend on the order of
// a map or on anything but events, time and seed.
func TestSameSeedSameActions(t *testing.T) {
	run := func() string {
		w := newWorld(5, firstRevision, secondRevision)
		w.faults = faults{fail: 0.1, shed: 0.05, breakAfter: 0.05, linkLost: 0.1, cancel: 0.1}
		startNodes(w)
		w.tickEvery(10*time.Millisecond, w.Now.Add(2*time.Second))
		w.hintsEvery(100*time.Millisecond, w.Now.Add(time.Second))
		for i := range 300 {
			w.After(time.Duration(w.random.IntN(700))*time.Millisecond, func() { w.randomRequest(i) })
		}
		w.RunTo(w.Now.Add(4 * time.Second))
		log := ""
		for _, c := range w.requests {
			log += fmt.Sprintln(c.identity, c.runs, c.reply, c.repliedAt)
		}
		return log
	}
	is := is.New(t)
	is.Equal(run(), run())
}
