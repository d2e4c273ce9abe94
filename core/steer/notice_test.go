package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// state records a response of a target to a request that was just sent.
func state(e *Engine, now time.Time, id TargetID, stated Notice) {
	e.RecordNotice(now, &Send{target: e.targets[id], sentAt: now.Add(-time.Millisecond)}, stated)
}

// sendsTo reports whether any of many requests goes to the target.
func sendsTo(t *testing.T, e *Engine, now time.Time, id TargetID) bool {
	t.Helper()
	found := false
	for object := range uint64(200) {
		r := newTestRequest(e, now, "/read/1", object+1)
		s, refusal := e.Arrive(now, r)
		if refusal != nil {
			continue
		}
		found = found || s.Target == id
		e.Finish(now, r, &s, ExchangeReport{Result: Responded})
	}
	return found
}

// Guards against requests to a target that has said that it stops, while the
// registry still lists it as ready.
//
// The load: the target says so in one response; its entry changes, expires and
// returns while it serves on; then it starts again under the same id.
func TestLeavingTargetGetsNothingUntilItStartsAgain(t *testing.T) {
	is := is.New(t)
	e := testEngine(t, "i", "a1")
	addTargets(e, "s", 2, "a1")
	const id = "s-a1-0"
	now := start
	is.True(sendsTo(t, e, now, id))
	state(e, now, id, Notice{Leaving: true})
	is.True(!sendsTo(t, e, now, id))
	record := testRecord(id, "s", "a1")
	for range 3 {
		now = now.Add(2 * time.Second)
		record.Sequence++
		e.PutTarget(now, record)
		is.True(!sendsTo(t, e, now, id))
	}
	e.DropTarget(now, id, 0)
	e.Tick(now)
	is.Equal(e.Targets(), 1)
	now = now.Add(30 * time.Second)
	e.Tick(now)
	record.Sequence++
	e.PutTarget(now, record)
	is.True(!sendsTo(t, e, now, id)) // its entry had expired
	record.Address = "10.0.0.2:1"
	e.PutTarget(now, record)
	is.True(!sendsTo(t, e, now, id))

	rebuilt := testEngine(t, "i", "a1")
	rebuilt.AdoptNotices(e)
	addTargets(rebuilt, "s", 2, "a1")
	is.True(!sendsTo(t, rebuilt, now, id))

	record.Boot, record.Sequence = record.Boot+1, 1
	e.PutTarget(now, record)
	is.True(sendsTo(t, e, now, id))
}

// Guards against a target that is never used again because its registry entry
// does not tell its starts apart.
func TestTargetWithoutBootIsUsedAfterARestart(t *testing.T) {
	is := is.New(t)
	e := testEngine(t, "i", "a1")
	record := testRecord("s-1", "s", "a1")
	record.Boot, record.Sequence = 0, 40
	e.PutTarget(start, record)
	state(e, start, "s-1", Notice{Leaving: true})
	e.DropTarget(start, "s-1", 0)
	e.Tick(start)
	record.Sequence = 1
	e.PutTarget(start.Add(5*time.Second), record)
	is.True(sendsTo(t, e, start.Add(5*time.Second), "s-1"))
}

// Guards against instances that go on using a target which has said to another
// one that it stops.
func TestLeavingIsPassedOn(t *testing.T) {
	is := is.New(t)
	a, b := testEngine(t, "a", "a1"), testEngine(t, "b", "b1")
	addTargets(a, "s", 2, "a1", "b1")
	addTargets(b, "s", 2, "a1", "b1")
	state(a, start, "s-b1-0", Notice{Leaving: true})
	b.RecordObservations(start, "a", a.SharedNotices(start))
	is.True(!sendsTo(t, b, start, "s-b1-0"))
	is.Equal(len(b.TakeNoticeChanges()), 1)
}

// Guards against requests to a target that has refused one with a time for which
// it wants no more.
//
// The load: one of two targets refuses with a pause, while requests go on; later
// the only target does.
func TestRefusedInstanceSendsNothingForTheTimeAskedFor(t *testing.T) {
	is := is.New(t)
	e := testEngine(t, "i", "a1")
	addTargets(e, "s", 2, "a1")
	const id = "s-a1-0"
	refusal := func(retryAfter time.Duration) ExchangeReport {
		return ExchangeReport{Result: Shed, Notice: &Notice{RetryAfter: retryAfter}}
	}
	now := start
	var r *Request
	var s *Send
	for object := uint64(1); s == nil || s.Target != id; object++ {
		r = newTestRequest(e, now, "/order/1", object)
		s = mustSend(t, e, now, r)
	}
	next, _ := e.Finish(now, r, s, refusal(1500*time.Millisecond))
	is.True(next != nil && next.Target != id) // it did not run, and goes to the other target
	// A shorter pause that another response asks for does not end this one.
	state(e, now, id, Notice{RetryAfter: 200 * time.Millisecond})
	state(e, now, id, Notice{})
	for elapsed := time.Duration(0); elapsed < 1500*time.Millisecond; elapsed += 100 * time.Millisecond {
		is.True(!sendsTo(t, e, now.Add(elapsed), id))
	}
	is.True(sendsTo(t, e, now.Add(20*time.Second), id)) // its error rate has faded too

	now = now.Add(30 * time.Second)
	state(e, now, id, Notice{RetryAfter: time.Second})
	state(e, now, "s-a1-1", Notice{RetryAfter: 700 * time.Millisecond})
	_, refused := e.Arrive(now, newTestRequest(e, now, "/read/1", 1))
	is.True(refused != nil)
	is.Equal(refused.Reason, ReasonHeldBack)
	is.Equal(refused.RetryAfter, 700*time.Millisecond) // when the first of them takes requests again
}

// Guards against a target that is never used again: it started again under its
// id, and an instance that still knows its earlier boot reports that it leaves.
func TestReportAboutAnEarlierBootIsIgnored(t *testing.T) {
	is := is.New(t)
	a, b := testEngine(t, "a", "a1"), testEngine(t, "b", "a1")
	record := testRecord("s-1", "s", "a1")
	a.PutTarget(start, record)
	state(a, start, "s-1", Notice{Leaving: true, Limit: 2})
	record.Boot, record.Sequence = record.Boot+1, 1
	b.PutTarget(start, record)
	b.RecordObservations(start, "a", a.SharedNotices(start))
	is.True(!b.IsLeaving("s-1"))
	is.Equal(b.targets["s-1"].notice.limit, 0.0)

	// Without boots the report cannot be told from one about the present start.
	record = testRecord("s-2", "s", "a1")
	record.Boot = 0
	a.PutTarget(start, record)
	state(a, start, "s-2", Notice{Leaving: true})
	for _, o := range a.SharedNotices(start) {
		is.True(o.Target != a.targets["s-2"].hash)
	}

	// An older entry of a target that had expired does not undo its statements.
	c := testEngine(t, "c", "a1")
	record = testRecord("s-3", "s", "a1")
	record.Boot = 7
	c.PutTarget(start, record)
	state(c, start, "s-3", Notice{Leaving: true})
	c.DropTarget(start, "s-3", 0)
	c.Tick(start)
	record.Boot = 6
	c.PutTarget(start, record)
	is.True(!sendsTo(t, c, start, "s-3"))
}
